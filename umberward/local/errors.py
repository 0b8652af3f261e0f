"""The base class of the errors that the simulated services of the local cluster raise."""

from __future__ import annotations


class SimulatedServiceError(Exception):
    """A simulated service of the platform can't carry out a request."""
