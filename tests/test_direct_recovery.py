"""Test how a fleet serves callers again after all its processes and workers were lost."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest

from currantbarrow.direct import discovery
from currantbarrow.direct.discovery import DISCOVERY_MS, SPREAD_MS, FleetDiscovery
from currantbarrow.direct.model import JobState, WorkQueue
from currantbarrow.standins.direct_fleet import QUEUE, DirectFleet, DirectPlan
from direct_scenarios import run_fleet

ENTRIES, SIDES = 3, 11
# Callers resubmit the jobs of more than a second at once when the first entries are back, four
# fifths of what the workers can run at a time.
HERD_JOBS = 45
HERD_S = 0.2
TASKS, RUN_MS, CPU_MILLIS = 2, 400.0, 6200
# Workers announce themselves to their new side processes one after the other.
FIRST_WORKER_S, WORKER_GAP_S = 0.15, 0.03


async def lose_power(fleet: DirectFleet) -> None:
    """End all processes and workers."""
    for name in list(fleet.entries):
        await fleet.kill_entry(name)
    for name in list(fleet.sides):
        await fleet.kill_side(name)
        fleet.workers[name].crash()


async def restart(fleet: DirectFleet) -> None:
    """Start all processes; workers are announced some time after the entries have started."""
    for number in range(SIDES):
        await fleet.start_side(f"side-{number}", announcing=False)
    for number in range(ENTRIES):
        await fleet.start_entry(f"entry-{number}")


async def announce_workers(fleet: DirectFleet) -> None:
    await asyncio.sleep(FIRST_WORKER_S)
    for number in range(SIDES):
        fleet.announce(f"side-{number}")
        await asyncio.sleep(WORKER_GAP_S)


def play_return_of_power() -> Counter[JobState]:
    """Return how the jobs end that callers resubmit while the fleet starts again."""
    outcomes: Counter[JobState] = Counter()

    async def scenario(fleet: DirectFleet) -> None:
        await lose_power(fleet)
        await asyncio.sleep(2.0)
        await restart(fleet)
        announcing = asyncio.create_task(announce_workers(fleet))
        jobs = []
        for number in range(HERD_JOBS):
            job = fleet.build_job(f"{number:016x}", TASKS, RUN_MS, CPU_MILLIS)
            jobs.append(asyncio.create_task(fleet.submit(f"entry-{number % ENTRIES}", job)))
            await asyncio.sleep(HERD_S / HERD_JOBS)
        outcomes.update(await asyncio.gather(*jobs))
        await announcing

    run_fleet(scenario, DirectPlan(entries=ENTRIES, sides=SIDES, cpu_millis=64_000))
    return outcomes


class TestReturnOfPower:
    def test_resubmitted_jobs_wait_for_the_first_workers(self) -> None:
        outcomes = play_return_of_power()
        assert outcomes[JobState.COMPLETED] == HERD_JOBS

    def test_without_discovery_most_of_them_are_refused(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(discovery, "DISCOVERY_MS", 0.0)
        outcomes = play_return_of_power()
        assert outcomes[JobState.REFUSED] > HERD_JOBS / 2

    def test_jobs_beyond_the_capacity_are_refused_once_it_is_known(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            await lose_power(fleet)
            await restart(fleet)
            loop = asyncio.get_running_loop()
            ended_s: list[float] = []

            async def submit(number: int) -> JobState:
                job = fleet.build_job(f"{number:016x}", TASKS, RUN_MS, CPU_MILLIS)
                state = await fleet.submit(f"entry-{number % ENTRIES}", job)
                if state is JobState.REFUSED:
                    ended_s.append(loop.time())
                return state

            began_s = loop.time()
            announcing = asyncio.create_task(announce_workers(fleet))
            jobs = []
            for number in range(4 * HERD_JOBS):
                jobs.append(asyncio.create_task(submit(number)))
                await asyncio.sleep(FIRST_WORKER_S / (4 * HERD_JOBS))
            outcomes = Counter(await asyncio.gather(*jobs))
            await announcing
            assert outcomes[JobState.COMPLETED] >= HERD_JOBS
            assert outcomes[JobState.REFUSED] > HERD_JOBS
            # Most of them after the first worker and a tick, instead of when their time has passed.
            early = [each for each in ended_s if each - began_s < FIRST_WORKER_S + 0.1]
            assert len(early) > 0.8 * len(ended_s)

        run_fleet(scenario, DirectPlan(entries=ENTRIES, sides=SIDES, cpu_millis=64_000))

    def test_workers_that_never_returns_do_not_keep_callers_waiting(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            await lose_power(fleet)
            await restart(fleet)
            began_s = asyncio.get_running_loop().time()
            job = fleet.build_job("a" * 16, TASKS, RUN_MS, CPU_MILLIS)
            assert await fleet.submit("entry-0", job) == JobState.REFUSED
            queue: WorkQueue = QUEUE
            objective_ms = queue.stretch * RUN_MS + queue.target_ms
            assert (asyncio.get_running_loop().time() - began_s) * 1000 < objective_ms
            await asyncio.sleep(DISCOVERY_MS / 1000)
            # By now it is known that there is no worker.
            began_s = asyncio.get_running_loop().time()
            assert await fleet.submit("entry-0", job) == JobState.REFUSED
            assert asyncio.get_running_loop().time() == began_s

        run_fleet(scenario, DirectPlan(entries=ENTRIES, sides=SIDES))


class TestFleetDiscovery:
    def test_workers_are_expected_only_while_some_are_missing(self) -> None:
        fleet = FleetDiscovery(1000.0)
        assert fleet.workers_per_s(1500.0, reporting=2, known=11) == 9 / SPREAD_MS * 1000
        assert fleet.workers_per_s(1500.0, reporting=0, known=11) == 0.0
        assert fleet.workers_per_s(1500.0, reporting=11, known=11) == 0.0
        assert fleet.workers_per_s(1000.0 + DISCOVERY_MS, reporting=2, known=11) == 0.0
