"""Decisions of fronts and control instances on routed requests, without I/O."""
