"""Record calls, answers and task starts, and check them against the documented guarantees."""

from __future__ import annotations

import asyncio
import enum

import msgspec

from currantbarrow.direct.model import JobSpec
from currantbarrow.protocol.direct import RunEnd
from currantbarrow.standins.direct_worker import RunRecorder, WorkerFaults
from soak.site import RunEvent
from soak.worker import CRASHED, CRASHED_BY_TASK

__all__ = ["Attempt", "CheckedRunRecorder", "Oracle", "Outcome"]

# Time after the end of a fault in which the user documentation still allows its effects.
FAULT_EFFECT_S = 4.0
# A connection that ends sooner may have ended before the process had read the request.
LOSS_SLACK_S = 0.2
# A task under which this many workers have crashed may be given up.
CRASHES_TO_GIVE_UP = 2
# Limit from the acknowledgement of a cancel to the last start of a task of the job. It includes
# start orders that the fault injection delivers late.
CANCEL_EFFECT_S = 8.0


class Outcome(enum.Enum):
    """Result of one call, as its caller sees it."""

    OPEN = "open"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    BROKEN = "broken"
    # A complete answer that tasks of the job may have run, and that it may be submitted again.
    INTERRUPTED = "interrupted"
    DISCONNECTED = "hung up"


class Attempt(msgspec.Struct):
    """One call that submits a job."""

    job: str
    entry: str
    sent_s: float
    outcome: Outcome = Outcome.OPEN
    ended_s: float = 0.0
    # Whether the load balancer considered the entry ready.
    is_routed: bool = True


class CheckedRunRecorder(RunRecorder):
    """Record runs, and check each start with the oracle."""

    def __init__(self, oracle: Oracle) -> None:
        super().__init__()
        self._oracle = oracle
        # Time of the event that is being replayed.
        self._at_s: float | None = None

    def replay(self, event: RunEvent) -> None:
        """Record a start or end that the workers' process reports."""
        self._at_s = event.at_s
        if event.end == CRASHED_BY_TASK:
            self.record_crash(event.task, event.worker)
        elif event.end == CRASHED:
            self.record_crash_end(event.task, event.worker)
        elif event.end:
            self.record_end(event.task, event.worker, RunEnd(event.end))
        else:
            self.record_start(event.task, event.worker)
        self._at_s = None

    def record_start(self, task: tuple[str, int, int], worker: str) -> None:
        """Record and check a start."""
        double_runs_before = len(self.double_runs)
        super().record_start(task, worker)
        if len(self.double_runs) > double_runs_before:
            self._oracle.report_violation(
                "one run at a time", f"{task} starts on {worker} during another run of it"
            )
        self._oracle.check_start(task, worker, self, self._at_s)

    def record_crash(self, task: tuple[str, int, int], worker: str) -> None:
        """Record a crash by a task, which is a fault until the worker is back."""
        super().record_crash(task, worker)
        began_s = self._oracle.now_s() if self._at_s is None else self._at_s
        self._oracle.record_fault(began_s, began_s + WorkerFaults().crash_ms / 1000)


class Oracle:
    """Checks the guarantees of the user documentation."""

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.jobs: dict[str, JobSpec] = {}
        self.attempts: list[Attempt] = []
        self.max_attempts = 2
        self._started: set[str] = set()
        self._cancelled_s: dict[str, float] = {}
        # Begin and end of each fault; the end is infinite while the fault lasts.
        self._faults: list[list[float]] = []

    def now_s(self) -> float:
        """Return the time of the event loop."""
        return asyncio.get_running_loop().time()

    def report_violation(self, guarantee: str, detail: str) -> None:
        """Record a violation of a guarantee."""
        self.violations.append(f"{self.now_s():.3f} s: {guarantee}: {detail}")

    # Faults.

    def record_fault(self, began_s: float, ends_s: float) -> None:
        """Record a fault of a known duration."""
        self._faults.append([began_s, ends_s])

    def begin_fault(self) -> list[float]:
        """Record the start of a fault, and return the record to pass to `end_fault`."""
        fault = [self.now_s(), float("inf")]
        self._faults.append(fault)
        return fault

    def end_fault(self, fault: list[float]) -> None:
        """Record the end of a fault."""
        fault[1] = self.now_s()

    def is_fault_free(self, from_s: float, to_s: float) -> bool:
        """Return whether no fault was active in an interval or within its effect time before it."""
        return all(
            end_s + FAULT_EFFECT_S < from_s or begin_s > to_s for begin_s, end_s in self._faults
        )

    # Calls and task starts.

    def record_attempt(self, spec: JobSpec, entry: str) -> Attempt:
        """Record a call that submits a job."""
        self.jobs[spec.job_id] = spec
        attempt = Attempt(spec.job_id, entry, self.now_s())
        self.attempts.append(attempt)
        return attempt

    def record_outcome(
        self,
        attempt: Attempt,
        outcome: Outcome,
        runs: RunRecorder,
        detail: str = "",
        ended_s: float | None = None,
    ) -> None:
        """Record the result of a call, and check that it agrees with the recorded runs."""
        attempt.outcome = outcome
        attempt.ended_s = self.now_s() if ended_s is None else ended_s
        spec = self.jobs[attempt.job]
        tasks = [
            (spec.job_id, step, index)
            for step, each in enumerate(spec.steps)
            for index in range(each.count)
        ]
        if outcome is Outcome.COMPLETED:
            missing = [task for task in tasks if task not in runs.done]
            if missing:
                self.report_violation(
                    "whole answer", f"{spec.job_id} is completed, but {missing[0]} is not done"
                )
        exhausted = any(
            runs.failed[task] >= self.max_attempts or runs.crash_ends[task] >= CRASHES_TO_GIVE_UP
            for task in tasks
        )
        if outcome is Outcome.FAILED and not exhausted:
            self.report_violation(
                "true answer",
                f"{spec.job_id} failed, but no task of it used up its attempts or crashed workers",
            )
        fault_free = self.is_fault_free(attempt.sent_s, attempt.ended_s)
        unexplained = outcome is Outcome.BROKEN or (
            outcome is Outcome.INTERRUPTED and spec.job_id not in self._started
        )
        is_unread = not attempt.is_routed and attempt.ended_s - attempt.sent_s < LOSS_SLACK_S
        if unexplained and fault_free and not (is_unread and outcome is Outcome.BROKEN):
            self.report_violation(
                "answered", f"{spec.job_id} at {attempt.entry}: {detail}, with no fault in effect"
            )

    def record_cancel(self, job: str) -> None:
        """Record a cancel that an entry acknowledged."""
        self._cancelled_s.setdefault(job, self.now_s())

    def check_start(
        self,
        task: tuple[str, int, int],
        worker: str,
        runs: RunRecorder,
        at_s: float | None = None,
    ) -> None:
        """Check a task start against the submitted job, its step order and its cancellation."""
        job, step, _ = task
        self._started.add(job)
        spec = self.jobs.get(job)
        if spec is None:
            self.report_violation(
                "nothing unasked", f"{task} starts on {worker}, but no caller submitted it"
            )
            return
        for required in spec.steps[step].after:
            unfinished = [
                index
                for index in range(spec.steps[required].count)
                if (job, required, index) not in runs.done
            ]
            if unfinished:
                self.report_violation(
                    "order of steps",
                    f"{task} starts before {(job, required, unfinished[0])} is done",
                )
        cancelled_s = self._cancelled_s.get(job)
        start_s = self.now_s() if at_s is None else at_s
        if cancelled_s is not None and start_s - cancelled_s > CANCEL_EFFECT_S:
            self.report_violation(
                "cancelled", f"{task} starts {start_s - cancelled_s:.1f} s after the cancel"
            )

    def check_at_end(self) -> None:
        """Check that each call was answered and that refused jobs did not start."""
        outcomes: dict[str, set[Outcome]] = {}
        for attempt in self.attempts:
            outcomes.setdefault(attempt.job, set()).add(attempt.outcome)
            if attempt.outcome is Outcome.OPEN:
                self.report_violation(
                    "answered", f"{attempt.job} at {attempt.entry} has no answer at the end"
                )
        for job in sorted(self._started):
            if outcomes.get(job) == {Outcome.REFUSED}:
                self.report_violation(
                    "not run is true", f"{job} started, but all calls for it were refused"
                )
