"""Run a scenario in virtual time and check its promises and expectations."""

from __future__ import annotations

import asyncio
import collections
import gc
import random

import msgspec

from currantbarrow.jobs import SHARD_COUNT, JobRequest, make_job_id, shard_of
from currantbarrow.scenario.clients import HUNG_UP
from currantbarrow.scenario.faults import apply_fault
from currantbarrow.scenario.oracle import Violation
from currantbarrow.scenario.schema import Expectations, Fault, Scenario, Work
from currantbarrow.scenario.world import World
from currantbarrow.standins.fleet import FleetPlan
from currantbarrow.standins.virtual import run_virtual

__all__ = ["Outcome", "run_scenario"]

PROBE_RUN_MS = 10.0
PROBE_TIMEOUT_MS = 3000.0


class Outcome(msgspec.Struct, frozen=True):
    """Describe the result of a scenario, with the broken promises and the failed expectations."""

    counts: dict[str, int]
    response_counts: dict[str, int]
    violations: list[Violation]
    failures: list[str]

    @property
    def passed(self) -> bool:
        """Return whether all promises and expectations held."""
        return not self.violations and not self.failures

    def describe(self) -> str:
        """Return one line for each failure, and the counts."""
        lines = [f"{v.at_ms / 1000:.3f} s: {v.promise}: {v.detail}" for v in self.violations]
        return "\n".join(
            [*lines, *self.failures, f"counts: {self.counts}, responses: {self.response_counts}"]
        )


def run_scenario(scenario: Scenario, seed: int | None = None) -> Outcome:
    """Run a scenario with its own seed, or with the given one."""
    return run_virtual(_ScenarioRun(scenario, scenario.seed if seed is None else seed).run())


class _ScenarioRun:
    """Represent one run of a scenario."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        size = scenario.fleet
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._started_ms = 0.0
        self._failures: list[str] = []
        self._world = World(
            FleetPlan(
                size.entries,
                size.sides,
                size.slots,
                size.data_centres,
                size.sides_per_rack,
                window_ms=size.window,
                seed=seed,
            )
        )

    async def run(self) -> Outcome:
        """Start the processes, run work and faults until the end, and check the expectations."""
        world, scenario = self._world, self._scenario
        await world.start({name: float(target) for name, target in scenario.classes.items()})
        self._started_ms = world.now_ms()
        for work in scenario.work:
            world.spawn(self._submit_jobs(work))
        for fault in scenario.faults:
            world.spawn(self._apply(fault))
        if scenario.expect.works_at is not None:
            world.spawn(self._probe_shards(scenario.expect.works_at))
        await self._sleep_until(scenario.until)
        callers = list(world.callers)
        world.check_at_end()
        counts = self._count([caller.outcome for caller in callers])
        counters = self._sum_counters()
        self._check_expectations(scenario.expect, counts, counters)
        await world.stop()
        # asyncio reports an unretrieved exception of a task when the task is garbage collected.
        gc.collect()
        self._failures.extend(f"crash: {crash}" for crash in world.crashes)
        return Outcome(
            counts, dict(world.oracle.response_counts), world.oracle.violations, self._failures
        )

    async def _submit_jobs(self, work: Work) -> None:
        await self._sleep_until(work.at)
        for number in range(work.jobs):
            self._world.spawn(self._run_caller(work, self._build_job(work, number)))
            await self._world.fleet.clock.sleep_ms(work.every)

    def _build_job(self, work: Work, number: int) -> JobRequest:
        bounds: tuple[float, float] = (
            work.run,
            work.run if work.run_up_to is None else work.run_up_to,
        )
        run_ms = [self._rng.uniform(*bounds) for _ in range(work.tasks)]
        return self._world.build_job(
            f"{work.name}-{number}",
            run_ms,
            customer=work.customer,
            job_class=work.job_class,
            size_slots=work.size_slots,
            fail=work.fail,
            age_ms=work.age,
        )

    async def _run_caller(self, work: Work, request: JobRequest) -> None:
        """Submit one job, and resubmit, cancel or hang up as its work says."""
        world, clock = self._world, self._world.fleet.clock
        submitted_ms = world.now_ms()
        if work.cancel_first:
            await world.cancel(request, work.cancel_to)
        submission = world.submit(request, work.entry, work.patience)
        steps: list[tuple[float, str, str]] = []
        for number, after in enumerate(work.resubmit_after):
            to = work.resubmit_to[number % len(work.resubmit_to)] if work.resubmit_to else ""
            steps.append((after, "resubmit", to))
        if work.cancel_after is not None:
            steps.append((work.cancel_after, "cancel", work.cancel_to))
        if work.hang_up_after is not None:
            steps.append((work.hang_up_after, "hang_up", ""))
        for after_ms, step, to in sorted(steps):
            await clock.sleep_ms(max(0.0, submitted_ms + after_ms - world.now_ms()))
            if step == "resubmit":
                world.submit(request, to, work.patience)
            elif step == "cancel":
                await world.cancel(request, to)
            else:
                submission.cancel()

    async def _apply(self, fault: Fault) -> None:
        await self._sleep_until(fault.at)
        await apply_fault(self._world, fault)

    async def _probe_shards(self, at_ms: float) -> None:
        """Submit a small job for each shard, and expect all of them to complete in time."""
        await self._sleep_until(at_ms)
        world = self._world
        jobs: dict[int, JobRequest] = {}
        number = 0
        while len(jobs) < SHARD_COUNT:
            job = world.build_job(f"probe-{number}", [PROBE_RUN_MS], customer="probe")
            jobs.setdefault(shard_of(make_job_id(job)), job)
            number += 1
        first_probe = len(world.callers)
        submissions = [world.submit(job) for job in jobs.values()]
        await asyncio.wait(submissions, timeout=PROBE_TIMEOUT_MS / 1000)
        probes = world.callers[first_probe : first_probe + len(submissions)]
        incomplete = collections.Counter(
            probe.outcome or "no answer" for probe in probes if probe.outcome != "complete"
        )
        if incomplete:
            self._failures.append(
                f"works_at {at_ms / 1000:.1f} s: {dict(incomplete)} of {SHARD_COUNT}"
            )

    def _count(self, outcomes: list[str]) -> dict[str, int]:
        world = self._world
        outcome_counts = collections.Counter(outcomes)
        del outcome_counts[HUNG_UP]
        unknown = sum(
            1
            for caller in world.callers
            if caller.answer and any(task.state == "unknown" for task in caller.answer.tasks)
        )
        answered = {name: outcome_counts.pop(name, 0) for name in ("complete", "failed", "refused")}
        return {
            **answered,
            "unknown": unknown,
            "errors": sum(outcome_counts.values()),
            "starts": sum(world.oracle.starts.values()),
            "class_conflicts": world.class_conflicts,
        }

    def _sum_counters(self) -> collections.Counter[str]:
        fleet = self._world.fleet
        total: collections.Counter[str] = collections.Counter()
        for entry in fleet.entries.values():
            total.update(entry.metrics.counters)
        for side in fleet.sides.values():
            total.update(side.metrics.counters)
        return total

    def _check_expectations(
        self, expect: Expectations, counts: dict[str, int], counters: collections.Counter[str]
    ) -> None:
        for name, count in counts.items():
            if not getattr(expect, name).contains(count):
                self._failures.append(f"{name}: {count}, expected {getattr(expect, name)}")
        for name, bounds in expect.counters.items():
            if not bounds.contains(counters[name]):
                self._failures.append(f"counter {name}: {counters[name]}, expected {bounds}")

    async def _sleep_until(self, at_ms: float) -> None:
        due_ms = self._started_ms + at_ms
        await self._world.fleet.clock.sleep_ms(max(0.0, due_ms - self._world.now_ms()))
