"""Record outcomes of jobs as callers observe them, and compute ideal response times."""

from __future__ import annotations

import heapq
from collections.abc import Sequence

import msgspec

from currantbarrow.load.workload import PlannedJob

__all__ = ["CANCELLED", "COMPLETE", "FAILED", "NO_ANSWER", "REFUSED", "IdleFleet", "JobOutcome"]

COMPLETE = "complete"
FAILED = "failed"
REFUSED = "refused"
NO_ANSWER = "no answer"
CANCELLED = "cancelled"


class IdleFleet(msgspec.Struct, frozen=True):
    """Describe an idle fleet, as far as the response time of a single job depends on it."""

    slots: int
    round_trip_ms: float

    def ideal_ms(self, run_ms: Sequence[float]) -> float:
        """Return the response time of a job alone on the fleet, with its longest tasks first."""
        if len(run_ms) <= self.slots:
            return max(run_ms) + self.round_trip_ms
        ends_ms = [0.0] * self.slots
        for task_run_ms in sorted(run_ms, reverse=True):
            heapq.heapreplace(ends_ms, ends_ms[0] + task_run_ms)
        return max(ends_ms) + self.round_trip_ms


class JobOutcome(msgspec.Struct, frozen=True):
    """Record the outcome of a job as its caller observed it."""

    job: PlannedJob
    job_id: bytes
    sent_ms: float
    response_ms: float
    ideal_ms: float
    status: str
    code: str = ""

    @property
    def cancelled(self) -> bool:
        """Return whether the caller cancelled the job."""
        return self.code == CANCELLED

    def met_target(self, target_ms: float) -> bool:
        """Return whether the job completed within its target."""
        return self.status == COMPLETE and self.response_ms <= target_ms
