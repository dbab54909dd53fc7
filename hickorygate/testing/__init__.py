"""Stand-ins for databases and the platform, load generators, assertions."""
