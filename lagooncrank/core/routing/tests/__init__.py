"""Tests of lagooncrank.core.routing."""
