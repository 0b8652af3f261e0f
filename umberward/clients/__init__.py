"""Clients of the state service and of the cloud, within their limits."""
