"""Measurements: each module is a command that prints a table."""
