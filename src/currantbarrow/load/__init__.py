"""Load generation and reports on its results."""
