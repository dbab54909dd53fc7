"""Builds the one file that runs on an instance without Python."""
