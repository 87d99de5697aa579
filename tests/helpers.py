"""Run a fleet of nodes on in-memory stand-ins in virtual time, for tests."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from currantbarrow.jobs import JobAnswer, JobRequest, TaskRequest
from currantbarrow.standins.fleet import Fleet, FleetPlan
from currantbarrow.standins.virtual import run_virtual

CLASSES = {"quote": 300.0, "hold": 200.0}


class FleetTest:
    """Base of tests that run a fleet."""

    def run_fleet(
        self, scenario: Callable[[Fleet], Awaitable[None]], plan: FleetPlan | None = None
    ) -> Fleet:
        """Run a scenario on a ready fleet, and check that no task started twice."""
        return run_virtual(self._run(scenario, plan or FleetPlan()))

    async def _run(self, scenario: Callable[[Fleet], Awaitable[None]], plan: FleetPlan) -> Fleet:
        fleet = Fleet(plan)
        await fleet.start(CLASSES)
        await scenario(fleet)
        await fleet.stop()
        assert fleet.start_counter.double_starts() == []
        return fleet

    @staticmethod
    def make_job(fleet: Fleet, key: str, run_ms: list[float], customer: str = "a") -> JobRequest:
        """Return a job whose tasks run for the given times."""
        tasks = [
            TaskRequest({"run_ms": task_ms, "echo": n}, task_ms) for n, task_ms in enumerate(run_ms)
        ]
        return JobRequest(key, fleet.clock.wall_ms(), customer, "quote", tasks)

    @staticmethod
    async def submit(fleet: Fleet, entry: int, job: JobRequest) -> JobAnswer:
        """Submit a job at one entry."""
        return await fleet.entries[f"entry-{entry}"].node.submit(job)
