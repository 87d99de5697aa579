"""Hold what callers saw of their jobs, and what each would have taken alone."""

from __future__ import annotations

import heapq
from collections.abc import Sequence

import msgspec

from currantbarrow.load.workload import PlannedJob

__all__ = ["CANCELLED", "COMPLETE", "FAILED", "NO_ANSWER", "REFUSED", "JobOutcome", "IdleFleet"]

COMPLETE = "complete"
FAILED = "failed"
REFUSED = "refused"
NO_ANSWER = "no answer"
CANCELLED = "cancelled"


class IdleFleet(msgspec.Struct, frozen=True):
    """Hold what the time of a job alone on an idle fleet depends on."""

    slots: int
    round_trip_ms: float

    def ideal_ms(self, run_ms: Sequence[float]) -> float:
        """Return what a job takes alone on the idle fleet, longest tasks first."""
        if len(run_ms) <= self.slots:
            return max(run_ms) + self.round_trip_ms
        ends_ms = [0.0] * self.slots
        for task_run_ms in sorted(run_ms, reverse=True):
            heapq.heapreplace(ends_ms, ends_ms[0] + task_run_ms)
        return max(ends_ms) + self.round_trip_ms


class JobOutcome(msgspec.Struct, frozen=True):
    """Hold what a caller saw of one job."""

    job: PlannedJob
    job_id: bytes
    sent_ms: float
    response_ms: float
    ideal_ms: float
    status: str
    code: str = ""

    @property
    def cancelled(self) -> bool:
        """Tell whether the caller cancelled the job."""
        return self.code == CANCELLED

    def met_target(self, target_ms: float) -> bool:
        """Tell whether the job was complete in time."""
        return self.status == COMPLETE and self.response_ms <= target_ms
