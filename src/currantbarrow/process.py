"""Set up what every program of the product needs of its process."""

from __future__ import annotations

import gc
import uuid

__all__ = ["new_incarnation", "tune_garbage_collector"]

# A daemon keeps many long-lived objects, and the collector's defaults would visit all too often.
GC_THRESHOLDS = (20_000, 50, 50)


def new_incarnation(name: str) -> str:
    """Return a name for this life of a process."""
    return f"{name}.{uuid.uuid4().hex[:12]}"


def tune_garbage_collector() -> None:
    """Keep the collector from visiting what lives as long as the process."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
