"""The adapter to the users' platform; it contains no decision logic."""
