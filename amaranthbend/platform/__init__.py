"""Adapter for the platform on which the deployments' machines run.

Translates names, formats and calls; everything that decides lies outside of it.
"""
