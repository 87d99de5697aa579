"""Choose when the caller of a refused job may retry.

Designed for seconds in which many jobs are refused: if all their callers came back at the same
time, they would exceed the capacity again. The refused jobs come back while the fleet serves what
waits, so callers are spread over the time that it takes to do both.
"""

from __future__ import annotations

import math

from currantbarrow.direct.admission import MAX_RETRY_S, MIN_RETRY_S, Backlog

__all__ = ["RefusedWork", "choose_retry_s"]

# Refused work is remembered with this time constant. Callers that were told to wait come back
# within some seconds.
MEMORY_MS = 3000.0


class RefusedWork:
    """Sum up the work that was refused recently, with exponential decay."""

    __slots__ = ("_core_ms", "_updated_ms")

    def __init__(self) -> None:
        self._core_ms = 0.0
        self._updated_ms = 0.0

    def record(self, core_ms: float, now_ms: float) -> None:
        """Record a refused job."""
        self._core_ms = self.core_ms(now_ms) + core_ms
        self._updated_ms = now_ms

    def core_ms(self, now_ms: float) -> float:
        """Return the core-milliseconds that were refused recently."""
        return self._core_ms * math.exp((self._updated_ms - now_ms) / MEMORY_MS)


def choose_retry_s(backlog: Backlog, refused_core_ms: float, draw: float) -> int:
    """Return whole seconds to wait, given a number drawn evenly from 0 to 1.

    The earliest time is when the waiting work is done, the latest a second after the refused work
    could be done as well.
    """
    if backlog.cores <= 0:
        return MIN_RETRY_S
    earliest_s = max(float(MIN_RETRY_S), backlog.drain_s())
    spread_s = 1.0 + refused_core_ms / backlog.cores / 1000
    return min(MAX_RETRY_S, math.floor(earliest_s + draw * spread_s))
