"""Order waiting jobs by when they have to begin.

Load pattern: bursts in which jobs of all queues wait, short ones with little slack beside long
ones with much. Going by the latest time to begin lets a job that can wait do so. A job that is
late already goes behind all that can still be on time, since it would make those late too, unless
it has begun: large jobs begin in parts, and the rest would wait behind all that comes.
"""

from __future__ import annotations

import msgspec

__all__ = ["EXPIRY_FACTOR", "JobTimes", "create_times"]

# An answer that takes more than three times the objective is of no more use to its caller.
EXPIRY_FACTOR = 3.0


class JobTimes(msgspec.Struct, frozen=True):
    """Hold the times that a job's answer is judged by, on the entry's clock."""

    received_ms: float
    expected_ms: float
    due_ms: float
    expires_ms: float

    @property
    def latest_start_ms(self) -> float:
        """Return when its last task has to begin for the job to be on time."""
        return self.due_ms - self.expected_ms

    @property
    def latest_useful_start_ms(self) -> float:
        """Return when its last task has to begin for the answer to be of any use."""
        return self.expires_ms - self.expected_ms

    def is_late(self, now_ms: float) -> bool:
        """Tell whether the job can no longer be on time."""
        return now_ms > self.latest_start_ms

    def is_expired(self, now_ms: float) -> bool:
        """Tell whether the answer would come too late to be of use."""
        return now_ms > self.latest_useful_start_ms

    def should_be_refused(self, now_ms: float) -> bool:
        """Tell whether a job that has not begun had better be sent away.

        While it is late it only gets room that nobody else wants; as that did not come in as long
        again as it could have waited, there is too much to do for it to come soon.
        """
        return now_ms > min(
            2 * self.latest_start_ms - self.received_ms, self.latest_useful_start_ms
        )

    def rank(self, now_ms: float, started: bool = False) -> tuple[int, float]:
        """Return what to sort by; the smallest goes first."""
        # The work of a job that was begun is lost unless the rest of it is done as well.
        if not self.is_late(now_ms) or (started and not self.is_expired(now_ms)):
            return 0, self.latest_start_ms
        return (2 if self.is_expired(now_ms) else 1), self.latest_useful_start_ms


def create_times(
    now_ms: float, expected_ms: float, stretch: float, target_ms: float, caller_timeout_ms: float
) -> JobTimes:
    """Return a job's times; patience is how long its caller waits, 0 for no bound."""
    objective_ms = stretch * expected_ms + target_ms
    expires_ms = now_ms + EXPIRY_FACTOR * objective_ms
    if caller_timeout_ms > 0:
        expires_ms = min(expires_ms, now_ms + caller_timeout_ms)
    return JobTimes(now_ms, expected_ms, now_ms + objective_ms, expires_ms)
