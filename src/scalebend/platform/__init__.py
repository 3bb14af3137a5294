"""Adapter to the users' platform: names, formats and calls, without any decision.

Every other package uses the types of ``scalebend.models``; the names on the wire
stand in this folder alone.
"""
