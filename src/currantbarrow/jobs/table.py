"""Store the jobs of an owner, so that a resubmission finds the original job."""

from __future__ import annotations

import asyncio
import collections

import msgspec

from currantbarrow.exceptions import JobConflict, OwnershipError
from currantbarrow.jobs.model import (
    JobAnswer,
    JobRequest,
    JobStatus,
    TaskAnswer,
    TaskState,
    digest_encoded,
    digest_request,
    shard_of,
)
from currantbarrow.types import Clock

__all__ = ["Job", "JobTable", "TaskProgress"]

DEFAULT_ANSWER_BUDGET_BYTES = 8 * 1024 * 1024


class TaskProgress:
    """Track one task: waiting, started at a side process, or answered."""

    __slots__ = ("answer", "attempt", "side")

    def __init__(self) -> None:
        self.attempt = 0
        self.side = ""
        self.answer: TaskAnswer | None = None

    @property
    def waiting(self) -> bool:
        """Return whether the task is known not to have started."""
        return self.answer is None and not self.side


class Job:
    """Track a job with the progress of its tasks and, once it has ended, its answer."""

    __slots__ = (
        "accepted_ms",
        "answer",
        "answer_bytes",
        "digest",
        "future",
        "job_id",
        "open_tasks",
        "request",
        "request_bytes",
        "target_ms",
        "tasks",
    )

    def __init__(self, job_id: bytes, request: JobRequest, accepted_ms: float) -> None:
        self.job_id = job_id
        self.request = request
        encoded = msgspec.msgpack.encode(request)
        self.digest = digest_encoded(encoded)
        self.request_bytes = len(encoded)
        self.answer_bytes = 0
        self.accepted_ms = accepted_ms
        self.target_ms = 0.0
        self.tasks = [TaskProgress() for _ in request.tasks]
        self.open_tasks = len(self.tasks)
        self.answer: JobAnswer | None = None
        self.future: asyncio.Future[JobAnswer] = asyncio.get_running_loop().create_future()

    @property
    def has_waiting(self) -> bool:
        """Return whether any task is waiting to be started."""
        return self.answer is None and any(task.waiting for task in self.tasks)

    def record_task_end(self, index: int, answer: TaskAnswer) -> bool:
        """Record the first end of a task; return whether this was the first."""
        if self.answer is not None or self.tasks[index].answer is not None:
            return False
        self.tasks[index].answer = answer
        self.open_tasks -= 1
        return True

    def finish(self, answer: JobAnswer) -> None:
        """Set the job's final answer and wake its waiters."""
        self.answer = answer
        if not self.future.done():
            self.future.set_result(answer)

    def redirect_waiters(self) -> None:
        """Fail the waiters, because another entry now owns the job."""
        self._fail_waiters("the job's shard has a new owner")

    def reject_waiters(self) -> None:
        """Fail the present waiters so that they retry later; the job itself continues."""
        if not self.future.done():
            self._fail_waiters("the owner of the job's shard may not start work at present")
            self.future = asyncio.get_running_loop().create_future()

    def _fail_waiters(self, reason: str) -> None:
        if not self.future.done():
            self.future.set_exception(OwnershipError(reason))
            # Retrieve the exception, so asyncio does not log it when nobody waits.
            self.future.exception()

    def drop_values(self) -> None:
        """Replace the answer by one without values, which still says which tasks ran."""
        if self.answer is None:
            return
        reason = "the result is no longer kept"
        tasks = [
            TaskAnswer(TaskState.RAN, None, reason) if task.state is TaskState.DONE else task
            for task in self.answer.tasks
        ]
        self.answer = JobAnswer(JobStatus.FAILED, tasks, "result_dropped", reason)
        self.answer_bytes = 0
        self.future = asyncio.get_running_loop().create_future()
        self.future.set_result(self.answer)

    def compact(self) -> None:
        """Free the request and tasks of a complete job; keep its digest and answer."""
        if self.answer is not None and self.answer.status is JobStatus.COMPLETE:
            self.request = msgspec.structs.replace(self.request, tasks=[])
            self.request_bytes = 0
            self.tasks = []

    def completed_answer(self) -> JobAnswer:
        """Return the answer of a job whose tasks are all done."""
        answers = [self._answer_of(task, TaskState.UNKNOWN) for task in self.tasks]
        return JobAnswer(JobStatus.COMPLETE, answers)

    def failed_answer(self, code: str, reason: str, *, owned: bool = True) -> JobAnswer:
        """Return the answer of a failed job, with what is known of each task.

        Only the owner knows that a task waiting here never ran: after its lease has expired, a
        successor may have started the task.
        """
        waiting = TaskState.NOT_RUN if owned else TaskState.UNKNOWN
        answers = [self._answer_of(task, waiting) for task in self.tasks]
        none_started = all(answer.state is TaskState.NOT_RUN for answer in answers)
        status = JobStatus.REFUSED if none_started else JobStatus.FAILED
        return JobAnswer(status, answers, code, reason, 0, none_started)

    @staticmethod
    def _answer_of(task: TaskProgress, waiting: TaskState) -> TaskAnswer:
        if task.answer is not None:
            return task.answer
        return TaskAnswer(waiting if task.waiting else TaskState.UNKNOWN)


class JobTable:
    """Store jobs by id until their keys are too old to be resubmitted."""

    __slots__ = (
        "_added",
        "_answer_bytes",
        "_answered",
        "_budget_bytes",
        "_cancelled",
        "_clock",
        "_jobs",
        "_retention_ms",
    )

    def __init__(
        self, clock: Clock, retention_ms: float, budget_bytes: int = DEFAULT_ANSWER_BUDGET_BYTES
    ) -> None:
        self._clock = clock
        self._retention_ms = retention_ms
        self._budget_bytes = budget_bytes
        self._answer_bytes = 0
        self._answered: collections.deque[tuple[bytes, int]] = collections.deque()
        self._jobs: dict[bytes, Job] = {}
        self._cancelled: dict[bytes, None] = {}
        self._added: collections.deque[tuple[float, bytes]] = collections.deque()

    def find(self, job_id: bytes) -> Job | None:
        """Return a job, or None if it is unknown."""
        return self._jobs.get(job_id)

    def find_duplicate(self, job_id: bytes, request: JobRequest) -> Job | None:
        """Return the job that a request repeats; raise JobConflict if the request differs."""
        job = self._jobs.get(job_id)
        if job is not None and job.digest != digest_request(request):
            raise JobConflict("the key was used before for a different job")
        return job

    def add(self, job: Job) -> None:
        """Add a job."""
        self._jobs[job.job_id] = job
        self._added.append((self._clock.monotonic_ms(), job.job_id))

    def record_answer(self, job: Job) -> None:
        """Account for a job's answer; drop the values of the oldest answers over the budget."""
        if job.answer is None or self._jobs.get(job.job_id) is not job:
            return
        job.compact()
        self._answered.append((job.job_id, job.answer_bytes))
        self._answer_bytes += job.answer_bytes
        while self._answer_bytes > self._budget_bytes and self._answered:
            job_id, dropped_bytes = self._answered.popleft()
            self._answer_bytes -= dropped_bytes
            oldest = self._jobs.get(job_id)
            if oldest is not None and dropped_bytes:
                oldest.drop_values()

    def record_early_cancel(self, job_id: bytes) -> None:
        """Record a cancellation that arrived before its submission."""
        self._cancelled[job_id] = None
        self._added.append((self._clock.monotonic_ms(), job_id))

    def is_cancelled(self, job_id: bytes) -> bool:
        """Return whether a job was cancelled before its submission arrived."""
        return job_id in self._cancelled

    def cancelled_in_shards(self, shards: set[int]) -> list[bytes]:
        """Return the ids of jobs in the shards that were cancelled before submission."""
        return [job_id for job_id in self._cancelled if shard_of(job_id) in shards]

    def remove(self, job_id: bytes) -> None:
        """Remove a job that never ran or that moved to another owner."""
        self._jobs.pop(job_id, None)

    def jobs_in_shards(self, shards: set[int]) -> list[Job]:
        """Return the jobs in the shards."""
        return [job for job in self._jobs.values() if shard_of(job.job_id) in shards]

    def open_jobs(self) -> list[Job]:
        """Return the jobs without an answer."""
        return [job for job in self._jobs.values() if job.answer is None]

    def expire(self) -> None:
        """Remove answered jobs whose keys are too old to be resubmitted."""
        horizon_ms = self._clock.monotonic_ms() - self._retention_ms
        open_job_ids = []
        while self._added and self._added[0][0] < horizon_ms:
            _, job_id = self._added.popleft()
            self._cancelled.pop(job_id, None)
            job = self._jobs.get(job_id)
            if job is None:
                continue
            if job.answer is not None:
                del self._jobs[job_id]
            else:
                open_job_ids.append(job_id)
        now_ms = self._clock.monotonic_ms()
        while self._answered and self._answered[0][0] not in self._jobs:
            self._answer_bytes -= self._answered.popleft()[1]
        self._added.extend((now_ms, job_id) for job_id in open_job_ids)

    def __len__(self) -> int:
        return len(self._jobs)
