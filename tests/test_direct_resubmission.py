"""Test that a job submitted again after it ended at an entry never runs beside its earlier runs."""

from __future__ import annotations

import asyncio

import pytest

from currantbarrow.direct.model import JobSpec, JobState
from currantbarrow.standins.direct_fleet import DirectFleet, DirectPlan
from direct_scenarios import RESUBMIT_AFTER_S, run_fleet

JOB = "a" * 16
RUN_MS = 3000.0
# Long enough for the peers to learn which entry has the job.
RUNNING_S = 0.5


def submit(fleet: DirectFleet, entry: str, spec: JobSpec) -> asyncio.Task[JobState]:
    return asyncio.create_task(fleet.submit(entry, spec))


def lose_stops(fleet: DirectFleet) -> None:
    for worker in fleet.workers.values():
        worker.faults.lost_stop_share = 1.0


def end_job(fleet: DirectFleet, entry: str, state: JobState) -> None:
    dispatcher = fleet.entries[entry].dispatcher
    if state is JobState.CANCELLED:
        dispatcher.cancel(dispatcher.jobs[JOB], "its caller left")
    else:
        dispatcher.move(dispatcher.jobs[JOB])


class TestSameEntry:
    @pytest.mark.parametrize("pause_ms", [40, 50, 60, 70])
    def test_late_end_of_an_earlier_run_is_not_taken_for_the_end_of_the_new_one(
        self, pause_ms: float
    ) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            spec = fleet.build_job(JOB, 8, RUN_MS)
            first = submit(fleet, "entry-0", spec)
            await asyncio.sleep(RUNNING_S)
            end_job(fleet, "entry-0", JobState.CANCELLED)
            await asyncio.sleep(pause_ms / 1000)
            assert await fleet.submit("entry-0", spec) == JobState.COMPLETED
            assert await first == JobState.CANCELLED

        # The reports take longer than the stops.
        run_fleet(scenario, DirectPlan(entries=1, sides=2, delay_ms=20.0))

    @pytest.mark.parametrize("pause_ms", [0, 20, 40])
    def test_new_run_waits_for_the_end_of_an_earlier_one_that_is_being_stopped(
        self, pause_ms: float
    ) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            spec = fleet.build_job(JOB, 4, RUN_MS)
            submit(fleet, "entry-0", spec)
            await asyncio.sleep(RUNNING_S)
            end_job(fleet, "entry-0", JobState.CANCELLED)
            await asyncio.sleep(pause_ms / 1000)
            before = len(fleet.runs.started)
            again = submit(fleet, "entry-0", spec)
            # A round trip, the stop, and another one for the orders.
            await asyncio.sleep(0.15)
            assert len(fleet.runs.started) == before + 4
            assert await again == JobState.COMPLETED

        run_fleet(scenario, DirectPlan(delay_ms=20.0))

    def test_new_run_waits_for_the_end_of_an_earlier_one_behind_a_lost_link(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            spec = fleet.build_job(JOB, 4, RUN_MS)
            submit(fleet, "entry-0", spec)
            await asyncio.sleep(RUNNING_S)
            for side in ("side-0", "side-1"):
                fleet.fabric.cut("entry-0", side)
            end_job(fleet, "entry-0", JobState.CANCELLED)
            assert await fleet.submit("entry-0", spec) == JobState.COMPLETED

        run_fleet(scenario)

    @pytest.mark.parametrize("state", [JobState.CANCELLED, JobState.MOVED])
    def test_new_run_waits_for_the_end_of_an_earlier_one_whose_stop_is_lost(
        self, state: JobState
    ) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            lose_stops(fleet)
            spec = fleet.build_job(JOB, 4, RUN_MS)
            first = submit(fleet, "entry-0", spec)
            await asyncio.sleep(RUNNING_S)
            end_job(fleet, "entry-0", state)
            assert await fleet.submit("entry-0", spec) == JobState.COMPLETED
            assert await first == state

        run_fleet(scenario)

    def test_job_cancelled_while_it_waits_for_earlier_runs_is_not_run(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            lose_stops(fleet)
            spec = fleet.build_job(JOB, 4, RUN_MS)
            submit(fleet, "entry-0", spec)
            await asyncio.sleep(RUNNING_S)
            end_job(fleet, "entry-0", JobState.CANCELLED)
            waiting = submit(fleet, "entry-0", spec)
            await asyncio.sleep(0.3)
            assert await fleet.entries["entry-0"].cancel(JOB)
            assert await waiting == JobState.REFUSED
            assert len(fleet.runs.started) == 4

        run_fleet(scenario)


class TestOtherEntry:
    @pytest.mark.parametrize("state", [JobState.CANCELLED, JobState.MOVED])
    def test_release_of_an_ended_job_waits_for_runs_whose_stops_are_lost(
        self, state: JobState
    ) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            lose_stops(fleet)
            spec = fleet.build_job(JOB, 4, RUN_MS)
            first = submit(fleet, "entry-0", spec)
            await asyncio.sleep(RUNNING_S)
            end_job(fleet, "entry-0", state)
            assert await fleet.submit("entry-1", spec) == JobState.COMPLETED
            assert await first == state

        run_fleet(scenario)

    def test_submission_that_waits_for_earlier_runs_gives_way_to_one_at_another_entry(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            lose_stops(fleet)
            spec = fleet.build_job(JOB, 4, RUN_MS)
            submit(fleet, "entry-0", spec)
            await asyncio.sleep(RUNNING_S)
            end_job(fleet, "entry-0", JobState.CANCELLED)
            waiting = submit(fleet, "entry-0", spec)
            await asyncio.sleep(0.9)
            assert await fleet.submit("entry-1", spec) == JobState.COMPLETED
            assert await waiting == JobState.REFUSED

        run_fleet(scenario)

    def test_submission_that_waits_gives_way_to_an_entry_that_could_not_ask_for_a_release(
        self,
    ) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            spec = fleet.build_job(JOB, 4, RUN_MS)
            submit(fleet, "entry-0", spec)
            await asyncio.sleep(RUNNING_S)
            for other in ("side-0", "side-1", "entry-1"):
                fleet.fabric.cut("entry-0", other)
            end_job(fleet, "entry-0", JobState.CANCELLED)
            waiting = submit(fleet, "entry-0", spec)
            await asyncio.sleep(RESUBMIT_AFTER_S)
            again = submit(fleet, "entry-1", spec)
            await asyncio.sleep(0.1)
            fleet.fabric.restore("entry-0", "entry-1")
            assert await again == JobState.COMPLETED
            assert await waiting in (JobState.REFUSED, JobState.MOVED)

        run_fleet(scenario)
