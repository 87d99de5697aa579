"""Measure policies over the real nodes in virtual time."""
