"""Keep the results of runs until an entry that has lost its link can no longer use them."""

from __future__ import annotations

import collections

from currantbarrow.direct.session import ORDER_END_LIMIT_MS
from currantbarrow.protocol.direct import EndRow, RunEnd

__all__ = ["RecentResults"]

# Ends after which a task is not ordered again for the same reason. Numbers of runs that were not
# started are used again, so their ends must not be repeated.
RESULTS = (RunEnd.DONE, RunEnd.FAILED)


class RecentResults:
    """Keep the results of each entry's runs, by its incarnation.

    A link that breaks may lose reports. Without the results, tasks that are done would be ordered
    again. The entry counts all runs over a lost link as ended after ORDER_END_LIMIT_MS.
    """

    __slots__ = ("_results",)

    def __init__(self) -> None:
        self._results: dict[str, collections.deque[tuple[float, EndRow]]] = {}

    def record(self, incarnation: str, row: EndRow, now_ms: float) -> None:
        """Record the end of a run that an entry has ordered."""
        if row.end in RESULTS:
            self._results.setdefault(incarnation, collections.deque()).append((now_ms, row))

    def recent(self, incarnation: str) -> list[EndRow]:
        """Return the results that may not have reached an entry, oldest first."""
        return [row for _, row in self._results.get(incarnation, ())]

    def expire(self, now_ms: float) -> None:
        """Remove the results that entries can no longer use."""
        for incarnation, results in list(self._results.items()):
            while results and now_ms - results[0][0] > ORDER_END_LIMIT_MS:
                results.popleft()
            if not results:
                del self._results[incarnation]
