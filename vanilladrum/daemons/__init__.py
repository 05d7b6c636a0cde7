"""Daemon processes: sockets, timers and settings around the core."""
