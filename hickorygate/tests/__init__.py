"""Unit tests and tests of single failures."""
