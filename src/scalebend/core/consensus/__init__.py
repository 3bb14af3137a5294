"""The control group's replicated log: elections, replication, members, snapshots."""
