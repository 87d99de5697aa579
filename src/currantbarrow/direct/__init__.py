"""Dispatch jobs that live with the entry that took them."""
