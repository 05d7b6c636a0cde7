"""Hedged first packets: a second server for openings that are slow."""
