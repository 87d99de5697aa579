"""Remember which tasks were started here, for as long as their keys may come back."""

from __future__ import annotations

import collections

from currantbarrow.jobs import shard_of
from currantbarrow.protocol import FencedTask, TaskReference, TaskResult
from currantbarrow.types import Clock

__all__ = ["LedgerTask", "StartLedger"]


class LedgerTask:
    """Hold what is known of one task: its started attempt, owner and result."""

    __slots__ = ("attempt", "floor", "owner", "result")

    def __init__(self) -> None:
        self.attempt: int | None = None
        # Attempts below the floor were reported as never started and must stay so.
        self.floor = 0
        self.owner = ""
        self.result: TaskResult | None = None


class StartLedger:
    """Keep started tasks by job, bounded by age."""

    __slots__ = ("_clock", "_jobs", "_retention_ms", "_seen_ms", "since_ms")

    def __init__(self, clock: Clock, retention_ms: float) -> None:
        self._clock = clock
        self._retention_ms = retention_ms
        self._jobs: dict[bytes, dict[int, LedgerTask]] = {}
        self._seen_ms: collections.deque[tuple[float, bytes]] = collections.deque()
        self.since_ms = clock.wall_ms()

    def task(self, job_id: bytes, index: int) -> LedgerTask:
        """Return the entry of a task, making it when there is none."""
        job = self._jobs.get(job_id)
        if job is None:
            job = self._jobs[job_id] = {}
            self._seen_ms.append((self._clock.monotonic_ms(), job_id))
        entry = job.get(index)
        if entry is None:
            entry = job[index] = LedgerTask()
        return entry

    def find(self, job_id: bytes, index: int) -> LedgerTask | None:
        """Return the entry of a task, None when there is none."""
        return self._jobs.get(job_id, {}).get(index)

    def refuse(self, reference: TaskReference) -> None:
        """Never start this attempt or an older one."""
        entry = self.task(reference.job_id, reference.index)
        entry.floor = max(entry.floor, reference.attempt + 1)

    def started_in(self, shards: set[int]) -> list[FencedTask]:
        """Return the started tasks of shards."""
        found = []
        for job_id, job in self._jobs.items():
            if shard_of(job_id) in shards:
                indexes = [index for index, entry in job.items() if entry.attempt is not None]
                if indexes:
                    found.append(FencedTask(job_id, indexes))
        return found

    def expire(self) -> None:
        """Forget jobs whose keys are older than the window, ended or not."""
        horizon_ms = self._clock.monotonic_ms() - self._retention_ms
        while self._seen_ms and self._seen_ms[0][0] < horizon_ms:
            _, job_id = self._seen_ms.popleft()
            self._jobs.pop(job_id, None)

    def __len__(self) -> int:
        return len(self._jobs)
