"""Adapters to the platform: its names, formats and calls, without policy."""
