"""Confine queues under which workers crash to a few of the workers.

Designed for a queue of which one job in ten has a task that crashes its worker, while other queues
share the workers. The first start of such a task looks like any other, so every such job costs a
worker for some seconds, and the runs of ten other jobs with it. Giving up a task after two crashes
does not help the others: most crashes are first ones. While workers crash under a queue, its tasks
run only in its cell, a third of the workers or as many as its load needs, and other queues use the
rest as far as there is room. All entries choose nearly the same cell without asking one another.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable

from currantbarrow.direct.crash_history import Crash

__all__ = ["Containment", "QueueLoads", "choose_cell"]

# While it is confined, a queue can take down this share of a service's workers; more only if it
# needs them for its load, with some reserve, and never more than half.
CELL_SHARE = 1 / 3
LOAD_RESERVE = 1.5
MAX_CELL_SHARE = 0.5
# The load of a queue is averaged over about this time.
LOAD_PERIOD_MS = 3000.0
# At most so many queues are confined at a time, so that some workers stay open to all.
MAX_CONFINED = 2
# Crashes of this time count as evidence, and a queue stays confined for it after the last crash.
EVIDENCE_MS = 10_000.0
MIN_CRASHES = 2
# By chance, the surprises of n crashes add up to n, with a standard deviation of the root of n.
EVIDENCE_DEVIATIONS = 1.85


def choose_cell(queue: str, addresses: Iterable[str], load_share: float) -> frozenset[str]:
    """Return the side processes that a confined queue may use, out of those of its service.

    load_share is the share of their workers' cores that the queue's load needs.
    """
    share = min(MAX_CELL_SHARE, max(CELL_SHARE, LOAD_RESERVE * load_share))
    ranked = sorted(addresses, key=lambda address: _hash(queue, address))
    # A single worker serves confined queues as well.
    return frozenset(ranked[: math.ceil(share * len(ranked))])


def _is_explained(crash: Crash, queue: str) -> bool:
    """Return whether a start of a queue preceded a crash more closely than it would by chance."""
    return any(row.queue == queue and row.surprise >= 1 for row in crash.row.queues)


def _hash(queue: str, address: str) -> bytes:
    return hashlib.blake2b(f"{queue}/{address}".encode(), digest_size=8).digest()


class QueueLoads:
    """Measure the cores that each queue's submitted jobs need, with exponential decay."""

    __slots__ = ("_core_ms",)

    def __init__(self) -> None:
        # The decayed sum of each queue's core-milliseconds, and when it was last updated.
        self._core_ms: dict[str, tuple[float, float]] = {}

    def record(self, queue: str, core_ms: float, now_ms: float) -> None:
        """Record a submitted job."""
        self._core_ms[queue] = (self._decayed(queue, now_ms) + core_ms, now_ms)

    def cores(self, queue: str, now_ms: float) -> float:
        """Return the cores that the queue needs."""
        return self._decayed(queue, now_ms) / LOAD_PERIOD_MS

    def _decayed(self, queue: str, now_ms: float) -> float:
        core_ms, updated_ms = self._core_ms.get(queue, (0.0, now_ms))
        return core_ms * math.exp(-(now_ms - updated_ms) / LOAD_PERIOD_MS)


class Containment:
    """Decide from the crashes of workers which queues are confined."""

    __slots__ = ("_crashes", "_until_ms")

    def __init__(self) -> None:
        self._crashes: list[Crash] = []
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
        # An entry that has started receives earlier crashes, in any order.
        self._expire(now_ms)
        for queue in self.confined(now_ms):
            if _is_explained(crash, queue):
                self._extend(queue, crash)
        # Crashes that a confined queue explains are no evidence against those beside it.
        unexplained = [
            each
            for each in self._crashes
            if each.blames
            and each.row.service == crash.row.service
            and not any(_is_explained(each, queue) for queue in self._until_ms)
        ]
        surprises: dict[str, float] = {}
        for each in unexplained:
            for row in each.row.queues:
                surprises[row.queue] = surprises.get(row.queue, 0.0) + row.surprise
        if len(unexplained) < MIN_CRASHES or not surprises:
            return []
        queue, surprise = max(surprises.items(), key=lambda item: item[1])
        expected = len(unexplained) + EVIDENCE_DEVIATIONS * math.sqrt(len(unexplained))
        if surprise >= expected and self.confine(queue, crash, now_ms):
            return [queue]
        return []

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

    def _expire(self, now_ms: float) -> None:
        self._crashes = [
            crash for crash in self._crashes if now_ms - crash.crashed_ms <= EVIDENCE_MS
        ]
