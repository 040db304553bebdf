"""Connections to callers, upstreams, the platform, metrics and logs."""
