"""Settings files, their merge, their checks and their approvals."""
