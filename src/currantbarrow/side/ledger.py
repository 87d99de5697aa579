"""Record the tasks started here for as long as their jobs may be resubmitted."""

from __future__ import annotations

import collections

import msgspec

from currantbarrow.jobs import MAX_VALUE_BYTES, SHARD_COUNT, TaskState, count_bytes, shard_of
from currantbarrow.protocol import FencedTask, TaskReference, TaskResult
from currantbarrow.types import Clock

__all__ = ["LedgerEntry", "StartLedger"]

VALUE_BUDGET_BYTES = 8 * 1024 * 1024


def _without_value(result: TaskResult, reason: str) -> TaskResult:
    state = TaskState.RAN if result.state is TaskState.DONE else result.state
    return msgspec.structs.replace(result, state=state, value=None, error=result.error or reason)


class LedgerEntry:
    """Track one task: its started attempt, its owner and its result."""

    __slots__ = ("attempt", "expired", "min_attempt", "owner", "result")

    def __init__(self) -> None:
        self.attempt: int | None = None
        # Attempts below this one were reported as never started, so they must never start.
        self.min_attempt = 0
        self.owner = ""
        self.expired = False
        self.result: TaskResult | None = None


class StartLedger:
    """Record started tasks by shard and job, and remove old jobs."""

    __slots__ = (
        "_budget_bytes",
        "_clock",
        "_jobs_by_age",
        "_retention_ms",
        "_shards",
        "_stored_values",
        "_value_bytes",
        "complete_since_ms",
    )

    def __init__(
        self, clock: Clock, retention_ms: float, budget_bytes: int = VALUE_BUDGET_BYTES
    ) -> None:
        self._clock = clock
        self._retention_ms = retention_ms
        # Grouped by shard, since a fence asks for the started tasks of whole shards.
        self._shards: dict[int, dict[bytes, dict[int, LedgerEntry]]] = {
            shard: {} for shard in range(SHARD_COUNT)
        }
        self._jobs_by_age: collections.deque[tuple[float, bytes]] = collections.deque()
        self._budget_bytes = budget_bytes
        self._value_bytes = 0
        self._stored_values: collections.deque[tuple[int, LedgerEntry]] = collections.deque()
        self.complete_since_ms = clock.wall_ms()

    def get_or_create(self, job_id: bytes, index: int) -> LedgerEntry:
        """Return the entry of a task, creating it if there is none."""
        jobs = self._shards[shard_of(job_id)]
        job = jobs.get(job_id)
        if job is None:
            job = jobs[job_id] = {}
            self._jobs_by_age.append((self._clock.monotonic_ms(), job_id))
        entry = job.get(index)
        if entry is None:
            entry = job[index] = LedgerEntry()
        return entry

    def find(self, job_id: bytes, index: int) -> LedgerEntry | None:
        """Return the entry of a task, or None if there is none."""
        job = self._shards[shard_of(job_id)].get(job_id)
        return job.get(index) if job is not None else None

    def store_result(self, entry: LedgerEntry, result: TaskResult) -> TaskResult:
        """Store and return a result, and drop the oldest values that exceed the memory budget.

        A value that is too large to be sent is removed; the result then only says that the
        task ran.
        """
        value_bytes = count_bytes(result.value)
        if value_bytes > MAX_VALUE_BYTES:
            result = _without_value(result, "the result is too large to be sent")
            value_bytes = 0
        entry.result = result
        self._stored_values.append((value_bytes, entry))
        self._value_bytes += value_bytes
        while self._value_bytes > self._budget_bytes:
            dropped_bytes, oldest = self._stored_values.popleft()
            self._value_bytes -= dropped_bytes
            if oldest.result is not None and dropped_bytes:
                oldest.result = _without_value(oldest.result, "the result is no longer kept")
        return result

    def refuse(self, reference: TaskReference) -> None:
        """Refuse this attempt and all earlier ones from now on."""
        entry = self.get_or_create(reference.job_id, reference.index)
        entry.min_attempt = max(entry.min_attempt, reference.attempt + 1)

    def started_tasks(self, shards: set[int]) -> list[FencedTask]:
        """Return the started tasks of the given shards, by job."""
        found = []
        for shard in shards:
            for job_id, job in self._shards.get(shard, {}).items():
                indexes = [index for index, entry in job.items() if entry.attempt is not None]
                if indexes:
                    found.append(FencedTask(job_id, indexes))
        return found

    def expire(self) -> None:
        """Remove jobs too old to be resubmitted, except those with running tasks."""
        horizon_ms = self._clock.monotonic_ms() - self._retention_ms
        running = []
        while self._jobs_by_age and self._jobs_by_age[0][0] < horizon_ms:
            _, job_id = self._jobs_by_age.popleft()
            jobs = self._shards[shard_of(job_id)]
            job = jobs.get(job_id, {})
            if any(entry.attempt is not None and entry.result is None for entry in job.values()):
                running.append(job_id)
            else:
                jobs.pop(job_id, None)
                for entry in job.values():
                    entry.expired = True
        now_ms = self._clock.monotonic_ms()
        while self._stored_values and self._stored_values[0][1].expired:
            self._value_bytes -= self._stored_values.popleft()[0]
        self._jobs_by_age.extend((now_ms, job_id) for job_id in running)

    def __len__(self) -> int:
        return sum(len(jobs) for jobs in self._shards.values())
