"""Benchmarks; each writes its figures to `results/`."""
