"""Tests of lagooncrank.core.placement."""
