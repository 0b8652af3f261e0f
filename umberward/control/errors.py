"""The base of the errors that a controller's own parts raise."""

from __future__ import annotations


class ControllerError(Exception):
    """A request, record or message that a controller can't accept."""
