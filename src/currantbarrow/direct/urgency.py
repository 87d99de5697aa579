"""Prioritise waiting jobs by their latest start time.

Designed for bursts in which jobs of all queues wait, and short jobs have less slack than long ones.
Ordering by the latest start time delays the jobs that can afford it. A job that is
already late is dispatched after all jobs that can still be on time, since it would make those late
as well. A late job that has started keeps its priority: large jobs start in parts, and their
remaining tasks would otherwise wait behind every new job.
"""

from __future__ import annotations

import math

import msgspec

from currantbarrow.direct.patience import keep_until_ms

__all__ = ["EXPIRY_FACTOR", "JobTimes", "create_times"]

# The objective of a job is the response time that its queue allows (see `create_times`). A result
# that takes more than three times as long is of no use to the caller.
EXPIRY_FACTOR = 3.0


class JobTimes(msgspec.Struct, frozen=True):
    """Describe the due and expiry times of a job, on the entry's monotonic clock."""

    received_ms: float
    expected_ms: float
    due_ms: float
    expires_ms: float
    # When the job is given up, whether or not it has started.
    keep_until_ms: float = math.inf

    @property
    def latest_start_ms(self) -> float:
        """Return when the last task has to start for the job to be on time."""
        return self.due_ms - self.expected_ms

    @property
    def latest_useful_start_ms(self) -> float:
        """Return when the last task has to start for the job to end before it expires."""
        return self.expires_ms - self.expected_ms

    def is_late(self, now_ms: float) -> bool:
        """Return whether the job can no longer be on time."""
        return now_ms > self.latest_start_ms

    def is_expired(self, now_ms: float) -> bool:
        """Return whether the job can no longer end before it expires."""
        return now_ms > self.latest_useful_start_ms

    def should_be_refused(self, now_ms: float) -> bool:
        """Return whether to refuse a job that has not started.

        A late job gets only the resources that no other job needs. If none became available during
        a second period as long as its initial slack, the load is too high to expect them soon.
        """
        return now_ms > min(
            2 * self.latest_start_ms - self.received_ms, self.latest_useful_start_ms
        )

    def rank(self, now_ms: float, started: bool = False) -> tuple[int, float]:
        """Return the sort key; the smallest key is dispatched first."""
        # The completed work of a started job is wasted unless the rest of it is done as well.
        if not self.is_late(now_ms) or (started and not self.is_expired(now_ms)):
            return 0, self.latest_start_ms
        return (2 if self.is_expired(now_ms) else 1), self.latest_useful_start_ms


def create_times(
    now_ms: float, expected_ms: float, stretch: float, target_ms: float, caller_timeout_ms: float
) -> JobTimes:
    """Return the times of a job; a caller timeout of 0 means no limit.

    The objective is the expected run time multiplied by the queue's stretch, plus its target.
    """
    objective_ms = stretch * expected_ms + target_ms
    expires_ms = now_ms + EXPIRY_FACTOR * objective_ms
    if caller_timeout_ms > 0:
        expires_ms = min(expires_ms, now_ms + caller_timeout_ms)
    return JobTimes(
        now_ms,
        expected_ms,
        now_ms + objective_ms,
        expires_ms,
        keep_until_ms(now_ms, caller_timeout_ms),
    )
