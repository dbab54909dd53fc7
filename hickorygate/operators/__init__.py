"""The operators: command line, logs, metrics, status, time line."""
