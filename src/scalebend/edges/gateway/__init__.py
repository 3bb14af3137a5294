"""Sockets, files and timers of front and control instances."""
