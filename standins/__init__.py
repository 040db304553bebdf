"""Small stand-ins for outside systems, used by tests, benchmarks and the demo."""
