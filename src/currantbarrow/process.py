"""Set up what all programs share in a process."""

from __future__ import annotations

import gc
import uuid

__all__ = ["new_incarnation", "tune_garbage_collector"]

# A daemon has many long-lived objects; the default thresholds would scan them too often.
GC_THRESHOLDS = (20_000, 50, 50)


def new_incarnation(name: str) -> str:
    """Return a unique id for a new incarnation of the process with this name."""
    return f"{name}.{uuid.uuid4().hex[:12]}"


def tune_garbage_collector() -> None:
    """Exempt the objects created at start-up from garbage collection, and collect less often."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    gc.enable()
