"""Decision logic without I/O; functions whose result depends on time take the current time."""
