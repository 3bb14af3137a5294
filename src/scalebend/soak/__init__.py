"""Randomised soak test: real processes under injected faults, with checked promises."""
