"""The adapter to the users' platform; it decides nothing."""
