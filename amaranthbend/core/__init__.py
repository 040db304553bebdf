"""Decisions without I/O; every deciding function takes the present time."""
