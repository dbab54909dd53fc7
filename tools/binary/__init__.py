"""Builds a single executable for instances without Python."""
