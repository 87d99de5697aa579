"""Check jobs submitted at any entry, through owner and workers back to the caller."""

from __future__ import annotations

import asyncio

from currantbarrow.jobs import JobStatus, TaskState
from currantbarrow.standins.fleet import Fleet
from helpers import FleetTest


class TestWholePath(FleetTest):
    def test_answer_contains_every_result_in_order(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            job = self.make_job(fleet, "k", [50.0] * 40)
            answer = await self.submit(fleet, 0, job)
            assert answer.status is JobStatus.COMPLETE
            assert [task.value["echo"] for task in answer.tasks] == list(range(40))

        self.run_fleet(scenario)

    def test_resubmission_at_every_entry_joins_the_first(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            job = self.make_job(fleet, "k", [100.0] * 5)
            answers = await asyncio.gather(
                *(self.submit(fleet, entry, job) for entry in (0, 1, 2, 0))
            )
            assert all(answer == answers[0] for answer in answers)
            assert answers[0].status is JobStatus.COMPLETE
            assert await self.submit(fleet, 1, job) == answers[0]

        fleet = self.run_fleet(scenario)
        assert sum(fleet.start_counter.starts.values()) == 5

    def test_crashed_entry_leaves_no_job_started_twice(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            jobs = [self.make_job(fleet, f"k{n}", [200.0, 300.0]) for n in range(30)]
            first = [asyncio.create_task(self.submit(fleet, 0, job)) for job in jobs]
            await fleet.clock.sleep_ms(100)
            await fleet.kill_entry("entry-1")
            answers = await asyncio.gather(*first)
            assert {answer.status for answer in answers} == {JobStatus.COMPLETE}

        self.run_fleet(scenario)

    def test_lost_worker_fails_its_jobs_with_unknown_outcome(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            job = self.make_job(fleet, "k", [500.0] * 60)
            waiting = asyncio.create_task(self.submit(fleet, 0, job))
            await fleet.clock.sleep_ms(100)
            await fleet.kill_side("side-3")
            answer = await waiting
            assert answer.status is JobStatus.FAILED
            assert TaskState.UNKNOWN in {task.state for task in answer.tasks}

        self.run_fleet(scenario)

    def test_draining_entry_refuses_and_loses_nothing(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            jobs = [self.make_job(fleet, f"k{n}", [300.0] * 3) for n in range(30)]
            first = [
                asyncio.create_task(self.submit(fleet, n % 3, job)) for n, job in enumerate(jobs)
            ]
            await fleet.clock.sleep_ms(50)
            await fleet.entries.pop("entry-2").node.drain()
            answers = await asyncio.gather(*first)
            assert {answer.status for answer in answers} == {JobStatus.COMPLETE}

        self.run_fleet(scenario)
