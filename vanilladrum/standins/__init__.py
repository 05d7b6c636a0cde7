"""Test doubles for external systems, and the load generators."""
