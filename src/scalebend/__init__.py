"""Scalebend: a serving layer that shares one fleet of engines fairly."""

__version__ = "0.1.0"
