"""Benchmarks. Most modules write JSON results and print a table."""
