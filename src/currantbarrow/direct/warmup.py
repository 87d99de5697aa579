"""Limit the work of a worker that comes back cold after an evacuation.

Designed for a data centre whose hosts were off while it was evacuated. Its workers come back idle,
all at the same time, and run everything several times more slowly for some seconds, for instance
because their caches are empty. Idle workers attract tasks, so without a limit most tasks of the
first seconds would go to the slowest workers.
"""

from __future__ import annotations

import math

from currantbarrow.direct.instance import WorkerInstance
from currantbarrow.direct.model import Resources
from currantbarrow.direct.worker import Announcement
from currantbarrow.observe import logger

__all__ = ["WarmUp"]

# The share of its capacity that a cold worker starts with. A quarter of the smallest workers in the
# users' fleets still has room for two of their largest tasks.
INITIAL_SHARE = 0.25
# Workers that start this long after the end of an evacuation still belong to the return of their
# data centre; hosts start within some seconds of one another.
RETURN_PERIOD_MS = 30_000.0


class WarmUp:
    """Raise the usable capacity of a worker from a part to all of it while it warms up."""

    __slots__ = (
        "_announcement",
        "_ended_ms",
        "_limited_worker",
        "_remaining_ms",
        "_reported_ms",
        "_total_ms",
    )

    def __init__(self) -> None:
        # When an evacuation ended.
        self._ended_ms = -math.inf
        self._announcement: Announcement | None = None
        # How much longer the worker is cold according to this announcement, and when that came.
        self._remaining_ms = 0.0
        self._reported_ms = 0.0
        # The longest time that the worker was still cold since the limit began, 0 without a limit.
        self._total_ms = 0.0
        self._limited_worker = ""

    def begin(self, now_ms: float) -> None:
        """Record the end of an evacuation."""
        self._ended_ms = now_ms
        self._update(now_ms)

    def share(self, now_ms: float) -> float:
        """Return the share of the worker's capacity that may be used."""
        self._update(now_ms)
        if not self._total_ms:
            return 1.0
        warm_share = 1 - self._left_ms(now_ms) / self._total_ms
        return INITIAL_SHARE + (1 - INITIAL_SHARE) * warm_share

    def limit(self, instance: WorkerInstance | None, now_ms: float) -> None:
        """Limit the resources that runs may reserve, or end the limit."""
        if instance is not None and instance.announcement is not self._announcement:
            self._announcement = instance.announcement
            self._remaining_ms = max(0.0, instance.announcement.cold_remaining_ms)
            self._reported_ms = now_ms
        share = self.share(now_ms)
        if instance is None or (share >= 1 and not self._limited_worker):
            return
        instance.reservations.capacity = _scale(instance.announcement.capacity, share)
        limited_worker = instance.worker if share < 1 else ""
        if limited_worker == self._limited_worker:
            return
        self._limited_worker = limited_worker
        fields = {"worker": instance.worker, "remaining_ms": round(self._left_ms(now_ms))}
        if limited_worker:
            logger.info("worker is cold, capacity limited", extra=fields)
        else:
            logger.info("worker is warm, capacity restored", extra=fields)

    def _update(self, now_ms: float) -> None:
        left_ms = self._left_ms(now_ms)
        if not left_ms:
            self._total_ms = 0.0
        elif self._total_ms or now_ms - self._ended_ms < RETURN_PERIOD_MS:
            self._total_ms = max(self._total_ms, left_ms)

    def _left_ms(self, now_ms: float) -> float:
        return max(0.0, self._remaining_ms - (now_ms - self._reported_ms))


def _scale(resources: Resources, share: float) -> Resources:
    return Resources(
        int(resources.cpu_millis * share),
        int(resources.memory_mb * share),
        math.ceil(resources.gpus * share),
    )
