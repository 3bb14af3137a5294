"""Raft replicated log: elections, replication, membership changes, snapshots."""
