"""Scheduling decisions without I/O: heartbeats and results in, commands and transactions out."""
