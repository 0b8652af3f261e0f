"""Communication between machines: typed messages, their names on the wire, and HTTP."""
