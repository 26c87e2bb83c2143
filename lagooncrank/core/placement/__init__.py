"""Replica formation and repair, load order, fencing."""
