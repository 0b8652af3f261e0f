"""Stand-ins for the platform, the cloud, the state service, workers and users."""
