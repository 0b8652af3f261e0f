"""Regression test: runs the deployments required before a landing in the bench, and compares."""
