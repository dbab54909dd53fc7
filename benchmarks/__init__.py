"""Measurements; each module prints its figures."""
