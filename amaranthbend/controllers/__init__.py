"""State controllers of the control process."""
