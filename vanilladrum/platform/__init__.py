"""The users' platform: its names, formats and calls, nothing that decides."""
