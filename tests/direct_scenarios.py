"""Run scenarios of direct dispatch on a simulated fleet in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from currantbarrow.standins.direct_fleet import DirectFleet, DirectPlan
from currantbarrow.standins.virtual import run_virtual

Scenario = Callable[[DirectFleet], Awaitable[None]]
# A caller resubmits its job this long after its connection broke.
RESUBMIT_AFTER_S = 1.3
# Virtual time; longer than any scenario takes.
SCENARIO_TIMEOUT_S = 90.0


def run_fleet(scenario: Scenario, plan: DirectPlan | None = None) -> DirectFleet:
    """Run a scenario, and check that no task ran twice at once and no worker was overcommitted.

    No task ran on a worker without the label that it requires, or of another service. None is
    started on and on after it has crashed several workers.
    """

    async def run() -> DirectFleet:
        fleet = DirectFleet(plan or DirectPlan())
        await fleet.start()
        async with asyncio.timeout(SCENARIO_TIMEOUT_S):
            await scenario(fleet)
        await fleet.stop()
        assert fleet.runs.double_runs == []
        assert fleet.runs.over_capacity == []
        assert fleet.runs.misplaced == []
        assert fleet.runs.over_crash_budget == []
        return fleet

    return run_virtual(run())
