"""Measurements of the core in simulated time, with simple engine models."""
