"""Clients of the state service and of the cloud, which observe their rate limits."""
