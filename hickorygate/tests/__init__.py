"""Unit tests and focused failure tests."""
