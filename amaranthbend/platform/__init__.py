"""Adapter for the platform that hosts the deployments.

It translates names, formats and calls. Decisions are made in the other packages.
"""
