"""Processes: sockets, timers and settings round the core."""
