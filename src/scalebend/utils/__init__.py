"""Small single-purpose helpers without state."""
