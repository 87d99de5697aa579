"""Stand in for workers that take orders: leases, fencing, lists of ends, and faults."""

from __future__ import annotations

import asyncio
import collections
import random

import msgspec

from currantbarrow.direct.model import Resources
from currantbarrow.direct.worker import (
    Announcement,
    PollResult,
    RunName,
    RunSpec,
    StartAnswer,
    StartVerdict,
    WorkerEnd,
)
from currantbarrow.exceptions import WorkerReplaced, WorkerSilent
from currantbarrow.protocol.direct import RunEnd

__all__ = ["MemoryWorker", "RunBook", "WorkerFaults"]

Task = tuple[str, int, int]
ANSWER_MS = 1.0
STOP_MS = 20.0
CHECK_MS = 5.0


class RunBook:
    """Note over all workers what must never happen."""

    def __init__(self) -> None:
        self.running: dict[Task, str] = {}
        self.started: list[tuple[Task, str]] = []
        self.done: set[Task] = set()
        self.failed: collections.Counter[Task] = collections.Counter()
        self.double_runs: list[Task] = []
        self.over_capacity: list[str] = []

    def begin(self, task: Task, worker: str) -> None:
        """Note a start."""
        if task in self.running:
            self.double_runs.append(task)
        self.running[task] = worker
        self.started.append((task, worker))

    def end(self, task: Task, worker: str, end: RunEnd = RunEnd.LOST) -> None:
        """Note an end, and how the run ended."""
        if end is RunEnd.DONE:
            self.done.add(task)
        elif end is RunEnd.FAILED:
            self.failed[task] += 1
        if self.running.get(task) == worker:
            del self.running[task]


class WorkerFaults(msgspec.Struct):
    """Say what goes wrong on a worker."""

    # Orders get no answer and are not carried out.
    silent: bool = False
    # The next so many starts are carried out, and their answers lost.
    lost_answers: int = 0
    # The next so many starts get no answer and are carried out after a while.
    late_starts: int = 0
    late_ms: float = 3000.0
    fails: bool = False
    hangs: bool = False
    slowness: float = 1.0
    # Orders are carried out at once, and answered so much later.
    late_answers_ms: float = 0.0
    # This share of all orders gets no answer and is not carried out.
    lost_share: float = 0.0


class _Running(msgspec.Struct):
    name: RunName
    resources: Resources
    ends_ms: float
    stops_ms: float = 0.0


class MemoryWorker:
    """Be a worker in memory; payloads say how long a task runs and what it takes."""

    def __init__(
        self, name: str, capacity: Resources, book: RunBook, lease_limit_ms: float
    ) -> None:
        self.name = name
        self.capacity = capacity
        self.faults = WorkerFaults()
        self.leaving = False
        self.polls = 0
        self._instance_number = 1
        self._sequence = 0
        self._book = book
        self._lease_limit_ms = lease_limit_ms
        self._lease_until_ms = 0.0
        self._token = 0
        self._runs: dict[Task, _Running] = {}
        self._floor: dict[Task, int] = {}
        self._ends: list[WorkerEnd] = []
        self._position = 0
        self._task: asyncio.Task[None] | None = None
        self._late: set[asyncio.Task[None]] = set()
        self._rng = random.Random(name)

    @property
    def worker(self) -> str:
        """Return the name of the present life."""
        return f"{self.name}.{self._instance_number}"

    @property
    def unacknowledged_ends(self) -> int:
        """Return how many ends were listed and not taken note of."""
        return len(self._ends)

    def announcement(self) -> Announcement:
        """Return what the worker says of itself."""
        self._sequence += 1
        return Announcement(
            self.worker, "work", self.capacity, frozenset({"a"}), self.leaving, self._sequence
        )

    def start_clock(self) -> None:
        """Let runs end and leases lapse."""
        self._task = asyncio.create_task(self._advance())

    def stop_clock(self) -> None:
        """Stop the worker."""
        for task in [self._task, *self._late]:
            if task is not None:
                task.cancel()

    def crash(self) -> None:
        """End this life; another begins, which knows of nothing."""
        for run in self._runs.values():
            self._book.end(run.name.task, self.worker)
        self._instance_number += 1
        self._runs, self._floor, self._ends = {}, {}, []
        self._position = self._token = self._sequence = 0

    async def start(
        self, worker: str, run: RunSpec, lease_until_ms: float, token: int, timeout_ms: float
    ) -> StartAnswer:
        """Begin a run."""
        await self._answer(worker, timeout_ms)
        if self.faults.late_starts > 0:
            self.faults.late_starts -= 1
            late = asyncio.create_task(self._start_late(worker, run, lease_until_ms, token))
            self._late.add(late)
            await asyncio.sleep(timeout_ms / 1000)
            raise WorkerSilent("lost on its way")
        verdict = self._begin(run, lease_until_ms, token)
        if self.faults.lost_answers > 0:
            self.faults.lost_answers -= 1
            await asyncio.sleep(timeout_ms / 1000)
            raise WorkerSilent("the answer was lost")
        await self._dawdle(timeout_ms)
        return StartAnswer(verdict, self._now_ms())

    async def stop(self, worker: str, run: RunName, token: int, timeout_ms: float) -> bool:
        """Stop a run."""
        await self._answer(worker, timeout_ms)
        if token < self._token:
            return False
        self._token = token
        self._floor[run.task] = max(run.number, self._floor.get(run.task, 0))
        running = self._runs.get(run.task)
        if running is not None and running.name.number <= run.number:
            running.stops_ms = self._now_ms() + STOP_MS
        await self._dawdle(timeout_ms)
        return True

    async def poll(
        self,
        worker: str,
        token: int,
        *,
        acknowledged_end: int,
        lease_until_ms: float | None,
        wait_ms: float,
        timeout_ms: float,
    ) -> PollResult | None:
        """Return the lists, after a wait for an end."""
        self.polls += 1
        await self._answer(worker, timeout_ms)
        if token < self._token:
            return None
        self._token = token
        self._ends = [end for end in self._ends if end.position > acknowledged_end]
        if lease_until_ms is not None:
            self._lease(lease_until_ms)
        until_ms = self._now_ms() + wait_ms
        while not self._ends and self._now_ms() < until_ms:
            await asyncio.sleep(CHECK_MS / 1000)
        await self._dawdle(timeout_ms - wait_ms)
        if worker != self.worker:
            raise WorkerReplaced(worker)
        return PollResult(
            self._now_ms(), [run.name for run in self._runs.values()], list(self._ends)
        )

    def _begin(self, run: RunSpec, lease_until_ms: float, token: int) -> StartVerdict:
        if token < self._token:
            return StartVerdict.FENCED
        self._token = token
        if lease_until_ms <= self._now_ms():
            return StartVerdict.LEASE_EXPIRED
        self._lease(lease_until_ms)
        if run.name.number <= self._floor.get(run.name.task, 0):
            return StartVerdict.OUTDATED
        if run.name.task in self._runs:
            return StartVerdict.STARTED
        run_ms, cpu_millis = (float(part) for part in run.payload.split("/"))
        if self.faults.hangs:
            run_ms = 1e9
        ends_ms = self._now_ms() + run_ms * self.faults.slowness
        self._runs[run.name.task] = _Running(run.name, Resources(int(cpu_millis)), ends_ms)
        self._book.begin(run.name.task, self.worker)
        used = sum(each.resources.cpu_millis for each in self._runs.values())
        if used > self.capacity.cpu_millis:
            self._book.over_capacity.append(self.worker)
        return StartVerdict.STARTED

    async def _start_late(
        self, worker: str, run: RunSpec, lease_until_ms: float, token: int
    ) -> None:
        await asyncio.sleep(self.faults.late_ms / 1000)
        if worker == self.worker:
            self._begin(run, lease_until_ms, token)

    async def _answer(self, worker: str, timeout_ms: float) -> None:
        await asyncio.sleep(ANSWER_MS / 1000)
        if self.faults.silent or self.faults.lost_share > self._rng.random():
            await asyncio.sleep(timeout_ms / 1000)
            raise WorkerSilent("no answer")
        if worker != self.worker:
            raise WorkerReplaced(worker)

    async def _dawdle(self, timeout_ms: float) -> None:
        late_ms = self.faults.late_answers_ms
        await asyncio.sleep(min(late_ms, timeout_ms) / 1000)
        if late_ms > timeout_ms:
            raise WorkerSilent("the answer came late")

    def _lease(self, until_ms: float) -> None:
        limit_ms = self._now_ms() + self._lease_limit_ms
        self._lease_until_ms = max(self._lease_until_ms, min(until_ms, limit_ms))

    async def _advance(self) -> None:
        while True:
            await asyncio.sleep(CHECK_MS / 1000)
            now_ms = self._now_ms()
            for run in list(self._runs.values()):
                if run.stops_ms and now_ms >= run.stops_ms:
                    self._end(run, RunEnd.STOPPED)
                elif now_ms >= self._lease_until_ms:
                    self._end(run, RunEnd.LOST)
                elif now_ms >= run.ends_ms:
                    self._end(run, RunEnd.FAILED if self.faults.fails else RunEnd.DONE)

    def _end(self, run: _Running, end: RunEnd) -> None:
        del self._runs[run.name.task]
        self._floor[run.name.task] = max(run.name.number, self._floor.get(run.name.task, 0))
        self._book.end(run.name.task, self.worker, end)
        self._position += 1
        self._ends.append(WorkerEnd(self._position, run.name, end))

    @staticmethod
    def _now_ms() -> float:
        return asyncio.get_running_loop().time() * 1000
