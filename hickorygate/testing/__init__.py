"""Stand-ins for the databases and the platform, and assertions for users."""
