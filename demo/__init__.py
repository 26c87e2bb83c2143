"""Demonstration of the whole system on loopback."""
