"""The bench as the regression test: plays the deployments that a landing asks for, and compares."""
