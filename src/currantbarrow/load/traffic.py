"""Count the messages that processes exchanged, and the overhead among them."""

from __future__ import annotations

import collections
from collections.abc import Iterable, Mapping

import msgspec

__all__ = ["Traffic", "count_traffic"]

SENT_PREFIX = "link.sent."
STARTED_COUNTER = "side.task_started"


class Traffic(msgspec.Struct, frozen=True):
    """Count messages and started tasks; a batch counts as one message."""

    messages: int = 0
    starts: int = 0
    results: int = 0
    started_tasks: int = 0

    def since(self, earlier: Traffic) -> Traffic:
        """Return the difference from an earlier count."""
        return Traffic(
            self.messages - earlier.messages,
            self.starts - earlier.starts,
            self.results - earlier.results,
            self.started_tasks - earlier.started_tasks,
        )

    def wasted_per_task(self) -> float:
        """Return the messages per started task beyond one start and one result."""
        return self.messages / self.started_tasks - 2 if self.started_tasks else 0.0

    def overhead_per_task(self) -> float:
        """Return the messages per started task that are neither starts nor results."""
        # Starts and results are excluded: batching them would offset the other messages.
        others = self.messages - self.starts - self.results
        return others / self.started_tasks if self.started_tasks else 0.0


def count_traffic(counters: Iterable[Mapping[str, int]]) -> Traffic:
    """Return the traffic summed over the counters of all processes."""
    total: collections.Counter[str] = collections.Counter()
    for process_counters in counters:
        total.update(process_counters)
    messages = sum(count for name, count in total.items() if name.startswith(SENT_PREFIX))
    return Traffic(
        messages,
        total[f"{SENT_PREFIX}Start"],
        total[f"{SENT_PREFIX}Result"],
        total[STARTED_COUNTER],
    )
