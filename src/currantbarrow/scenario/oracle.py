"""Record what callers received and what workers started, and check the promises."""

from __future__ import annotations

import collections
import enum

import msgspec

from currantbarrow.jobs import (
    JobAnswer,
    JobRequest,
    JobStatus,
    TaskRun,
    TaskState,
    make_job_id,
)
from currantbarrow.standins.fleet import START_WALL_MS

__all__ = ["LEAVING_BOUND_MS", "Oracle", "Promise", "Violation"]

LEAVING_BOUND_MS = 3000.0
# A fault may affect answers for this long after it has ended.
FAULT_EFFECT_MS = 30_000.0
OUTCOME_UNKNOWN = "outcome_unknown"
# Codes that callers may receive without any fault: lack of capacity, or their own request.
FAULT_FREE_CODES = frozenset(
    {
        "overloaded",
        "never_runs",
        "cancelled",
        "task_failed",
        "key_expired",
        "key_reused",
        "class_unknown",
        "job_invalid",
    }
)


class Promise(enum.StrEnum):
    """List the promises that the oracle checks."""

    STARTS_ONCE = "starts at most once"
    WHOLE_ANSWER = "answer complete or failed"
    NOT_RUN = "not run is true"
    FINAL_ANSWER = "a final answer stays"
    LEAVING = "leaving worker gets no new work"
    FORWARD_ONLY = "configuration never goes back"
    IN_FORCE = "in force within 11 s"
    GRACEFUL = "graceful shutdown cuts nothing off"
    ANSWERED = "every caller is answered"
    OPERATOR_INFORMED = "an operator is told what became of a change"


class Violation(msgspec.Struct, frozen=True):
    """Describe one broken promise, with the time and a description."""

    promise: Promise
    at_ms: float
    detail: str


class _JobRecord:
    """Hold the submissions and answers of one job."""

    __slots__ = ("answers", "not_run_ms", "open_calls", "refused_ms", "request", "submitted_ms")

    def __init__(self, request: JobRequest) -> None:
        self.request = request
        self.open_calls = 0
        self.submitted_ms = -1.0
        self.answers: list[JobAnswer] = []
        # When the whole job was last refused, if it has not been submitted again since.
        self.refused_ms: float | None = None
        # When a final answer first reported a task as not run, by the index of the task.
        self.not_run_ms: dict[int, float] = {}


class Oracle:
    """Check the promises against records of starts, answers and configuration versions."""

    def __init__(self) -> None:
        self.violations: list[Violation] = []
        self.starts: collections.Counter[tuple[bytes, int]] = collections.Counter()
        self.response_counts: collections.Counter[str] = collections.Counter()
        self._jobs: dict[bytes, _JobRecord] = {}
        self._leaving_ms: dict[str, float] = {}
        self._versions: dict[tuple[str, str], int] = {}
        self._fault_effects_until_ms = -1.0

    def record_fault(self, until_ms: float) -> None:
        """Record a fault that may affect answers until some time after it ends."""
        self._fault_effects_until_ms = max(self._fault_effects_until_ms, until_ms + FAULT_EFFECT_MS)

    def record_submission(self, request: JobRequest, now_ms: float) -> None:
        """Record a submission."""
        job = self._jobs.setdefault(make_job_id(request), _JobRecord(request))
        job.open_calls += 1
        job.submitted_ms = now_ms
        job.refused_ms = None

    def record_hang_up(self, request: JobRequest) -> None:
        """Record that a caller hung up before the answer."""
        self._jobs[make_job_id(request)].open_calls -= 1

    def record_connection_lost(self, request: JobRequest, now_ms: float) -> None:
        """Record that a caller's connection broke before the answer."""
        self._jobs[make_job_id(request)].open_calls -= 1
        self.response_counts["connection_lost"] += 1
        self._check_graceful(request, "connection_lost", now_ms)

    def record_error(self, request: JobRequest, code: str, now_ms: float) -> None:
        """Record an error that a caller received."""
        self._jobs[make_job_id(request)].open_calls -= 1
        self.response_counts[code] += 1
        self._check_graceful(request, code, now_ms)

    def record_answer(self, request: JobRequest, answer: JobAnswer, now_ms: float) -> None:
        """Record and check the answer to a submission."""
        job_id = make_job_id(request)
        self._jobs[job_id].open_calls -= 1
        self.response_counts[answer.status] += 1
        self.check_answer(request, answer, now_ms)

    def check_answer(self, request: JobRequest, answer: JobAnswer, now_ms: float) -> None:
        """Check an answer, whether it goes to a submission or to a cancellation."""
        job_id = make_job_id(request)
        job = self._jobs.setdefault(job_id, _JobRecord(request))
        if any(task.state is TaskState.UNKNOWN for task in answer.tasks):
            self.response_counts["unknown"] += 1
        if answer.status is JobStatus.COMPLETE:
            self._check_complete(job_id, request, answer, now_ms)
        else:
            self._check_graceful(request, answer.code, now_ms)
            self._check_not_run(job_id, job, answer, now_ms)
        self._check_final(job, answer, now_ms)

    def record_start(self, worker: str, task: TaskRun, now_ms: float) -> None:
        """Record and check the start of a task on a worker."""
        self.starts[task.job_id, task.index] += 1
        label = self._label(task.job_id, task.index)
        if self.starts[task.job_id, task.index] > 1:
            self._add_violation(Promise.STARTS_ONCE, now_ms, f"{label} started again on {worker}")
        leaving_ms = self._leaving_ms.get(worker)
        if leaving_ms is not None and now_ms - leaving_ms > LEAVING_BOUND_MS:
            late = f"{now_ms - leaving_ms:.0f} ms after it announced that it leaves"
            self._add_violation(Promise.LEAVING, now_ms, f"{label} started on {worker} {late}")
        job = self._jobs.get(task.job_id)
        if job is None:
            self._add_violation(Promise.NOT_RUN, now_ms, f"{label} was never submitted")
            return
        if task.index in job.not_run_ms:
            reason = f"a final answer at {job.not_run_ms[task.index]:.0f} ms reported it as not run"
            self._add_violation(Promise.NOT_RUN, now_ms, f"{label} started on {worker}; {reason}")
        if job.refused_ms is not None and job.open_calls == 0:
            reason = f"refused as not run at {job.refused_ms:.0f} ms"
            self._add_violation(Promise.NOT_RUN, now_ms, f"{label} started on {worker}; {reason}")

    def record_leaving(self, worker: str, now_ms: float) -> None:
        """Record that an upstream has announced that it leaves."""
        self._leaving_ms.setdefault(worker, now_ms)

    def record_replacement(self, worker: str) -> None:
        """Record that a new incarnation of an upstream replaces the old one."""
        self._leaving_ms.pop(worker, None)

    def record_version(self, incarnation: str, what: str, version: int, now_ms: float) -> None:
        """Check that the version that a process acts on never decreases."""
        newest = self._versions.get((incarnation, what), version)
        if version < newest:
            self._add_violation(
                Promise.FORWARD_ONLY, now_ms, f"{incarnation}: {what} from {newest} to {version}"
            )
        self._versions[incarnation, what] = max(newest, version)

    def check_change_outcome(
        self, change: str, reported: bool, accepted: bool, now_ms: float
    ) -> None:
        """Compare the result that an operator received with the change's actual outcome."""
        if reported != accepted:
            words = {True: "accepted", False: "not accepted"}
            detail = f"{change} was reported as {words[reported]} and is {words[accepted]}"
            self._add_violation(Promise.OPERATOR_INFORMED, now_ms, detail)

    def record_late_configuration(self, detail: str, now_ms: float) -> None:
        """Record accepted configuration that is not in force in time."""
        self._add_violation(Promise.IN_FORCE, now_ms, detail)

    def record_unanswered(self, request: JobRequest, now_ms: float) -> None:
        """Record a caller that received neither an answer nor an error."""
        self._add_violation(Promise.ANSWERED, now_ms, f"{request.key} has no answer")

    def _check_complete(
        self, job_id: bytes, request: JobRequest, answer: JobAnswer, now_ms: float
    ) -> None:
        expected = [task.payload["echo"] for task in request.tasks]
        actual = [task.value.get("echo") if task.value else None for task in answer.tasks]
        if actual != expected or any(task.state is not TaskState.DONE for task in answer.tasks):
            self._add_violation(
                Promise.WHOLE_ANSWER, now_ms, f"{request.key} is complete without its results"
            )
        missing = [n for n in range(len(expected)) if not self.starts[job_id, n]]
        if missing:
            detail = f"{request.key} is complete, but tasks {missing} never started"
            self._add_violation(Promise.WHOLE_ANSWER, now_ms, detail)

    def _check_not_run(
        self, job_id: bytes, job: _JobRecord, answer: JobAnswer, now_ms: float
    ) -> None:
        whole_job = answer.not_run or answer.status is JobStatus.REFUSED
        for index, task in enumerate(answer.tasks):
            if not whole_job and task.state is not TaskState.NOT_RUN:
                continue
            if self.starts[job_id, index]:
                label = self._label(job_id, index)
                self._add_violation(
                    Promise.NOT_RUN, now_ms, f"{label} ran, but {answer.code} reports it as not run"
                )
            if not whole_job:
                job.not_run_ms.setdefault(index, now_ms)
        if whole_job:
            job.refused_ms = now_ms

    def _check_final(self, job: _JobRecord, answer: JobAnswer, now_ms: float) -> None:
        if answer.status is JobStatus.REFUSED:
            return
        for earlier in job.answers:
            difference = _describe_difference(earlier, answer)
            if difference:
                detail = f"{job.request.key}: {earlier.status} then {answer.status}, {difference}"
                self._add_violation(Promise.FINAL_ANSWER, now_ms, detail)
                break
        job.answers.append(answer)

    def _check_graceful(self, request: JobRequest, code: str, now_ms: float) -> None:
        created_ms = request.created_at_ms - START_WALL_MS
        if code == OUTCOME_UNKNOWN and created_ms <= self._fault_effects_until_ms:
            # A crash can lose the outcome of a job, which is reported to every later caller, too.
            return
        if now_ms > self._fault_effects_until_ms and code not in FAULT_FREE_CODES:
            detail = f"{request.key} got {code} without a fault"
            self._add_violation(Promise.GRACEFUL, now_ms, detail)

    def _label(self, job_id: bytes, index: int) -> str:
        job = self._jobs.get(job_id)
        return f"{job.request.key if job else job_id.hex()}/{index}"

    def _add_violation(self, promise: Promise, now_ms: float, detail: str) -> None:
        self.violations.append(Violation(promise, now_ms, detail))


def _describe_difference(earlier: JobAnswer, later: JobAnswer) -> str:
    """Return how two answers for one job contradict each other; empty if they agree."""
    for index, (one, other) in enumerate(zip(earlier.tasks, later.tasks, strict=True)):
        # An unknown outcome contradicts nothing: a later answer may know the outcome.
        if TaskState.UNKNOWN in (one.state, other.state):
            continue
        if one.state is not other.state:
            return f"task {index} {one.state} then {other.state}"
        if one.value != other.value:
            return f"task {index} has another value"
    return ""
