"""The platform: its object API, its list of instances, what we keep there."""
