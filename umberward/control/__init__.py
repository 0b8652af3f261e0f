"""The parts of a controller process: its HTTP APIs, its caches and its exchange with peers."""
