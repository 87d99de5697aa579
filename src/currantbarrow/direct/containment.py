"""Confine queues under which workers crash to a few of the workers.

Designed for a queue of which one job in ten has a task that crashes its worker, while other queues
share the workers. The first start of such a task looks like any other, so every such job costs a
worker for some seconds, and the runs of ten other jobs with it. Giving up a task after two crashes
does not help the others: most crashes are first ones. While workers crash under a queue, its tasks
run only in its cell, a fixed quarter of the workers, and other queues use the rest as far as there
is room. All entries choose the same cell without asking one another.
"""

from __future__ import annotations

import collections
import hashlib
import math
from collections.abc import Iterable

from currantbarrow.direct.crash_history import Crash

__all__ = ["Containment", "choose_cell"]

# A queue can take down at most this share of a service's workers while it is confined.
CELL_SHARE = 0.25
# At most so many queues are confined at a time, so that half of the workers stay open to all.
MAX_CONFINED = 2
# Crashes of this time count as evidence, and a queue stays confined for it after the last crash.
EVIDENCE_MS = 10_000.0
MIN_CRASHES = 2
# By chance, the surprises of n crashes add up to n, with a standard deviation of the root of n.
EVIDENCE_DEVIATIONS = 2.0


def choose_cell(queue: str, addresses: Iterable[str]) -> frozenset[str]:
    """Return the side processes that a confined queue may use, out of those of its service."""
    ranked = sorted(addresses, key=lambda address: _hash(queue, address))
    # A single worker serves confined queues as well.
    return frozenset(ranked[: math.ceil(CELL_SHARE * len(ranked))])


def _hash(queue: str, address: str) -> bytes:
    return hashlib.blake2b(f"{queue}/{address}".encode(), digest_size=8).digest()


class Containment:
    """Decide from the crashes of workers which queues are confined."""

    __slots__ = ("_crashes", "_until_ms")

    def __init__(self) -> None:
        self._crashes: collections.deque[Crash] = collections.deque()
        # Until when each queue is confined if no worker crashes under it.
        self._until_ms: dict[str, float] = {}

    def is_confined(self, queue: str, now_ms: float) -> bool:
        """Return whether tasks of a queue may run only in its cell."""
        return now_ms < self._until_ms.get(queue, 0.0)

    def confined(self, now_ms: float) -> list[str]:
        """Return the confined queues."""
        return [queue for queue, until_ms in self._until_ms.items() if now_ms < until_ms]

    def record(self, crash: Crash, now_ms: float) -> list[str]:
        """Record a crash; return the queues that are confined because of it."""
        self._crashes.append(crash)
        self._expire(now_ms)
        confined = []
        for row in crash.row.queues if crash.blames else []:
            if self.is_confined(row.queue, now_ms):
                # Chance alone gives a surprise of 1.
                if row.surprise >= 1:
                    self._extend(row.queue, crash)
            elif self._is_evident(row.queue, crash.row.service) and self.confine(
                row.queue, crash, now_ms
            ):
                confined.append(row.queue)
        return confined

    def confine(self, queue: str, crash: Crash, now_ms: float) -> bool:
        """Confine a queue after a crash; return whether it was not confined before, and is now."""
        was_confined = self.is_confined(queue, now_ms)
        if was_confined or len(self.confined(now_ms)) < MAX_CONFINED:
            self._extend(queue, crash)
        return not was_confined and self.is_confined(queue, now_ms)

    def release(self, now_ms: float) -> list[str]:
        """End confinements whose time has passed; return their queues."""
        self._expire(now_ms)
        ended = [queue for queue, until_ms in self._until_ms.items() if now_ms >= until_ms]
        for queue in ended:
            del self._until_ms[queue]
        return ended

    def _extend(self, queue: str, crash: Crash) -> None:
        until_ms = crash.crashed_ms + EVIDENCE_MS
        self._until_ms[queue] = max(until_ms, self._until_ms.get(queue, 0.0))

    def _is_evident(self, queue: str, service: str) -> bool:
        """Return whether starts of a queue precede the crashes more closely than by chance."""
        crashes = [each for each in self._crashes if each.blames and each.row.service == service]
        surprise = sum(
            row.surprise for each in crashes for row in each.row.queues if row.queue == queue
        )
        expected = len(crashes) + EVIDENCE_DEVIATIONS * math.sqrt(len(crashes))
        return len(crashes) >= MIN_CRASHES and surprise >= expected

    def _expire(self, now_ms: float) -> None:
        while self._crashes and now_ms - self._crashes[0].crashed_ms > EVIDENCE_MS:
            self._crashes.popleft()
