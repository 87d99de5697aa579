"""Dispatch jobs directly: the entry that accepts a job owns it until it ends."""
