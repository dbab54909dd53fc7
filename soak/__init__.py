"""Randomized faults against real proxy processes, and the promises checked.

`python -m soak --seeds 1-50` starts proxies as processes of their own before
stand-ins for the platform's store and databases, harms connections by relays,
processes by signals, databases and store by the stand-ins, and compares what
callers and databases saw with what is promised.
"""
