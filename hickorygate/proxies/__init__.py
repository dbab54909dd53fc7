"""The other hickorygate processes: heartbeats, membership, sheet relay."""
