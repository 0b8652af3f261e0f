"""Soak test: a local cluster under load and random faults, checked from the outside."""
