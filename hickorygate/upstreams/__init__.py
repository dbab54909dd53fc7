"""The databases: connections, pools, replication state, failover."""
