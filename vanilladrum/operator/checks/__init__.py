"""Checks of configurations; they do no I/O."""
