"""A cluster on one machine: real controllers, and simulated services that follow the protocol."""
