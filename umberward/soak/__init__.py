"""A soak: a cluster on the loopback under load and drawn faults, and a checker outside of it."""
