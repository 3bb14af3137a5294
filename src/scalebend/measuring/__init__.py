"""Measurements of the core in virtual time, with small stand-ins at its interfaces."""
