"""Links to the other proxies: heartbeats, membership, sheet distribution."""
