"""Judge a worker by how its runs go, and try it again when it was found wanting.

Load pattern: workers that fail all they begin, stand still, or take many times as long, for some
seconds at a time, while they announce themselves as well. Such a worker looks idle and attracts
work. A job that can't be done fails on every worker, so one job counts only once.
"""

from __future__ import annotations

import math

__all__ = ["TOO_SLOW", "Soundness"]

# With 6 % of jobs that can't be done, as many in a row on a sound worker are one in 5,000.
FAILED_JOBS_IN_A_ROW = 3
# A worker on trial gets its next task after this long, doubled with each failure.
TRIAL_FIRST_MS = 400.0
TRIAL_LIMIT_MS = 3000.0
# The weight of one more run in a worker's slowness; on trial, one run says almost all.
LEARNING_RATE = 0.12
TRIAL_LEARNING_RATE = 0.7
# The slowest kind of worker takes 1.6 times as long as the fastest, and what is learnt of it
# scatters by a tenth; beyond this a worker is out of order.
TOO_SLOW = 2.6
# Runs that go on for this many times what was expected show a worker that stands still.
OVERDUE = 3.0
OVERDUE_SLACK_MS = 150.0


class Soundness:
    """Keep what is known of one life of a worker."""

    __slots__ = ("_failed_jobs", "_log_slowness", "_on_trial", "_trial_at_ms", "_trial_delay_ms")

    def __init__(self) -> None:
        self._failed_jobs: set[str] = set()
        self._log_slowness = 0.0
        self._on_trial = False
        self._trial_at_ms = 0.0
        self._trial_delay_ms = TRIAL_FIRST_MS

    @property
    def on_trial(self) -> bool:
        """Tell whether the worker is tried with one task at a time."""
        return self._on_trial

    @property
    def slowness(self) -> float:
        """Return how many times as long as expected runs take."""
        return math.exp(self._log_slowness)

    def may_begin(self, now_ms: float, running: int) -> bool:
        """Tell whether another run may begin."""
        return not self._on_trial or (running == 0 and now_ms >= self._trial_at_ms)

    def note_done(self, ran_ms: float, expected_ms: float, now_ms: float) -> None:
        """Take in a run that ended well."""
        self._failed_jobs.clear()
        rate = TRIAL_LEARNING_RATE if self._on_trial else LEARNING_RATE
        ratio = math.log(max(1.0, ran_ms) / max(1.0, expected_ms))
        self._log_slowness += rate * (ratio - self._log_slowness)
        if self.slowness >= TOO_SLOW:
            # On trial it goes on getting tasks, by which to tell when it is well again.
            self._try_later(now_ms) if self._on_trial else self._begin_trial(now_ms)
        elif self._on_trial:
            self._on_trial = False
            self._trial_delay_ms = TRIAL_FIRST_MS

    def note_failed(self, job: str, now_ms: float) -> bool:
        """Take in a run that failed; tell whether the worker goes on trial for it."""
        self._failed_jobs.add(job)
        if self._on_trial:
            self._try_later(now_ms)
        return len(self._failed_jobs) >= FAILED_JOBS_IN_A_ROW and self._begin_trial(now_ms)

    def note_overdue(self, now_ms: float, ratios: list[float]) -> bool:
        """Take in runs that go on, as multiples of what was expected of them.

        Two that are far overdue put the worker on trial, since one may be a job's own doing.
        """
        overdue = sorted(ratio for ratio in ratios if ratio > OVERDUE)
        if len(overdue) < 2 and not (self._on_trial and overdue):
            return False
        self._log_slowness = max(self._log_slowness, math.log(overdue[0]))
        return self._begin_trial(now_ms)

    @staticmethod
    def is_overdue(ratio: float) -> bool:
        """Tell whether a run takes so long that its worker is to blame."""
        return ratio > OVERDUE

    @staticmethod
    def overdue_ratio(ran_ms: float, expected_ms: float) -> float:
        """Return how many times its expected time a run has taken, short ones with a slack."""
        return max(0.0, ran_ms - OVERDUE_SLACK_MS) / max(1.0, expected_ms)

    def _begin_trial(self, now_ms: float) -> bool:
        if self._on_trial:
            return False
        self._on_trial = True
        self._trial_at_ms = now_ms + self._trial_delay_ms
        return True

    def _try_later(self, now_ms: float) -> None:
        self._trial_delay_ms = min(self._trial_delay_ms * 2, TRIAL_LIMIT_MS)
        self._trial_at_ms = now_ms + self._trial_delay_ms
