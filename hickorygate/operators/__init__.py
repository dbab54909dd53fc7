"""Interfaces for operators: command line, logs, metrics, status, timeline."""
