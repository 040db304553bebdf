"""Request filter chain of the entry process."""
