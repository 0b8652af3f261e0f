"""Generates an open-loop load and measures how controllers respond to it."""
