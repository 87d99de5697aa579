"""Accept jobs from callers, own their shards and dispatch their tasks to workers."""

from currantbarrow.entry.node import EntryNode, EntryOptions

__all__ = ["EntryNode", "EntryOptions"]
