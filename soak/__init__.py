"""Randomized fault injection against real proxy processes.

`python -m soak --seeds 1-50` starts each proxy as a separate process, with
stand-ins for the platform's store and databases. Relays inject faults into
connections, signals kill, stop or suspend processes, and the stand-ins
simulate faults of the databases and the store. The run compares what callers
and databases observed with the guarantees of the proxy.
"""
