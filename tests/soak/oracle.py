"""Keep what callers were told and what workers began, and check the promises."""

from __future__ import annotations

import asyncio
import enum

import msgspec

from currantbarrow.direct.model import JobSpec
from currantbarrow.standins.direct_worker import RunBook

__all__ = ["Attempt", "CheckedRunRecorder", "Oracle", "Outcome"]

# After the end of a fault its effects may last for this long, as the users' pages allow.
FAULT_EFFECT_S = 4.0
# From the acknowledgement of a cancel to the last start, with orders that arrive late.
CANCEL_EFFECT_S = 8.0


class Outcome(enum.Enum):
    """Say what a caller got for one attempt."""

    OPEN = "open"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    BROKEN = "broken"
    HUNG_UP = "hung up"


class Attempt(msgspec.Struct):
    """Is one call that hands a job in."""

    job: str
    entry: str
    sent_s: float
    outcome: Outcome = Outcome.OPEN
    ended_s: float = 0.0


class CheckedRunRecorder(RunBook):
    """Note starts against the jobs that callers handed in."""

    def __init__(self, oracle: Oracle) -> None:
        super().__init__()
        self._oracle = oracle

    def begin(self, task: tuple[str, int, int], worker: str) -> None:
        """Note a start."""
        doubles = len(self.double_runs)
        super().begin(task, worker)
        if len(self.double_runs) > doubles:
            self._oracle.report_violation(
                "one run at a time", f"{task} begins on {worker} beside another"
            )
        self._oracle.check_start(task, worker, self)


class Oracle:
    """Check the promises of the users' pages."""

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.jobs: dict[str, JobSpec] = {}
        self.attempts: list[Attempt] = []
        self.max_attempts = 2
        self._started: set[str] = set()
        self._cancelled_s: dict[str, float] = {}
        # Times from and to which something was broken.
        self._faults: list[list[float]] = []

    def now_s(self) -> float:
        """Return the time of the run."""
        return asyncio.get_running_loop().time()

    def report_violation(self, promise: str, detail: str) -> None:
        """Take note of a broken promise."""
        self.violations.append(f"{self.now_s():.3f} s: {promise}: {detail}")

    # Faults.

    def begin_fault(self) -> list[float]:
        """Take note of a fault, and return what its end is to be told with."""
        fault = [self.now_s(), float("inf")]
        self._faults.append(fault)
        return fault

    def end_fault(self, fault: list[float]) -> None:
        """Take note of a fault's end."""
        fault[1] = self.now_s()

    def is_fault_free(self, from_s: float, to_s: float) -> bool:
        """Tell whether nothing was broken in a time, nor shortly before it."""
        return all(
            end_s + FAULT_EFFECT_S < from_s or begin_s > to_s for begin_s, end_s in self._faults
        )

    # Callers and workers.

    def record_attempt(self, spec: JobSpec, entry: str) -> Attempt:
        """Take note of an attempt."""
        self.jobs[spec.job_id] = spec
        attempt = Attempt(spec.job_id, entry, self.now_s())
        self.attempts.append(attempt)
        return attempt

    def record_outcome(
        self, attempt: Attempt, outcome: Outcome, book: RunBook, detail: str = ""
    ) -> None:
        """Check what a caller was told."""
        attempt.outcome, attempt.ended_s = outcome, self.now_s()
        spec = self.jobs[attempt.job]
        tasks = [
            (spec.job_id, step, index)
            for step, each in enumerate(spec.steps)
            for index in range(each.count)
        ]
        if outcome is Outcome.COMPLETED:
            missing = [task for task in tasks if task not in book.done]
            if missing:
                self.report_violation(
                    "whole answer", f"{spec.job_id} is completed without {missing[0]}"
                )
        exhausted = any(book.failed[task] >= self.max_attempts for task in tasks)
        if outcome is Outcome.FAILED and not exhausted:
            self.report_violation("true answer", f"{spec.job_id} failed, and none of its tasks did")
        calm = self.is_fault_free(attempt.sent_s, attempt.ended_s)
        if outcome is Outcome.BROKEN and calm:
            self.report_violation(
                "answered", f"{spec.job_id} at {attempt.entry}: {detail}, nothing broken"
            )

    def record_cancel(self, job: str) -> None:
        """Take note of a cancel that was acknowledged."""
        self._cancelled_s.setdefault(job, self.now_s())

    def check_start(self, task: tuple[str, int, int], worker: str, book: RunBook) -> None:
        """Check a start."""
        job, step, _ = task
        self._started.add(job)
        spec = self.jobs.get(job)
        if spec is None:
            self.report_violation(
                "nothing unasked", f"{task} begins on {worker}, and no caller sent it"
            )
            return
        for before in spec.steps[step].after:
            waiting = [
                index
                for index in range(spec.steps[before].count)
                if (job, before, index) not in book.done
            ]
            if waiting:
                self.report_violation(
                    "order of steps", f"{task} begins before {(job, before, waiting[0])}"
                )
        cancelled_s = self._cancelled_s.get(job)
        if cancelled_s is not None and self.now_s() - cancelled_s > CANCEL_EFFECT_S:
            self.report_violation(
                "cancelled", f"{task} begins {self.now_s() - cancelled_s:.1f} s later"
            )

    def check_at_end(self) -> None:
        """Check at the end what only the end can tell."""
        outcomes: dict[str, set[Outcome]] = {}
        for attempt in self.attempts:
            outcomes.setdefault(attempt.job, set()).add(attempt.outcome)
            if attempt.outcome is Outcome.OPEN:
                self.report_violation(
                    "answered", f"{attempt.job} at {attempt.entry} is open at the end"
                )
        for job in sorted(self._started):
            if outcomes.get(job) == {Outcome.REFUSED}:
                self.report_violation(
                    "not run is true", f"{job} began, and all its attempts were refused"
                )
