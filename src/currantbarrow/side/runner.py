"""Run tasks in the worker's slots, with a short queue for tasks that wait for one."""

from __future__ import annotations

import asyncio
import contextlib
import heapq
import math
from collections.abc import Callable

from currantbarrow.exceptions import UpstreamError, UpstreamLost
from currantbarrow.jobs import TaskRun, TaskRunResult, TaskState
from currantbarrow.protocol import TaskResult
from currantbarrow.types import Clock, Metrics, Upstream

__all__ = ["QueuedRun", "TaskRunner"]


class QueuedRun:
    """Describe a task that waits for a slot, with its start's epoch; order tasks by due time."""

    __slots__ = ("dropped", "due_ms", "epoch", "expires_ms", "sequence", "task")

    def __init__(
        self, task: TaskRun, epoch: int, due_ms: float, expires_ms: float, sequence: int
    ) -> None:
        self.expires_ms = expires_ms
        self.task = task
        self.epoch = epoch
        self.due_ms = due_ms
        self.sequence = sequence
        self.dropped = False

    def __lt__(self, other: QueuedRun) -> bool:
        return (self.due_ms, self.sequence) < (other.due_ms, other.sequence)


class TaskRunner:
    """Run queued tasks as slots become free, and report the result of each."""

    __slots__ = (
        "_begun",
        "_clock",
        "_expiry_timers",
        "_metrics",
        "_on_end",
        "_on_expired",
        "_on_start",
        "_queue",
        "_queued",
        "_running",
        "_sequence",
        "_stopped",
        "_upstream",
        "slots",
        "slots_by_task",
        "used_slots",
    )

    def __init__(
        self,
        upstream: Upstream,
        clock: Clock,
        metrics: Metrics,
        on_start: Callable[[TaskRun], None],
        on_end: Callable[[TaskResult], None],
        on_expired: Callable[[TaskRun], None],
    ) -> None:
        self.slots = 0
        self.used_slots = 0
        # Slots that each queued or running task needs.
        self.slots_by_task: dict[tuple[bytes, int], int] = {}
        self._upstream = upstream
        self._clock = clock
        self._metrics = metrics
        self._on_start = on_start
        self._on_end = on_end
        self._on_expired = on_expired
        self._queue: list[QueuedRun] = []
        self._queued: dict[tuple[bytes, int], QueuedRun] = {}
        # Tasks whose coroutine has begun to execute, and tasks that were stopped before that.
        self._begun: set[tuple[bytes, int]] = set()
        self._stopped: set[tuple[bytes, int]] = set()
        self._expiry_timers: set[asyncio.Task[None]] = set()
        self._running: dict[tuple[bytes, int], asyncio.Task[None]] = {}
        self._sequence = 0

    @property
    def queued(self) -> int:
        """Return the number of tasks waiting for a slot."""
        return len(self._queued)

    @property
    def running(self) -> int:
        """Return the number of running tasks."""
        return len(self._running)

    def add(self, task: TaskRun, epoch: int) -> None:
        """Queue a task; it starts as soon as enough slots are free."""
        self._sequence += 1
        now_ms = self._clock.monotonic_ms()
        expires_ms = now_ms + task.expires_in_ms if task.expires_in_ms > 0 else math.inf
        run = QueuedRun(task, epoch, now_ms + task.slack_ms, expires_ms, self._sequence)
        self._queued[task.job_id, task.index] = run
        self.slots_by_task[task.job_id, task.index] = task.size_slots
        heapq.heappush(self._queue, run)
        self.start_waiting()
        if expires_ms < math.inf and not run.dropped and self.is_queued(task.job_id, task.index):
            timer = asyncio.create_task(self._expire_later(run))
            self._expiry_timers.add(timer)
            timer.add_done_callback(self._expiry_timers.discard)

    def is_queued(self, job_id: bytes, index: int) -> bool:
        """Return whether a task is waiting for a slot."""
        return (job_id, index) in self._queued

    def drop(self, job_id: bytes, index: int) -> TaskRun | None:
        """Remove a task from the queue and return it, or None if it is not queued."""
        run = self._queued.pop((job_id, index), None)
        if run is None:
            return None
        run.dropped = True
        del self.slots_by_task[job_id, index]
        return run.task

    def drop_where(self, predicate: Callable[[QueuedRun], bool]) -> list[TaskRun]:
        """Remove and return all queued tasks that match a predicate."""
        runs = [run for run in self._queued.values() if predicate(run)]
        for run in runs:
            self.drop(run.task.job_id, run.task.index)
        return [run.task for run in runs]

    def stop(self, job_id: bytes, index: int) -> bool:
        """Stop a running task; return False if it is not running."""
        running = self._running.get((job_id, index))
        if running is None:
            return False
        if (job_id, index) in self._begun:
            # A second cancellation would interrupt the cleanup after the first one.
            self._begun.discard((job_id, index))
            running.cancel()
        else:
            # A coroutine cancelled before it has begun to execute would never report a result.
            self._stopped.add((job_id, index))
        return True

    def kill(self) -> None:
        """Cancel everything without reporting results, as a crash of the process would."""
        self.slots = 0
        self._queue.clear()
        self._queued.clear()
        self._on_end = lambda result: None
        for running in [*self._running.values(), *self._expiry_timers]:
            running.cancel()

    def start_waiting(self) -> None:
        """Start queued tasks in order while enough slots are free."""
        while self._queue:
            run = self._queue[0]
            if not run.dropped and self.used_slots + run.task.size_slots > self.slots:
                return
            heapq.heappop(self._queue)
            if run.dropped:
                continue
            if self._clock.monotonic_ms() >= run.expires_ms:
                self._expire(run)
            else:
                self._start(run.task)

    async def _expire_later(self, run: QueuedRun) -> None:
        await self._clock.sleep_ms(run.expires_ms - self._clock.monotonic_ms())
        if self._queued.get((run.task.job_id, run.task.index)) is run:
            self._expire(run)

    def _expire(self, run: QueuedRun) -> None:
        """Remove and report a queued task whose result would come too late to be used."""
        self.drop(run.task.job_id, run.task.index)
        self._on_expired(run.task)

    async def wait_idle(self) -> None:
        """Wait until no task is running."""
        while self._running:
            await asyncio.wait(list(self._running.values()))

    def _start(self, task: TaskRun) -> None:
        key = (task.job_id, task.index)
        self._queued.pop(key, None)
        self.used_slots += task.size_slots
        self._on_start(task)
        self._running[key] = asyncio.create_task(self._run(task))

    async def _run(self, task: TaskRun) -> None:
        key = (task.job_id, task.index)
        began_ms = self._clock.monotonic_ms()
        try:
            self._begun.add(key)
            if key in self._stopped:
                outcome = TaskRunResult(error="stopped")
            else:
                outcome = await self._run_with_time_limit(task)
            state = TaskState.RAN if outcome.error else TaskState.DONE
        except UpstreamError as error:
            outcome, state = TaskRunResult(error=str(error)), TaskState.RAN
            if isinstance(error, UpstreamLost):
                self._metrics.incr("side.upstream_lost")
        except asyncio.CancelledError:
            outcome, state = TaskRunResult(error="stopped"), TaskState.RAN
            with contextlib.suppress(UpstreamError):
                await self._upstream.stop(task)
        run_ms = self._clock.monotonic_ms() - began_ms
        del self._running[key]
        self._begun.discard(key)
        self._stopped.discard(key)
        self.slots_by_task.pop((task.job_id, task.index), None)
        self.used_slots -= task.size_slots
        self._metrics.timing("side.task_run", run_ms)
        self._on_end(
            TaskResult(
                task.job_id, task.index, task.attempt, state, outcome.value, outcome.error, run_ms
            )
        )
        self.start_waiting()

    async def _run_with_time_limit(self, task: TaskRun) -> TaskRunResult:
        if task.stop_after_ms <= 0:
            return await self._upstream.run(task)
        try:
            return await asyncio.wait_for(self._upstream.run(task), task.stop_after_ms / 1000)
        except TimeoutError:
            await self._upstream.stop(task)
            self._metrics.incr("side.straggler_stopped")
            return TaskRunResult(error="stopped after running far longer than its kind does")
