"""The callers: the MySQL front end, sessions, routing of statements."""
