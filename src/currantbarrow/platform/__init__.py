"""Adapter to the users' platform; translates its interfaces and makes no decisions."""
