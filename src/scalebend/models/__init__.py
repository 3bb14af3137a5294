"""Data classes shared by every layer; no behaviour beyond derivation."""
