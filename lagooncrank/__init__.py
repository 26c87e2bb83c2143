"""Serving system for models whose replicas span several instances."""

__version__ = "0.1.0"

__all__ = ["__version__"]
