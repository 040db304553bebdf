"""Demonstration of the whole system on loopback: `python -m demo`."""
