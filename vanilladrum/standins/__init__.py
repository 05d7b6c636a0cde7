"""Small stand-ins for the systems outside, and the load tool."""
