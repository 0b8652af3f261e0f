"""Base class of the errors raised by a controller's parts."""

from __future__ import annotations


class ControllerError(Exception):
    """A controller can't accept a request, record or message."""
