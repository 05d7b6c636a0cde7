"""Codecs and clients for the protocols spoken outside."""
