"""Selection of backend servers for new flows."""
