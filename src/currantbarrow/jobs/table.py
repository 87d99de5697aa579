"""Keep the jobs of an owner, so that a resubmission finds the first one."""

from __future__ import annotations

import asyncio
import collections

from currantbarrow.exceptions import JobConflict, OwnershipError
from currantbarrow.jobs.model import (
    JobAnswer,
    JobRequest,
    JobStatus,
    TaskAnswer,
    TaskState,
    digest_request,
    shard_of,
)
from currantbarrow.types import Clock

__all__ = ["Job", "JobTable", "TaskEntry"]


class TaskEntry:
    """Hold the state of one task: waiting, at a side process, or ended with an answer."""

    __slots__ = ("answer", "attempt", "side")

    def __init__(self) -> None:
        self.attempt = 0
        self.side = ""
        self.answer: TaskAnswer | None = None

    @property
    def waiting(self) -> bool:
        """Tell whether the task surely has not started."""
        return self.answer is None and not self.side


class Job:
    """Hold one job, its tasks and, in the end, its answer."""

    __slots__ = (
        "accepted_ms",
        "answer",
        "digest",
        "future",
        "job_id",
        "open_tasks",
        "request",
        "target_ms",
        "tasks",
    )

    def __init__(self, job_id: bytes, request: JobRequest, accepted_ms: float) -> None:
        self.job_id = job_id
        self.request = request
        self.digest = digest_request(request)
        self.accepted_ms = accepted_ms
        self.target_ms = 0.0
        self.tasks = [TaskEntry() for _ in request.tasks]
        self.open_tasks = len(self.tasks)
        self.answer: JobAnswer | None = None
        self.future: asyncio.Future[JobAnswer] = asyncio.get_running_loop().create_future()

    def end_task(self, index: int, answer: TaskAnswer) -> bool:
        """Record a task's end once; tell whether this was the first time."""
        entry = self.tasks[index]
        if entry.answer is not None or self.answer is not None:
            return False
        entry.answer = answer
        self.open_tasks -= 1
        return True

    def finish(self, answer: JobAnswer) -> None:
        """Give the job its final answer."""
        self.answer = answer
        if not self.future.done():
            self.future.set_result(answer)

    def move(self) -> None:
        """Tell those who wait that another entry owns the job now."""
        if not self.future.done():
            self.future.set_exception(OwnershipError("the job's shard has a new owner"))
            # Nobody may be waiting, and that is no mistake.
            self.future.exception()

    def complete(self) -> JobAnswer:
        """Return the answer of a job whose tasks are all done."""
        answers = [self._describe(entry, TaskState.UNKNOWN) for entry in self.tasks]
        return JobAnswer(JobStatus.COMPLETE, answers)

    def fail(self, code: str, reason: str, *, owned: bool = True) -> JobAnswer:
        """Return the answer of a failed job, with what is known of each task.

        Only an owner can say of a task that waits here that it never ran: after the lease
        has lapsed, a successor may have started it.
        """
        waiting = TaskState.NOT_RUN if owned else TaskState.UNKNOWN
        answers = [self._describe(entry, waiting) for entry in self.tasks]
        never = all(answer.state is TaskState.NOT_RUN for answer in answers)
        status = JobStatus.REFUSED if never else JobStatus.FAILED
        return JobAnswer(status, answers, code, reason, 0, never)

    @staticmethod
    def _describe(entry: TaskEntry, waiting: TaskState) -> TaskAnswer:
        if entry.answer is not None:
            return entry.answer
        return TaskAnswer(waiting if entry.waiting else TaskState.UNKNOWN)


class JobTable:
    """Find jobs by their id until their keys are too old to come back."""

    __slots__ = ("_added_ms", "_cancelled", "_clock", "_jobs", "_retention_ms")

    def __init__(self, clock: Clock, retention_ms: float) -> None:
        self._clock = clock
        self._retention_ms = retention_ms
        self._jobs: dict[bytes, Job] = {}
        self._cancelled: dict[bytes, None] = {}
        self._added_ms: collections.deque[tuple[float, bytes]] = collections.deque()

    def find(self, job_id: bytes) -> Job | None:
        """Return a job, None when it is not known."""
        return self._jobs.get(job_id)

    def find_same(self, job_id: bytes, request: JobRequest) -> Job | None:
        """Return the job that a request repeats; raise JobConflict for another body."""
        job = self._jobs.get(job_id)
        if job is not None and job.digest != digest_request(request):
            raise JobConflict("the key was used before for a different job")
        return job

    def add(self, job: Job) -> None:
        """Add a job."""
        self._jobs[job.job_id] = job
        self._added_ms.append((self._clock.monotonic_ms(), job.job_id))

    def cancel_early(self, job_id: bytes) -> None:
        """Remember a cancellation that overtook its submission."""
        self._cancelled[job_id] = None
        self._added_ms.append((self._clock.monotonic_ms(), job_id))

    def is_cancelled(self, job_id: bytes) -> bool:
        """Tell whether a job was cancelled before it came."""
        return job_id in self._cancelled

    def cancelled_in(self, shards: set[int]) -> list[bytes]:
        """Return the jobs of shards that were cancelled before they came."""
        return [job_id for job_id in self._cancelled if shard_of(job_id) in shards]

    def remove(self, job_id: bytes) -> None:
        """Forget a job, for one that never ran or has moved to another owner."""
        self._jobs.pop(job_id, None)

    def in_shards(self, shards: set[int]) -> list[Job]:
        """Return the jobs of shards."""
        return [job for job in self._jobs.values() if shard_of(job.job_id) in shards]

    def open_jobs(self) -> list[Job]:
        """Return the jobs without an answer."""
        return [job for job in self._jobs.values() if job.answer is None]

    def expire(self) -> None:
        """Forget answered jobs whose keys are too old to come back."""
        horizon_ms = self._clock.monotonic_ms() - self._retention_ms
        still_open = []
        while self._added_ms and self._added_ms[0][0] < horizon_ms:
            _, job_id = self._added_ms.popleft()
            self._cancelled.pop(job_id, None)
            job = self._jobs.get(job_id)
            if job is None:
                continue
            if job.answer is not None:
                del self._jobs[job_id]
            else:
                still_open.append(job_id)
        now_ms = self._clock.monotonic_ms()
        self._added_ms.extend((now_ms, job_id) for job_id in still_open)

    def __len__(self) -> int:
        return len(self._jobs)
