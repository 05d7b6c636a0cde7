"""Requests on open flows that wait for a server that may be dead."""
