"""Adapter to the users' platform: names and formats on the wire, without decisions.

Every other package uses the types of ``scalebend.models``; only this package knows the
names on the wire.
"""
