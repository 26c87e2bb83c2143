"""Harness of the second review: nodes as processes, small stand-ins."""
