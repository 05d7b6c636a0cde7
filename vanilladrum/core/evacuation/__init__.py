"""Evacuation of data centres: which are evacuated, and what follows."""
