"""The base of the errors that the stand-ins of the local cluster raise."""

from __future__ import annotations


class StandInError(Exception):
    """A stand-in for a service of the platform cannot do what it was asked for."""
