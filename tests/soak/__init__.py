"""Soak test: run the real programs as separate processes and inject faults from outside."""
