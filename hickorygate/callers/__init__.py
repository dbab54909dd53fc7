"""Communication with callers: MySQL front end, sessions and routing."""
