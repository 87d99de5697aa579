"""Test tasks that crash the workers that start them, in virtual time."""

from __future__ import annotations

import asyncio
import collections
import random

import msgspec
import pytest

from currantbarrow.direct.admission import Refusal
from currantbarrow.direct.job import OpenJob
from currantbarrow.direct.leases import LEASE_END_LIMIT_MS
from currantbarrow.direct.model import JobState, Resources, WorkQueue
from currantbarrow.protocol.direct import CrashRow, QueueRow, SuspectRow
from currantbarrow.standins.direct_fleet import QUEUE, DirectFleet, DirectPlan
from direct_scenarios import RESUBMIT_AFTER_S, run_fleet

JOB = "c" * 16
TASK = (JOB, 0, 0)
# From the start of a task to the crash of its worker.
CRASH_MS = 8.0
# For noticing the crash, reports and orders.
MARGIN_MS = 150.0
# A task under which this many workers have crashed is given up.
CRASH_LIMIT = 2


async def submit(fleet: DirectFleet, entry: str, tasks: int = 6, run_ms: float = 100.0) -> JobState:
    return await fleet.submit(entry, fleet.build_job(JOB, tasks, run_ms))


class TestGivingUp:
    @pytest.mark.parametrize("crash_ms", [0.0, CRASH_MS, 60.0])
    def test_task_that_crashes_every_worker_is_given_up(self, crash_ms: float) -> None:
        """Guards against one task that crashes worker after worker."""

        async def scenario(fleet: DirectFleet) -> None:
            fleet.runs.crashing_ms[TASK] = crash_ms
            assert await submit(fleet, "entry-0") is JobState.FAILED
            assert await submit(fleet, "entry-1") is JobState.FAILED

        fleet = run_fleet(scenario, DirectPlan(sides=6))
        assert fleet.runs.crashes[TASK] <= CRASH_LIMIT

    def test_crashes_count_after_the_loss_of_the_entry(self) -> None:
        """Guards against a count that ends with the entry that kept it."""

        async def scenario(fleet: DirectFleet) -> None:
            fleet.runs.crashing_ms[TASK] = CRASH_MS
            for entry in ("entry-0", "entry-1", "entry-2"):
                call = asyncio.create_task(submit(fleet, entry))
                before = fleet.runs.crashes[TASK]
                while fleet.runs.crashes[TASK] == before and not call.done():
                    await asyncio.sleep(0.01)
                if call.done():
                    break
                await asyncio.sleep(0.1)
                call.cancel()
                await fleet.kill_entry(entry)
                await asyncio.sleep(RESUBMIT_AFTER_S)
                await fleet.start_entry(entry)
            assert await submit(fleet, "entry-1") is JobState.FAILED

        fleet = run_fleet(scenario, DirectPlan(sides=6))
        assert fleet.runs.crashes[TASK] <= CRASH_LIMIT + 1

    def test_crashes_count_after_restarts_of_side_processes(self) -> None:
        """Guards against a count that ends with the side process that noticed the crash."""

        async def scenario(fleet: DirectFleet) -> None:
            fleet.runs.crashing_ms[TASK] = CRASH_MS
            call = asyncio.create_task(submit(fleet, "entry-0"))
            while not call.done():
                for name, worker in fleet.workers.items():
                    if worker.is_away and name in fleet.sides:
                        await asyncio.sleep(0.5)
                        await fleet.kill_side(name)
                        await fleet.start_side(name)
                await asyncio.sleep(0.01)
            assert await call is JobState.FAILED

        fleet = run_fleet(scenario, DirectPlan(sides=6))
        assert fleet.runs.crashes[TASK] <= CRASH_LIMIT

    def test_crash_while_a_start_is_unanswered_counts_once(self) -> None:
        """Guards against a start without an answer that counts not at all, or twice."""

        async def scenario(fleet: DirectFleet) -> None:
            fleet.runs.crashing_ms[TASK] = 0.0
            for worker in fleet.workers.values():
                worker.faults.lost_answers = 1
            assert await submit(fleet, "entry-0", tasks=1) is JobState.FAILED

        assert run_fleet(scenario).runs.crashes[TASK] == CRASH_LIMIT

    def test_crashes_that_are_noticed_only_when_the_workers_are_back_count_in_time(self) -> None:
        """Guards against starts while it is not known yet whether lost workers have crashed."""

        async def scenario(fleet: DirectFleet) -> None:
            fleet.runs.crashing_ms[TASK] = CRASH_MS
            call = asyncio.create_task(submit(fleet, "entry-0"))
            while not call.done():
                for worker in fleet.workers.values():
                    # A proxy before the worker accepts connections, and drops them.
                    worker.faults.silent = worker.is_away
                await asyncio.sleep(0.001)
            assert await call is JobState.FAILED

        run_fleet(scenario, DirectPlan(sides=10))


class TestInnocentJobs:
    def test_neighbours_of_tasks_that_crash_workers_complete(self) -> None:
        """Guards against jobs that are given up since they ran beside the cause of a crash."""

        async def scenario(fleet: DirectFleet) -> None:
            jobs = []
            for number in range(60):
                spec = fleet.build_job(f"{number:016x}", 3, 400.0)
                if number % 12 == 3:
                    fleet.runs.crashing_ms[spec.job_id, 0, 0] = CRASH_MS
                jobs.append(asyncio.create_task(fleet.submit(f"entry-{number % 3}", spec)))
                await asyncio.sleep(0.05)
            states = await asyncio.gather(*jobs)
            crashing = {int(job, 16) for job, _, _ in fleet.runs.crashing_ms}
            assert [number for number, state in enumerate(states) if state is JobState.FAILED] == [
                number for number in sorted(crashing) if states[number] is not JobState.REFUSED
            ]

        run_fleet(scenario, DirectPlan(sides=10))

    def test_loss_of_several_workers_at_once_blames_no_task(self) -> None:
        """Guards against jobs that are given up since their workers lost power several times."""

        async def scenario(fleet: DirectFleet) -> None:
            job = asyncio.create_task(submit(fleet, "entry-0", tasks=16, run_ms=2000.0))
            for _ in range(3):
                await asyncio.sleep(0.3)
                for worker in fleet.workers.values():
                    worker.crash_for(400.0)
                await asyncio.sleep(3.0)
            assert await job is JobState.COMPLETED

        run_fleet(scenario)

    @pytest.mark.parametrize("silent_s", [0.6, 4.0])
    def test_silence_and_restarts_without_contact_blame_no_task(self, silent_s: float) -> None:
        """Guards against cuts and frozen workers that count as crashes."""

        async def scenario(fleet: DirectFleet) -> None:
            job = asyncio.create_task(submit(fleet, "entry-0", tasks=2, run_ms=1500.0))
            await asyncio.sleep(0.1)
            for _ in range(2):
                busy = [
                    name
                    for name, worker in fleet.workers.items()
                    if worker.worker in fleet.runs.running.values()
                ]
                for name in busy:
                    fleet.workers[name].faults.silent = True
                await asyncio.sleep(silent_s)
                for name in busy:
                    fleet.workers[name].crash()
                    fleet.workers[name].faults.silent = False
                await asyncio.sleep(0.5)
            assert await job is JobState.COMPLETED

        run_fleet(scenario)


class Kind(msgspec.Struct, frozen=True):
    """A kind of job, and how often it comes."""

    queue: WorkQueue
    per_s: float
    tasks: int
    run_ms: float


def create_queue(name: str) -> WorkQueue:
    return msgspec.structs.replace(QUEUE, name=name)


# Two thirds of the cores of eleven workers.
KINDS = (
    Kind(create_queue("fares"), 17.2, 8, 60.0),
    Kind(create_queue("quotes"), 3.1, 4, 900.0),
    Kind(create_queue("holds"), 50.0, 2, 200.0),
)
CPU_MILLIS = 1600
CRASHING_SHARE = 0.1
WARM_UP_S = 3.0
LOAD_S = 12.0
PLAN = DirectPlan(sides=11)
IN_TIME_SHARE = 0.95
# While workers crash under it, a queue may use this share of the workers, beside those that it has
# crashed before it is confined.
CELL_SHARE = 0.5
FIRST_CRASHES = 4


class Load:
    """Submit jobs of several kinds, and count the outcomes by kind."""

    def __init__(self, fleet: DirectFleet, seed: int) -> None:
        self.in_time: collections.Counter[str] = collections.Counter()
        self.jobs: collections.Counter[str] = collections.Counter()
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._number = 0
        # Jobs submitted before are not counted.
        self.counts_from_s = 0.0

    async def run(self, kind: Kind, crashing_share: float, seconds: float) -> None:
        """Submit jobs of a kind for a time, and wait for their ends."""
        loop = asyncio.get_running_loop()
        until_s, calls = loop.time() + seconds, []
        while loop.time() < until_s:
            await asyncio.sleep(self._rng.expovariate(kind.per_s))
            calls.append(asyncio.create_task(self._submit(kind, crashing_share)))
        await asyncio.gather(*calls)

    async def _submit(self, kind: Kind, crashing_share: float) -> None:
        self._number += 1
        run_ms = kind.run_ms * self._rng.uniform(0.6, 1.4)
        spec = self._fleet.build_job(f"{self._number:016x}", kind.tasks, run_ms, CPU_MILLIS)
        crashes = self._rng.random() < crashing_share
        if crashes:
            self._fleet.runs.crashing_ms[spec.job_id, 0, 0] = CRASH_MS
        entry = self._fleet.entries[f"entry-{self._number % 3}"]
        began_s = asyncio.get_running_loop().time()
        outcome = await entry.submit(spec, kind.queue, 1500.0)
        if isinstance(outcome, OpenJob):
            try:
                async with asyncio.timeout(1.5):
                    await outcome.ended.wait()
            except TimeoutError:
                entry.dispatcher.abandon(outcome)
        if crashes or began_s < self.counts_from_s:
            return
        self.jobs[kind.queue.name] += 1
        took_ms = (asyncio.get_running_loop().time() - began_s) * 1000
        is_done = isinstance(outcome, OpenJob) and outcome.state is JobState.COMPLETED
        objective_ms = run_ms * kind.queue.stretch + kind.queue.target_ms
        if is_done and took_ms <= objective_ms:
            self.in_time[kind.queue.name] += 1

    def share(self, name: str) -> float:
        """Return the share of the jobs of a queue that ended in time."""
        return self.in_time[name] / self.jobs[name]


def run_load(seed: int, crashing_share: float) -> tuple[DirectFleet, Load]:
    loads: list[Load] = []

    async def scenario(fleet: DirectFleet) -> None:
        load = Load(fleet, seed)
        loads.append(load)
        load.counts_from_s = asyncio.get_running_loop().time() + WARM_UP_S
        crashing, *others = KINDS
        calls = [load.run(kind, 0.0, WARM_UP_S + LOAD_S) for kind in others]
        calls.append(load.run(crashing, 0.0, WARM_UP_S))
        background = asyncio.gather(*calls)
        await asyncio.sleep(WARM_UP_S)
        await asyncio.gather(load.run(crashing, crashing_share, LOAD_S), background)

    return run_fleet(scenario, msgspec.structs.replace(PLAN, seed=seed)), loads[0]


class TestContainment:
    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_other_queues_are_served_while_tasks_of_one_crash_workers(self, seed: int) -> None:
        """Guards against a queue whose tasks crash worker after worker of the whole fleet."""
        fleet, load = run_load(seed, CRASHING_SHARE)
        assert load.share("quotes") >= IN_TIME_SHARE
        assert load.share("holds") >= IN_TIME_SHARE
        assert max(fleet.runs.crashes.values()) <= CRASH_LIMIT
        cell = -(-PLAN.sides * CELL_SHARE // 1)
        assert len(set(fleet.runs.crashed_workers)) <= cell + FIRST_CRASHES


class TestShrinkingWorkers:
    def test_restarted_side_process_keeps_to_a_capacity_that_has_shrunk(self) -> None:
        """Guards against starts over a capacity that is smaller than the stored one."""

        async def scenario(fleet: DirectFleet) -> None:
            await asyncio.sleep(1.0)
            for worker in fleet.workers.values():
                worker.resize(Resources(4000, 64_000, 0))
            await asyncio.sleep(5.0)
            for name in fleet.workers:
                await fleet.kill_side(name)
                await fleet.start_side(name)
                # The next announcement comes later than the first orders.
                fleet.stop_announcing(name)
            await asyncio.sleep(0.3)
            job = fleet.build_job(JOB, 16, 200.0)
            await fleet.entries["entry-0"].submit(job, QUEUE, 0.0)
            await asyncio.sleep(3.0)

        run_fleet(scenario, DirectPlan(sides=2))


class TestNoticing:
    def test_crashed_worker_gets_no_more_tasks_and_its_runs_are_repeated_after_one_lease(
        self,
    ) -> None:
        """Guards against calls that count as renewals of a lease although nobody received them."""

        async def scenario(fleet: DirectFleet) -> None:
            call = asyncio.create_task(submit(fleet, "entry-0", tasks=4, run_ms=300.0))
            await asyncio.sleep(0.15)
            crashed_s = asyncio.get_running_loop().time()
            busy = {
                name
                for name, worker in fleet.workers.items()
                if worker.worker in fleet.runs.running.values()
            }
            for name in busy:
                fleet.workers[name].crash_for(5000.0)
            await asyncio.sleep(0.05)
            for name, side in fleet.sides.items():
                assert side.driver.state().accepting == (name not in busy)
            assert await call is JobState.COMPLETED
            took_ms = (asyncio.get_running_loop().time() - crashed_s) * 1000
            assert took_ms <= LEASE_END_LIMIT_MS + 300.0 + MARGIN_MS

        run_fleet(scenario, DirectPlan(sides=8))


class TestRefusal:
    def test_jobs_of_a_confined_queue_are_refused_at_once_while_its_workers_are_down(self) -> None:
        """Guards against callers who wait for workers that are known to be down."""

        async def scenario(fleet: DirectFleet) -> None:
            entry = fleet.entries["entry-0"]
            entry.dispatcher.risks.record_crash(create_crash("w-1"), "side-0:1")
            entry.dispatcher.risks.record_crash(create_crash("w-2"), "side-1:1")
            cell = entry.dispatcher.risks.cell(QUEUE.name, QUEUE.service)
            assert len(cell) == 2
            for name, worker in fleet.workers.items():
                if f"{name}:1" in cell:
                    worker.leaving = True
            await asyncio.sleep(1.0)
            delays = set()
            for number in range(20):
                spec = fleet.build_job(f"{number:016x}", 1, 100.0)
                refusal = await entry.submit(spec, QUEUE, 1500.0)
                assert isinstance(refusal, Refusal) and refusal.reason == "confined"
                delays.add(refusal.retry_after_s)
            assert len(delays) > 1
            other = msgspec.structs.replace(QUEUE, name="other")
            outcome = await entry.submit(fleet.build_job("e" * 16, 1, 100.0), other, 1500.0)
            assert isinstance(outcome, OpenJob)

        run_fleet(scenario, DirectPlan(sides=6))


def create_crash(worker: str) -> CrashRow:
    suspects = [SuspectRow("f" * 16, 0, 0, QUEUE.name, 8.0, 0.5)]
    return CrashRow(worker, "work", 0.0, suspects, [QueueRow(QUEUE.name, 4.0)])
