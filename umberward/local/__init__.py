"""A cluster on one machine to try umberward on: stand-ins by the protocol, controllers for real."""
