"""Generates a configuration from answers."""
