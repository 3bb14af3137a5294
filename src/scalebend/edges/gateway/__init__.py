"""Sockets, files and timers of fronts and control instances."""
