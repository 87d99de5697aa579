"""Order waiting jobs by when they have to begin.

Load pattern: bursts in which jobs of all queues wait, short ones with little slack beside long
ones with much. Going by the latest time to begin lets a job that can wait do so. A job that is
late already goes behind all that can still be on time, since it would make those late too, unless
it has begun: large jobs begin in parts, and the rest would wait behind all that comes.
"""

from __future__ import annotations

import msgspec

__all__ = ["LATE_LIMIT", "JobTimes", "create_times"]

# An answer that takes more than three times the objective is of no more use to its caller.
LATE_LIMIT = 3.0


class JobTimes(msgspec.Struct, frozen=True):
    """Hold the times that a job's answer is judged by, on the entry's clock."""

    received_ms: float
    expected_ms: float
    on_time_ms: float
    useless_ms: float

    @property
    def latest_start_ms(self) -> float:
        """Return when its last task has to begin for the job to be on time."""
        return self.on_time_ms - self.expected_ms

    @property
    def last_start_ms(self) -> float:
        """Return when its last task has to begin for the answer to be of any use."""
        return self.useless_ms - self.expected_ms

    def is_late(self, now_ms: float) -> bool:
        """Tell whether the job can no longer be on time."""
        return now_ms > self.latest_start_ms

    def is_useless(self, now_ms: float) -> bool:
        """Tell whether the answer would come too late to be of use."""
        return now_ms > self.last_start_ms

    def has_waited_in_vain(self, now_ms: float) -> bool:
        """Tell whether a job that has not begun had better be sent away.

        While it is late it only gets room that nobody else wants; as that did not come in as long
        again as it could have waited, there is too much to do for it to come soon.
        """
        return now_ms > min(2 * self.latest_start_ms - self.received_ms, self.last_start_ms)

    def rank(self, now_ms: float, begun: bool = False) -> tuple[int, float]:
        """Return what to sort by; the smallest goes first."""
        # The work of a job that was begun is lost unless the rest of it is done as well.
        if not self.is_late(now_ms) or (begun and not self.is_useless(now_ms)):
            return 0, self.latest_start_ms
        return (2 if self.is_useless(now_ms) else 1), self.last_start_ms


def create_times(
    now_ms: float, expected_ms: float, stretch: float, target_ms: float, patience_ms: float
) -> JobTimes:
    """Return a job's times; patience is how long its caller waits, 0 for no bound."""
    objective_ms = stretch * expected_ms + target_ms
    useless_ms = now_ms + LATE_LIMIT * objective_ms
    if patience_ms > 0:
        useless_ms = min(useless_ms, now_ms + patience_ms)
    return JobTimes(now_ms, expected_ms, now_ms + objective_ms, useless_ms)
