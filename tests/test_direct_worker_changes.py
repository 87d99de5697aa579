"""Test that a task never runs twice at once while a side process or its worker is replaced."""

from __future__ import annotations

import asyncio

from currantbarrow.direct.model import JobState
from currantbarrow.standins.direct_fleet import DirectFleet
from direct_scenarios import RESUBMIT_AFTER_S, run_fleet

LONG_RUN_MS = 3000.0


def submit_long_job(fleet: DirectFleet, entry: str, tasks: int) -> asyncio.Task[JobState]:
    spec = fleet.build_job("e" * 16, tasks, LONG_RUN_MS)
    return asyncio.create_task(fleet.submit(entry, spec))


class TestRestartedSideProcess:
    @staticmethod
    async def resubmit_after_restart(fleet: DirectFleet, restart_after_s: float) -> None:
        """Lose an entry and two of its side processes, restart these, and resubmit its job."""
        first = submit_long_job(fleet, "entry-0", 8)
        await asyncio.sleep(0.5)
        # The side processes don't notice that the entry has ended, so its lease goes on.
        for name in fleet.sides:
            fleet.fabric.cut("entry-0", name)
        await fleet.kill_entry("entry-0")
        await asyncio.sleep(0.5)
        for name in ("side-0", "side-1"):
            await fleet.kill_side(name)
        await asyncio.sleep(restart_after_s)
        for name in ("side-0", "side-1"):
            await fleet.start_side(name)
        await asyncio.sleep(RESUBMIT_AFTER_S - 0.5 - restart_after_s)
        assert await submit_long_job(fleet, "entry-1", 8) == "completed"
        first.cancel()

    def test_job_is_not_cleared_while_stops_of_its_stray_runs_are_lost(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            for name in ("side-0", "side-1"):
                fleet.workers[name].faults.lost_stop_share = 1.0
            await self.resubmit_after_restart(fleet, 0.1)

        run_fleet(scenario)

    def test_job_is_not_cleared_before_the_worker_is_taken_over(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            # Without stored announcements, it waits for the next one of the worker.
            for announcements in fleet.stored_announcements.values():
                announcements.down = True
            await self.resubmit_after_restart(fleet, 0.5)

        run_fleet(scenario)

    def test_job_is_cleared_soon_after_a_restart_although_the_worker_is_gone(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            fleet.workers["side-1"].faults.silent = True
            await fleet.kill_side("side-1")
            await fleet.start_side("side-1")
            await asyncio.sleep(1.5)
            start_s = asyncio.get_running_loop().time()
            assert await fleet.entries["entry-1"].fleet.clear_job("e" * 16)
            assert asyncio.get_running_loop().time() - start_s < 0.1

        run_fleet(scenario)


class TestDepartedWorker:
    def test_runs_of_a_worker_that_ends_late_are_not_repeated_before(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            job = submit_long_job(fleet, "entry-0", 12)
            await asyncio.sleep(0.5)
            # The answer to its report is lost, so it ends seconds later.
            await fleet.shut_down_worker("side-0", ends_after_ms=2000.0)
            assert await job == "completed"

        run_fleet(scenario)

    def test_runs_of_a_departed_worker_that_loses_stops_are_not_repeated_before(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            job = submit_long_job(fleet, "entry-0", 12)
            await asyncio.sleep(0.5)
            fleet.workers["side-0"].faults.lost_stop_share = 1.0
            await fleet.shut_down_worker("side-0", ends_after_ms=2000.0)
            assert await job == "completed"

        run_fleet(scenario)

    def test_departed_worker_gets_no_new_runs(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            job = submit_long_job(fleet, "entry-0", 12)
            await asyncio.sleep(0.5)
            departing = asyncio.create_task(fleet.shut_down_worker("side-0", ends_after_ms=2000.0))
            await asyncio.sleep(0.001)
            before = len(fleet.runs.started)
            await departing
            assert await job == "completed"
            started = [worker for _, worker in fleet.runs.started[before:]]
            assert started
            assert "worker-0.1" not in started

        run_fleet(scenario)
