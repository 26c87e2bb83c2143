"""Replicated log: election, replication, snapshots, voter changes."""
