"""Take jobs from callers, own them, and start their tasks on workers."""

from currantbarrow.entry.node import EntryNode, EntryOptions

__all__ = ["EntryNode", "EntryOptions"]
