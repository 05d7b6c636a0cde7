"""Codecs, clients and servers for the network protocols."""
