"""Test that a job submitted again after it ended at an entry never runs beside its earlier runs."""

from __future__ import annotations

import asyncio

import pytest

from currantbarrow.direct.model import JobSpec, JobState
from currantbarrow.standins.direct_fleet import DirectFleet, DirectPlan
from direct_scenarios import run_fleet

JOB = "a" * 16
RUN_MS = 3000.0
RUNNING_S = 0.5


def submit(fleet: DirectFleet, entry: str, spec: JobSpec) -> asyncio.Task[JobState]:
    return asyncio.create_task(fleet.submit(entry, spec))


def cancel(fleet: DirectFleet, entry: str) -> None:
    dispatcher = fleet.entries[entry].dispatcher
    dispatcher.cancel(dispatcher.jobs[JOB], "its caller left")


class TestSameEntry:
    @pytest.mark.parametrize("pause_ms", [40, 50, 60, 70])
    def test_late_end_of_an_earlier_run_is_not_taken_for_the_end_of_the_new_one(
        self, pause_ms: float
    ) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            spec = fleet.build_job(JOB, 8, RUN_MS)
            first = submit(fleet, "entry-0", spec)
            await asyncio.sleep(RUNNING_S)
            cancel(fleet, "entry-0")
            await asyncio.sleep(pause_ms / 1000)
            assert await fleet.submit("entry-0", spec) == JobState.COMPLETED
            assert await first == JobState.CANCELLED

        # The reports take longer than the stops.
        run_fleet(scenario, DirectPlan(entries=1, sides=2, delay_ms=20.0))
