"""Stand in for workers that run tasks under leases and fencing, with injectable faults."""

from __future__ import annotations

import asyncio
import collections
import random
from collections.abc import Callable
from typing import NoReturn

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
from currantbarrow.exceptions import WorkerAbsent, WorkerReplaced, WorkerSilent
from currantbarrow.protocol.direct import RunEnd

__all__ = ["MemoryWorker", "RunRecorder", "WorkerFaults"]

Task = tuple[str, int, int]
RESPONSE_DELAY_MS = 1.0
STOP_DURATION_MS = 20.0
CHECK_INTERVAL_MS = 5.0
# After this many crashes under a task, fewer than so many further starts of it are allowed.
CRASH_BUDGET = 3
STARTS_AFTER_CRASHES = 3
# A capacity that has shrunk binds the starts after this time.
SHRINK_NOTICE_MS = 3500.0
SERVICE = "work"


class RunRecorder:
    """Record the runs of all workers, and double runs and exceeded capacity among them."""

    def __init__(self) -> None:
        self.running: dict[Task, str] = {}
        self.started: list[tuple[Task, str]] = []
        self.done: set[Task] = set()
        self.failed: collections.Counter[Task] = collections.Counter()
        # The racks on which tasks of each step have started.
        self.racks: dict[tuple[str, int], set[str]] = {}
        self.double_runs: list[Task] = []
        self.over_capacity: list[str] = []
        # Tasks that crash each worker that starts them, and the time from the start to the crash.
        self.crashing_ms: dict[Task, float] = {}
        self.crashes: collections.Counter[Task] = collections.Counter()
        self.crashed_workers: list[str] = []
        self._starts_after_crashes: collections.Counter[Task] = collections.Counter()
        self.over_crash_budget: list[Task] = []
        # How often workers crashed while each task ran, whatever the cause.
        self.crash_ends: collections.Counter[Task] = collections.Counter()
        # The label that each job requires of its workers, and starts on workers without it or of
        # another service.
        self.required_labels: dict[str, str] = {}
        self.misplaced: list[tuple[Task, str]] = []

    def record_crash(self, task: Task, worker: str) -> None:
        """Record that a task has crashed its worker."""
        self.crashes[task] += 1
        self.crashed_workers.append(worker)

    def record_crash_end(self, task: Task, worker: str) -> None:
        """Record the end of a run by a crash of its worker."""
        self.crash_ends[task] += 1
        self.record_end(task, worker)

    def record_start(self, task: Task, worker: str) -> None:
        """Record the start of a run."""
        if task in self.running:
            self.double_runs.append(task)
        self.running[task] = worker
        self.started.append((task, worker))
        if self.crashes[task] >= CRASH_BUDGET:
            self._starts_after_crashes[task] += 1
            if self._starts_after_crashes[task] == STARTS_AFTER_CRASHES:
                self.over_crash_budget.append(task)

    def check_placement(
        self, task: Task, worker: str, service: str, labels: frozenset[str]
    ) -> None:
        """Record a start on a worker that may not run the task."""
        label = self.required_labels.get(task[0])
        if service != SERVICE or (label is not None and label not in labels):
            self.misplaced.append((task, worker))

    def record_end(self, task: Task, worker: str, end: RunEnd = RunEnd.LOST) -> None:
        """Record the end of a run, and how it ended."""
        if end is RunEnd.DONE:
            self.done.add(task)
        elif end is RunEnd.FAILED:
            self.failed[task] += 1
        if self.running.get(task) == worker:
            del self.running[task]


class WorkerFaults(msgspec.Struct):
    """Describe the current faults of a worker."""

    # All commands are neither answered nor carried out.
    silent: bool = False
    # The number of next starts that are carried out but whose answers are lost.
    lost_answers: int = 0
    # The number of next starts that are not answered and are carried out `late_ms` later.
    late_starts: int = 0
    late_ms: float = 3000.0
    fails: bool = False
    hangs: bool = False
    slowness: float = 1.0
    # Commands are carried out at once, but answered this much later.
    late_answers_ms: float = 0.0
    # The share of commands that are neither answered nor carried out.
    lost_share: float = 0.0
    # The share of commands that are not answered and are carried out `late_ms` later.
    late_share: float = 0.0
    # The share of stops that are neither answered nor carried out.
    lost_stop_share: float = 0.0
    # How long the worker is away after a task has crashed it.
    crash_ms: float = 3300.0


class _ActiveRun(msgspec.Struct):
    name: RunName
    resources: Resources
    ends_ms: float
    stops_ms: float = 0.0


class MemoryWorker:
    """Simulate a worker in memory; the payload of a task gives its run time and CPU demand.

    Two optional parts follow: the rack near its data, and whether its step should share a rack.
    """

    def __init__(
        self,
        name: str,
        capacity: Resources,
        recorder: RunRecorder,
        lease_limit_ms: float,
        *,
        clock_rate: float = 1.0,
        clock_start_ms: float = 0.0,
        born_ms: int = 0,
        rack: str = "",
        far_factor: float = 1.0,
    ) -> None:
        self.name = name
        self.rack = rack
        self.far_factor = far_factor
        # The worker's clock, relative to the time of the event loop.
        self.clock_rate = clock_rate
        self.clock_start_ms = clock_start_ms
        # The birth that the current instance sends; 0 if it sends none.
        self.born_ms = born_ms
        self.capacity = capacity
        # The former capacity, which still counts for a time after the worker has shrunk.
        self._former_capacity = capacity
        self._shrunk_ms = -SHRINK_NOTICE_MS
        self.service = SERVICE
        self.labels = frozenset({"a"})
        self.faults = WorkerFaults()
        self.leaving = False
        # Until when the worker announces that it is cold, on its clock.
        self.cold_until_ms = 0.0
        self.polls = 0
        self._instance_number = 1
        self._away_until_s = 0.0
        # How often the worker has crashed or restarted.
        self._starts = 0
        self._sequence = 0
        self._recorder = recorder
        self._lease_limit_ms = lease_limit_ms
        self._lease_until_ms = 0.0
        self._token = 0
        self._runs: dict[Task, _ActiveRun] = {}
        self._last_run_numbers: dict[Task, int] = {}
        self._ends: list[WorkerEnd] = []
        self._position = 0
        self._task: asyncio.Task[None] | None = None
        self._late_tasks: set[asyncio.Task[None]] = set()
        self._rng = random.Random(name)

    @property
    def worker(self) -> str:
        """Return the name of the current instance."""
        return f"{self.name}.{self._instance_number}"

    @property
    def is_away(self) -> bool:
        """Return whether the worker process has ended and has not started again yet."""
        return asyncio.get_running_loop().time() < self._away_until_s

    def resize(self, capacity: Resources) -> None:
        """Change the capacity, which the next announcement shows."""
        now_ms = asyncio.get_running_loop().time() * 1000
        if now_ms - self._shrunk_ms >= SHRINK_NOTICE_MS or not self._former_capacity.covers(
            self.capacity
        ):
            self._former_capacity = self.capacity
        self._shrunk_ms = now_ms
        self.capacity = capacity

    @property
    def unacknowledged_ends(self) -> int:
        """Return how many run ends are not yet acknowledged."""
        return len(self._ends)

    def announcement(self) -> Announcement:
        """Return the worker's next announcement."""
        self._sequence += 1
        return Announcement(
            self.worker,
            self.service,
            self.capacity,
            self.labels | ({self.rack} - {""}),
            self.leaving,
            self._sequence,
            self.born_ms,
            max(0.0, self.cold_until_ms - self._now_ms()),
        )

    def start_clock(self) -> None:
        """Start the clock that ends runs and expires leases."""
        self._task = asyncio.create_task(self._advance())

    def stop_clock(self) -> None:
        """Stop the clock, and cancel late commands."""
        for task in [self._task, *self._late_tasks]:
            if task is not None:
                task.cancel()

    def crash(self) -> None:
        """Crash: end all runs, and begin a new instance without any state."""
        self._reset()
        self._instance_number += 1

    def crash_for(self, away_ms: float) -> None:
        """Crash, and begin a new instance after a time in which no process listens."""
        self.end_for(away_ms)
        self._instance_number += 1

    def end_for(self, away_ms: float) -> None:
        """End all runs, and let no process listen for a time, after which the worker restarts."""
        self._reset()
        self._away_until_s = asyncio.get_running_loop().time() + away_ms / 1000

    def _crash_by_task(self, task: Task, worker: str) -> None:
        if worker == self.worker and task in self._runs:
            self._recorder.record_crash(task, self.name)
            self.crash_for(self.faults.crash_ms)

    def restart(self) -> None:
        """Restart under the same id, with a later birth and a clock that starts anew."""
        self._reset()
        now_ms = asyncio.get_running_loop().time() * 1000
        self.born_ms = max(self.born_ms + 1, int(now_ms))
        self.clock_start_ms = -now_ms * self.clock_rate

    def _reset(self) -> None:
        for run in self._runs.values():
            self._recorder.record_crash_end(run.name.task, self.worker)
        self._starts += 1
        self._runs, self._last_run_numbers, self._ends = {}, {}, []
        self._position = self._token = self._sequence = 0
        self._lease_until_ms = 0.0

    async def start(
        self, worker: str, run: RunSpec, lease_until_ms: float, token: int, timeout_ms: float
    ) -> StartAnswer:
        """Start a run; raise WorkerSilent or WorkerReplaced."""
        await self._check_reachable(worker, timeout_ms)
        is_late = self.faults.late_starts > 0
        if is_late:
            self.faults.late_starts -= 1
        starts = self._starts
        if is_late or self._draw(self.faults.late_share):
            await self._carry_out_late(
                worker, timeout_ms, lambda: self._start_run(run, lease_until_ms, token)
            )
        verdict = self._start_run(run, lease_until_ms, token)
        if self.faults.lost_answers > 0:
            self.faults.lost_answers -= 1
            await asyncio.sleep(timeout_ms / 1000)
            raise WorkerSilent("the answer was lost")
        await self._delay_response(timeout_ms, starts)
        return StartAnswer(verdict, self._now_ms())

    async def stop(self, worker: str, run: RunName, token: int, timeout_ms: float) -> bool:
        """Stop a run; return whether the fencing token is current."""
        await self._check_reachable(worker, timeout_ms)
        if self._draw(self.faults.lost_stop_share):
            await asyncio.sleep(timeout_ms / 1000)
            raise WorkerSilent("the stop was lost")
        if self._draw(self.faults.late_share):
            await self._carry_out_late(worker, timeout_ms, lambda: self._stop_run(run, token))
        starts = self._starts
        current = self._stop_run(run, token)
        await self._delay_response(timeout_ms, starts)
        return current

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
        """Return current runs and ends, after a wait for an end; None if fenced."""
        self.polls += 1
        await self._check_reachable(worker, timeout_ms)
        if self._draw(self.faults.late_share):
            await self._carry_out_late(
                worker, timeout_ms, lambda: self._renew(acknowledged_end, lease_until_ms, token)
            )
        if not self._renew(acknowledged_end, lease_until_ms, token):
            return None
        starts = self._starts
        until_ms = self._now_ms() + wait_ms
        while not self._ends and self._now_ms() < until_ms and starts == self._starts:
            await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
        if worker == self.worker:
            await self._delay_response(timeout_ms - wait_ms, starts)
        if self.is_away:
            raise WorkerSilent("the connection was reset")
        if worker != self.worker:
            raise WorkerReplaced(worker)
        return PollResult(
            self._now_ms(),
            [run.name for run in self._runs.values()],
            list(self._ends),
            self.born_ms,
        )

    def _start_run(self, run: RunSpec, lease_until_ms: float, token: int) -> StartVerdict:
        if token < self._token:
            return StartVerdict.FENCED
        self._token = token
        # The lease of the worker, if it ends later, covers the start as well.
        if max(lease_until_ms, self._lease_until_ms) <= self._now_ms():
            return StartVerdict.LEASE_EXPIRED
        self._extend_lease(lease_until_ms)
        if run.name.number <= self._last_run_numbers.get(run.name.task, 0):
            return StartVerdict.OUTDATED
        if run.name.task in self._runs:
            return StartVerdict.STARTED
        run_text, cpu_millis, *locality = run.payload.split("/")
        run_ms = float(run_text)
        if self._is_far(run.name, *locality):
            run_ms *= self.far_factor
        if self.faults.hangs:
            run_ms = 1e9
        ends_ms = self._now_ms() + run_ms * self.faults.slowness
        self._runs[run.name.task] = _ActiveRun(run.name, Resources(int(cpu_millis)), ends_ms)
        self._recorder.record_start(run.name.task, self.worker)
        self._recorder.check_placement(run.name.task, self.worker, self.service, self.labels)
        used = sum(each.resources.cpu_millis for each in self._runs.values())
        if used > self._binding_cpu_millis():
            self._recorder.over_capacity.append(self.worker)
        crash_ms = self._recorder.crashing_ms.get(run.name.task)
        if crash_ms is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(crash_ms / 1000, self._crash_by_task, run.name.task, self.worker)
        return StartVerdict.STARTED

    def _binding_cpu_millis(self) -> int:
        now_ms = asyncio.get_running_loop().time() * 1000
        if now_ms - self._shrunk_ms >= SHRINK_NOTICE_MS:
            return self.capacity.cpu_millis
        return max(self.capacity.cpu_millis, self._former_capacity.cpu_millis)

    def _is_far(self, name: RunName, near_rack: str = "", same_rack: str = "") -> bool:
        racks = self._recorder.racks.setdefault((name.job, name.step), set())
        racks.add(self.rack)
        return near_rack not in ("", self.rack) or (bool(same_rack) and len(racks) > 1)

    def _stop_run(self, run: RunName, token: int) -> bool:
        if token < self._token:
            return False
        self._token = token
        self._last_run_numbers[run.task] = max(run.number, self._last_run_numbers.get(run.task, 0))
        running = self._runs.get(run.task)
        if running is not None and running.name.number <= run.number and not running.stops_ms:
            running.stops_ms = self._now_ms() + STOP_DURATION_MS
        return True

    def _renew(self, acknowledged_end: int, lease_until_ms: float | None, token: int) -> bool:
        if token < self._token:
            return False
        self._token = token
        self._ends = [end for end in self._ends if end.position > acknowledged_end]
        if lease_until_ms is not None:
            self._extend_lease(lease_until_ms)
        return True

    def _draw(self, share: float) -> bool:
        # Without the fault nothing is drawn, so that it does not change the other draws.
        return share > 0 and self._rng.random() < share

    async def _carry_out_late(
        self, worker: str, timeout_ms: float, command: Callable[[], object]
    ) -> NoReturn:
        """Schedule a command, and do not answer it."""

        async def carry_out() -> None:
            await asyncio.sleep(self.faults.late_ms / 1000)
            if worker == self.worker and not self.is_away:
                command()

        late = asyncio.create_task(carry_out())
        self._late_tasks.add(late)
        late.add_done_callback(self._late_tasks.discard)
        await asyncio.sleep(timeout_ms / 1000)
        raise WorkerSilent("the command was delayed in transit")

    async def _check_reachable(self, worker: str, timeout_ms: float) -> None:
        await asyncio.sleep(RESPONSE_DELAY_MS / 1000)
        if self.faults.silent or self.faults.lost_share > self._rng.random():
            await asyncio.sleep(timeout_ms / 1000)
            raise WorkerSilent("the worker did not answer")
        if self.is_away:
            raise WorkerAbsent("the connection was refused")
        if worker != self.worker:
            raise WorkerReplaced(worker)

    async def _delay_response(self, timeout_ms: float, starts: int) -> None:
        """Delay an answer, which is lost if the worker restarts under its id meanwhile."""
        worker = self.worker
        late_ms = self.faults.late_answers_ms
        await asyncio.sleep(min(late_ms, timeout_ms) / 1000)
        if late_ms > timeout_ms:
            raise WorkerSilent("the answer came late")
        if self.is_away:
            raise WorkerSilent("the connection was reset")
        if starts != self._starts and worker == self.worker:
            raise WorkerSilent("the worker has restarted")

    def _extend_lease(self, until_ms: float) -> None:
        limit_ms = self._now_ms() + self._lease_limit_ms
        self._lease_until_ms = max(self._lease_until_ms, min(until_ms, limit_ms))

    async def _advance(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
            now_ms = self._now_ms()
            for run in list(self._runs.values()):
                if run.stops_ms and now_ms >= run.stops_ms:
                    self._end_run(run, RunEnd.STOPPED)
                elif now_ms >= self._lease_until_ms:
                    self._end_run(run, RunEnd.LOST)
                elif now_ms >= run.ends_ms:
                    self._end_run(run, RunEnd.FAILED if self.faults.fails else RunEnd.DONE)

    def _end_run(self, run: _ActiveRun, end: RunEnd) -> None:
        del self._runs[run.name.task]
        self._last_run_numbers[run.name.task] = max(
            run.name.number, self._last_run_numbers.get(run.name.task, 0)
        )
        self._recorder.record_end(run.name.task, self.worker, end)
        self._position += 1
        self._ends.append(WorkerEnd(self._position, run.name, end))

    def _now_ms(self) -> float:
        return self.clock_start_ms + asyncio.get_running_loop().time() * 1000 * self.clock_rate
