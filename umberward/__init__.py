"""umberward: a cluster scheduler whose controllers keep state only in a small state service."""

__version__ = "0.5.0.dev9"
