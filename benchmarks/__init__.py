"""Benchmarks and client checks, run as modules from the command line."""
