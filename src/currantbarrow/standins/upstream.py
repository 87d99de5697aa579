"""Stand in for an upstream in memory, with injectable faults."""

from __future__ import annotations

import collections
import random
from collections.abc import Callable

from currantbarrow.exceptions import UpstreamError, UpstreamLost
from currantbarrow.jobs import TaskRun, TaskRunResult
from currantbarrow.types import Clock

__all__ = ["MemoryUpstream", "StartCounter", "UpstreamFaults"]

FAIL_AFTER_MS = 1.0


class StartCounter:
    """Count how often each task was started, over all upstreams."""

    def __init__(self) -> None:
        self.starts: collections.Counter[tuple[bytes, int]] = collections.Counter()
        self.observers: list[Callable[[str, TaskRun], None]] = []

    def record(self, worker: str, task: TaskRun) -> None:
        """Count one start on a worker."""
        self.starts[task.job_id, task.index] += 1
        for observe in self.observers:
            observe(worker, task)

    def double_starts(self) -> list[tuple[bytes, int]]:
        """Return the tasks that were started more than once."""
        return [task for task, count in self.starts.items() if count > 1]


class UpstreamFaults:
    """Describe the current faults of an upstream stand-in."""

    __slots__ = ("fails_all", "loses_all", "slow_factor", "straggler_factor", "straggler_share")

    def __init__(self) -> None:
        self.fails_all = False
        self.loses_all = False
        self.slow_factor = 1.0
        self.straggler_share = 0.0
        self.straggler_factor = 10.0


class MemoryUpstream:
    """Run each task by waiting for the time in its payload."""

    def __init__(
        self, name: str, clock: Clock, rng: random.Random, start_counter: StartCounter
    ) -> None:
        self.name = name
        self.faults = UpstreamFaults()
        self.running = 0
        self._clock = clock
        self._rng = rng
        self._start_counter = start_counter

    async def run(self, task: TaskRun) -> TaskRunResult:
        """Run one task to its end; raise UpstreamError or UpstreamLost."""
        self._start_counter.record(self.name, task)
        self.running += 1
        try:
            return await self._run(task)
        finally:
            self.running -= 1

    async def stop(self, task: TaskRun) -> None:
        """Do nothing: a task stops when its `run` is cancelled."""

    async def _run(self, task: TaskRun) -> TaskRunResult:
        if self.faults.fails_all:
            await self._clock.sleep_ms(FAIL_AFTER_MS)
            raise UpstreamError("the upstream fails everything")
        if self.faults.loses_all:
            raise UpstreamLost("the upstream closed the connection")
        run_ms = float(task.payload["run_ms"]) * self.faults.slow_factor
        if self._rng.random() < self.faults.straggler_share:
            run_ms *= self.faults.straggler_factor
        await self._clock.sleep_ms(run_ms)
        if task.payload.get("fail"):
            raise UpstreamError("the task failed")
        return TaskRunResult({"echo": task.payload.get("echo")}, "", run_ms)
