"""Ids, versions, times and amounts, the settings, and actors. Imports nothing else of ours."""
