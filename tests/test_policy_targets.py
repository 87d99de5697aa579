"""Check that classes with impossible targets are shown, and don't hold up the others."""

from __future__ import annotations

import asyncio

from currantbarrow.jobs import JobStatus
from currantbarrow.standins.fleet import Fleet
from helpers import FleetTest


class TestTargets(FleetTest):
    def test_class_with_a_target_below_its_run_time_is_counted_and_starves_nobody(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            hopeless = [self.make_job(fleet, f"h{n}", [400.0] * 4) for n in range(60)]
            asked = [
                asyncio.create_task(self.submit(fleet, n % 3, job))
                for n, job in enumerate(hopeless)
            ]
            await fleet.clock.sleep_ms(50)
            answer = await self.submit(fleet, 0, self.make_job(fleet, "k", [100.0], "small"))
            assert answer.status is JobStatus.COMPLETE
            answers = await asyncio.gather(*asked)
            assert any(answer.status is JobStatus.COMPLETE for answer in answers)
            counted = sum(
                entry.metrics.counters["entry.run_over_target.quote"]
                for entry in fleet.entries.values()
            )
            complete = sum(answer.status is JobStatus.COMPLETE for answer in answers)
            assert counted == 4 * complete

        self.run_fleet(scenario)
