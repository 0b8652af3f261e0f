"""Leader election, and the leader's event loop, failover snapshots and machine scaling."""
