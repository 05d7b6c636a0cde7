"""Operator commands: changing the configuration and reporting."""
