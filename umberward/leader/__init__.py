"""One term of leadership: election, the event loop, failover snapshots, machine scaling."""
