"""Task graphs in the style of Ray, run by the same scheduler as jobs: see docs/graphs.md."""
