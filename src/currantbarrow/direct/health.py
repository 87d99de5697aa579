"""Detect unhealthy workers by the results of their runs, and probe them for recovery.

Some workers fail every run, hang, or take many times as long for some seconds at a time, while the
capacity that they announce to their side process looks normal. Such a worker appears idle and
attracts tasks. An invalid job fails on every worker, so repeated failures of one job count only
once.
"""

from __future__ import annotations

import math

__all__ = ["UNHEALTHY_SLOWNESS", "WorkerHealth"]

# With 6 % invalid jobs, the probability of three failed jobs in a row on a healthy worker is about
# 1 in 5,000.
FAILED_JOBS_LIMIT = 3
# A worker on probation gets a single probe task after this delay, which doubles with each failed or
# slow probe.
PROBATION_INITIAL_DELAY_MS = 400.0
PROBATION_MAX_DELAY_MS = 3000.0
# The weight of a new run in a worker's slowness; on probation the latest run dominates.
LEARNING_RATE = 0.12
PROBATION_LEARNING_RATE = 0.7
# A worker whose slowness reaches this is unhealthy. Healthy ones stay below: the slowest type takes
# 1.6 times as long as the fastest, with an estimation error of about 10 %.
UNHEALTHY_SLOWNESS = 2.6
# After a probation the slowness is not reported as less than expected for this many runs: it is the
# result of a few probes, and a low value would attract work.
RECOVERY_RUNS = 8
# Runs that exceed their expected time by this factor indicate a worker that hangs.
OVERDUE_RATIO = 3.0
OVERDUE_ALLOWANCE_MS = 150.0


class WorkerHealth:
    """Derive the health of one worker instance from its runs."""

    __slots__ = (
        "_failed_jobs",
        "_log_slowness",
        "_next_probe_ms",
        "_on_probation",
        "_probe_delay_ms",
        "_recovery_runs",
    )

    def __init__(self) -> None:
        self._failed_jobs: set[str] = set()
        self._log_slowness = 0.0
        self._on_probation = False
        self._next_probe_ms = 0.0
        self._probe_delay_ms = PROBATION_INITIAL_DELAY_MS
        # Runs that are left until the learnt slowness counts, after a probation.
        self._recovery_runs = 0

    @property
    def on_probation(self) -> bool:
        """Return whether the worker is limited to one probe task at a time."""
        return self._on_probation

    @property
    def slowness(self) -> float:
        """Return the ratio of actual to expected run times."""
        learnt = math.exp(self._log_slowness)
        return max(1.0, learnt) if self._on_probation or self._recovery_runs else learnt

    def can_start(self, now_ms: float, running: int) -> bool:
        """Return whether another run may start."""
        return not self._on_probation or (running == 0 and now_ms >= self._next_probe_ms)

    def record_success(self, ran_ms: float, expected_ms: float, now_ms: float) -> None:
        """Record a successful run; it may start, extend or end a probation."""
        self._failed_jobs.clear()
        rate = PROBATION_LEARNING_RATE if self._on_probation else LEARNING_RATE
        ratio = math.log(max(1.0, ran_ms) / max(1.0, expected_ms))
        self._log_slowness += rate * (ratio - self._log_slowness)
        if self.slowness >= UNHEALTHY_SLOWNESS:
            # Probes continue during probation, since only they can show that it has recovered.
            self._delay_next_probe(now_ms) if self._on_probation else self._start_probation(now_ms)
        elif self._on_probation:
            self._on_probation = False
            self._probe_delay_ms = PROBATION_INITIAL_DELAY_MS
            self._recovery_runs = RECOVERY_RUNS
        elif self._recovery_runs:
            self._recovery_runs -= 1

    def record_failure(self, job: str, now_ms: float) -> bool:
        """Record a failed run; return whether it starts a probation."""
        self._failed_jobs.add(job)
        if self._on_probation:
            self._delay_next_probe(now_ms)
        return len(self._failed_jobs) >= FAILED_JOBS_LIMIT and self._start_probation(now_ms)

    def check_running(self, now_ms: float, ratios: list[float]) -> bool:
        """Check the runs in progress for overdue ones; return whether a probation starts.

        ratios has one element for each job: the largest overdue ratio of its runs. Overdue runs of
        two jobs start a probation, since those of a single job may be due to the job itself. During
        a probation, those of one job are enough to raise the slowness.
        """
        overdue = sorted(ratio for ratio in ratios if ratio > OVERDUE_RATIO)
        if len(overdue) < 2 and not (self._on_probation and overdue):
            return False
        self._log_slowness = max(self._log_slowness, math.log(overdue[0]))
        return self._start_probation(now_ms)

    @staticmethod
    def is_overdue(ratio: float) -> bool:
        """Return whether a run exceeds its expected time so far that its worker may hang."""
        return ratio > OVERDUE_RATIO

    @staticmethod
    def overdue_ratio(ran_ms: float, expected_ms: float) -> float:
        """Return the ratio of actual to expected run time, with an allowance for short runs."""
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
