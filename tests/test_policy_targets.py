"""A class with an infeasible target is counted in the metrics and does not starve others."""

from __future__ import annotations

import asyncio

from currantbarrow.jobs import JobStatus
from currantbarrow.standins.fleet import Fleet
from helpers import FleetTest


class TestTargets(FleetTest):
    def test_class_with_infeasible_target_is_counted_and_starves_no_other(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            infeasible = [self.make_job(fleet, f"h{n}", [400.0] * 4) for n in range(60)]
            submissions = [
                asyncio.create_task(self.submit(fleet, n % 3, job))
                for n, job in enumerate(infeasible)
            ]
            await fleet.clock.sleep_ms(50)
            answer = await self.submit(fleet, 0, self.make_job(fleet, "k", [100.0], "small"))
            assert answer.status is JobStatus.COMPLETE
            answers = await asyncio.gather(*submissions)
            assert any(answer.status is JobStatus.COMPLETE for answer in answers)
            counted = sum(
                entry.metrics.counters["entry.run_over_target.quote"]
                for entry in fleet.entries.values()
            )
            complete = sum(answer.status is JobStatus.COMPLETE for answer in answers)
            assert counted == 4 * complete

        self.run_fleet(scenario)
