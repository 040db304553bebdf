"""Command-line programs of the package."""
