"""Judge a worker by how its runs go, and try it again when it was found wanting.

Load pattern: workers that fail all they begin, stand still, or take many times as long, for some
seconds at a time, while they announce themselves as well. Such a worker looks idle and attracts
work. A job that can't be done fails on every worker, so one job counts only once.
"""

from __future__ import annotations

import math

__all__ = ["UNHEALTHY_SLOWNESS", "WorkerHealth"]

# With 6 % of jobs that can't be done, as many in a row on a sound worker are one in 5,000.
CONSECUTIVE_FAILED_JOBS_LIMIT = 3
# A worker on trial gets its next task after this long, doubled with each failure.
PROBATION_INITIAL_DELAY_MS = 400.0
PROBATION_MAX_DELAY_MS = 3000.0
# The weight of one more run in a worker's slowness; on trial, one run says almost all.
LEARNING_RATE = 0.12
PROBATION_LEARNING_RATE = 0.7
# The slowest kind of worker takes 1.6 times as long as the fastest, and what is learnt of it
# scatters by a tenth; beyond this a worker is out of order.
UNHEALTHY_SLOWNESS = 2.6
# Runs that go on for this many times what was expected show a worker that stands still.
OVERDUE_RATIO = 3.0
OVERDUE_ALLOWANCE_MS = 150.0


class WorkerHealth:
    """Keep what is known of one life of a worker."""

    __slots__ = (
        "_failed_jobs",
        "_log_slowness",
        "_next_probe_ms",
        "_on_probation",
        "_probe_delay_ms",
    )

    def __init__(self) -> None:
        self._failed_jobs: set[str] = set()
        self._log_slowness = 0.0
        self._on_probation = False
        self._next_probe_ms = 0.0
        self._probe_delay_ms = PROBATION_INITIAL_DELAY_MS

    @property
    def on_probation(self) -> bool:
        """Tell whether the worker is tried with one task at a time."""
        return self._on_probation

    @property
    def slowness(self) -> float:
        """Return how many times as long as expected runs take."""
        return math.exp(self._log_slowness)

    def can_start(self, now_ms: float, running: int) -> bool:
        """Tell whether another run may begin."""
        return not self._on_probation or (running == 0 and now_ms >= self._next_probe_ms)

    def record_success(self, ran_ms: float, expected_ms: float, now_ms: float) -> None:
        """Take in a run that ended well."""
        self._failed_jobs.clear()
        rate = PROBATION_LEARNING_RATE if self._on_probation else LEARNING_RATE
        ratio = math.log(max(1.0, ran_ms) / max(1.0, expected_ms))
        self._log_slowness += rate * (ratio - self._log_slowness)
        if self.slowness >= UNHEALTHY_SLOWNESS:
            # On trial it goes on getting tasks, by which to tell when it is well again.
            self._delay_next_probe(now_ms) if self._on_probation else self._start_probation(now_ms)
        elif self._on_probation:
            self._on_probation = False
            self._probe_delay_ms = PROBATION_INITIAL_DELAY_MS

    def record_failure(self, job: str, now_ms: float) -> bool:
        """Take in a run that failed; tell whether the worker goes on trial for it."""
        self._failed_jobs.add(job)
        if self._on_probation:
            self._delay_next_probe(now_ms)
        return len(self._failed_jobs) >= CONSECUTIVE_FAILED_JOBS_LIMIT and self._start_probation(
            now_ms
        )

    def record_overdue(self, now_ms: float, ratios: list[float]) -> bool:
        """Take in runs that go on, as multiples of what was expected of them.

        Two that are far overdue put the worker on trial, since one may be a job's own doing.
        """
        overdue = sorted(ratio for ratio in ratios if ratio > OVERDUE_RATIO)
        if len(overdue) < 2 and not (self._on_probation and overdue):
            return False
        self._log_slowness = max(self._log_slowness, math.log(overdue[0]))
        return self._start_probation(now_ms)

    @staticmethod
    def is_overdue(ratio: float) -> bool:
        """Tell whether a run takes so long that its worker is to blame."""
        return ratio > OVERDUE_RATIO

    @staticmethod
    def overdue_ratio(ran_ms: float, expected_ms: float) -> float:
        """Return how many times its expected time a run has taken, short ones with a slack."""
        return max(0.0, ran_ms - OVERDUE_ALLOWANCE_MS) / max(1.0, expected_ms)

    def _start_probation(self, now_ms: float) -> bool:
        if self._on_probation:
            return False
        self._on_probation = True
        self._next_probe_ms = now_ms + self._probe_delay_ms
        return True

    def _delay_next_probe(self, now_ms: float) -> None:
        self._probe_delay_ms = min(self._probe_delay_ms * 2, PROBATION_MAX_DELAY_MS)
        self._next_probe_ms = now_ms + self._probe_delay_ms
