"""Upstream databases: connections, pools, replication state, failover."""
