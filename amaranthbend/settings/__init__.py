"""Parsing, merging, validation and approval of settings files."""
