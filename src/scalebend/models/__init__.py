"""Data classes shared by all layers; their methods only derive values."""
