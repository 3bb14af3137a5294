"""Decisions without I/O: typed message and present time in, actions out."""
