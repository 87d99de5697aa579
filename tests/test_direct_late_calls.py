"""Test calls that a busy entry reads long after their callers have sent them."""

from __future__ import annotations

import asyncio

import pytest

from currantbarrow.direct.admission import Refusal
from currantbarrow.direct.model import JobState
from currantbarrow.standins.direct_fleet import QUEUE, DirectFleet, DirectPlan
from direct_scenarios import RESUBMIT_AFTER_S, run_fleet

JOB = "a" * 16
TIMEOUT_S = 1.5
# Longer than the caller of these tests waits.
RUN_MS = 20_000.0
TWO_ZONES = DirectPlan(entries=2, sides=2, data_centres=2)


class DepartedCaller:
    """Stand in for a caller that has left before its call is read."""

    def has_left(self) -> bool:
        return True


class TestCallerThatHasLeft:
    @pytest.mark.parametrize("read_after_s", [0.6, 1.5])
    def test_late_call_leaves_the_job_to_the_entry_at_which_its_caller_waits(
        self, read_after_s: float
    ) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            spec = fleet.build_job(JOB, 4, 3000.0)
            again = asyncio.create_task(fleet.submit("entry-1", spec))
            await asyncio.sleep(read_after_s)
            late = await fleet.entries["entry-0"].submit(spec, QUEUE, 3000.0, DepartedCaller())
            assert isinstance(late, Refusal)
            assert await again == JobState.COMPLETED

        run_fleet(scenario)


class TestCallReadLateBehindPartition:
    @pytest.mark.parametrize(("read_after_s", "lost_stop_share"), [(0.5, 1.0), (1.4, 0.0)])
    def test_job_does_not_run_on_until_its_caller_is_back(
        self, read_after_s: float, lost_stop_share: float
    ) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            for worker in fleet.workers.values():
                worker.faults.lost_stop_share = lost_stop_share
            spec = fleet.build_job(JOB, 2, RUN_MS)
            # The caller begins to wait now; its call states the whole timeout.
            await asyncio.sleep(read_after_s)
            first = asyncio.create_task(fleet.submit("entry-0", spec, TIMEOUT_S * 1000))
            await asyncio.sleep(0.05)
            for name in ("entry-0", "side-0"):
                for other in ("entry-1", "side-1"):
                    fleet.fabric.cut(name, other)
            await asyncio.sleep(TIMEOUT_S - read_after_s - 0.05 + RESUBMIT_AFTER_S)
            again = asyncio.create_task(fleet.submit("entry-1", spec, TIMEOUT_S * 1000))
            await asyncio.sleep(2.0)
            first.cancel()
            again.cancel()

        run_fleet(scenario, TWO_ZONES)


class TestCallReadAfterSuspension:
    @pytest.mark.parametrize("read_after_s", [0.02, 0.2])
    def test_job_does_not_run_beside_its_resubmission(self, read_after_s: float) -> None:
        """Guard against callers whose departure did not reach the suspended host."""

        async def scenario(fleet: DirectFleet) -> None:
            spec = fleet.build_job(JOB, 4, 600.0)
            # The call arrives unread; its caller leaves after its timeout.
            fleet.fabric.pause("entry-0")
            fleet.block_timed_waits("entry-0")
            await asyncio.sleep(TIMEOUT_S + RESUBMIT_AFTER_S + 0.1)
            again = asyncio.create_task(fleet.submit("entry-1", spec, 3000.0))
            await asyncio.sleep(0.1)
            fleet.fabric.resume("entry-0")
            fleet.unblock_timed_waits("entry-0")
            await asyncio.sleep(read_after_s)
            late = asyncio.create_task(fleet.submit("entry-0", spec, TIMEOUT_S * 1000))
            assert await again == JobState.COMPLETED
            await late

        run_fleet(scenario)
