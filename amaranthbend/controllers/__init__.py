"""Controllers that keep the state of control and node processes up to date."""
