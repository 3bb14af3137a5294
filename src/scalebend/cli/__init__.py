"""Parsing of the command line; ``scalebend.commands`` implements the commands."""
