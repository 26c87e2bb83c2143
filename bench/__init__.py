"""Measurements; each module writes JSON results and a table."""
