"""What is said between machines: the names on the wire, typed messages, HTTP."""
