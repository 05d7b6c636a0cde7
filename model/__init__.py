"""Models of the core protocols for exhaustive checking with minicheck."""
