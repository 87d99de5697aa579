"""Run one scenario in virtual time and compare what came out with what it expects."""

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
PROBE_BOUND_MS = 3000.0


class Outcome(msgspec.Struct, frozen=True):
    """Tell what came out of a scenario; it is green when nothing is listed."""

    counts: dict[str, int]
    told: dict[str, int]
    violations: list[Violation]
    mistakes: list[str]

    @property
    def green(self) -> bool:
        """Tell whether all promises and expectations held."""
        return not self.violations and not self.mistakes

    def describe(self) -> str:
        """Return what failed, one line each."""
        lines = [f"{v.at_ms / 1000:.3f} s: {v.promise}: {v.detail}" for v in self.violations]
        return "\n".join([*lines, *self.mistakes, f"counts: {self.counts}, told: {self.told}"])


def run_scenario(scenario: Scenario, seed: int | None = None) -> Outcome:
    """Run a scenario with its own seed, or with another one."""
    return run_virtual(_Run(scenario, scenario.seed if seed is None else seed).run())


class _Run:
    """Hold one run of a scenario."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        size = scenario.fleet
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._began_ms = 0.0
        self._mistakes: list[str] = []
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
        """Start the processes, let work and faults happen, and judge."""
        world, scenario = self._world, self._scenario
        await world.start({name: float(target) for name, target in scenario.classes.items()})
        self._began_ms = world.now_ms()
        for work in scenario.work:
            world.spawn(self._submit_work(work))
        for fault in scenario.faults:
            world.spawn(self._apply(fault))
        if scenario.expect.works_at is not None:
            world.spawn(self._probe(scenario.expect.works_at))
        await self._sleep_until(scenario.until)
        callers = list(world.callers)
        world.settle()
        counts = self._count([caller.outcome for caller in callers])
        counters = self._sum_counters()
        self._judge(scenario.expect, counts, counters)
        await world.stop()
        # A task's unseen error is told when the task is collected.
        gc.collect()
        self._mistakes.extend(f"crash: {crash}" for crash in world.crashes)
        return Outcome(counts, dict(world.oracle.told), world.oracle.violations, self._mistakes)

    async def _submit_work(self, work: Work) -> None:
        await self._sleep_until(work.at)
        for number in range(work.jobs):
            self._world.spawn(self._job(work, self._build(work, number)))
            await self._world.fleet.clock.sleep_ms(work.every)

    def _build(self, work: Work, number: int) -> JobRequest:
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

    async def _job(self, work: Work, request: JobRequest) -> None:
        """Submit one job and do all that its caller does."""
        world, clock = self._world, self._world.fleet.clock
        began_ms = world.now_ms()
        if work.cancel_first:
            await world.cancel(request, work.cancel_to)
        submitting = world.submit(request, work.entry, work.patience)
        steps: list[tuple[float, str, str]] = []
        for number, after in enumerate(work.resubmit_after):
            to = work.resubmit_to[number % len(work.resubmit_to)] if work.resubmit_to else ""
            steps.append((after, "resubmit", to))
        if work.cancel_after is not None:
            steps.append((work.cancel_after, "cancel", work.cancel_to))
        if work.hang_up_after is not None:
            steps.append((work.hang_up_after, "hang_up", ""))
        for after_ms, step, to in sorted(steps):
            await clock.sleep_ms(max(0.0, began_ms + after_ms - world.now_ms()))
            if step == "resubmit":
                world.submit(request, to, work.patience)
            elif step == "cancel":
                await world.cancel(request, to)
            else:
                submitting.cancel()

    async def _apply(self, fault: Fault) -> None:
        await self._sleep_until(fault.at)
        await apply_fault(self._world, fault)

    async def _probe(self, at_ms: float) -> None:
        """Submit a small job for each shard and expect all of them to complete."""
        await self._sleep_until(at_ms)
        world = self._world
        jobs: dict[int, JobRequest] = {}
        number = 0
        while len(jobs) < SHARD_COUNT:
            job = world.build_job(f"probe-{number}", [PROBE_RUN_MS], customer="probe")
            jobs.setdefault(shard_of(make_job_id(job)), job)
            number += 1
        began = len(world.callers)
        asking = [world.submit(job) for job in jobs.values()]
        await asyncio.wait(asking, timeout=PROBE_BOUND_MS / 1000)
        probes = world.callers[began : began + len(asking)]
        late = collections.Counter(
            probe.outcome or "no answer" for probe in probes if probe.outcome != "complete"
        )
        if late:
            self._mistakes.append(f"works_at {at_ms / 1000:.1f} s: {dict(late)} of {SHARD_COUNT}")

    def _count(self, outcomes: list[str]) -> dict[str, int]:
        world = self._world
        told = collections.Counter(outcomes)
        del told[HUNG_UP]
        unknown = sum(
            1
            for caller in world.callers
            if caller.answer and any(task.state == "unknown" for task in caller.answer.tasks)
        )
        answered = {name: told.pop(name, 0) for name in ("complete", "failed", "refused")}
        return {
            **answered,
            "unknown": unknown,
            "errors": sum(told.values()),
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

    def _judge(
        self, expect: Expectations, counts: dict[str, int], counters: collections.Counter[str]
    ) -> None:
        for name, count in counts.items():
            if not getattr(expect, name).holds(count):
                self._mistakes.append(f"{name}: {count}, expected {getattr(expect, name)}")
        for name, bounds in expect.counters.items():
            if not bounds.holds(counters[name]):
                self._mistakes.append(f"counter {name}: {counters[name]}, expected {bounds}")

    async def _sleep_until(self, at_ms: float) -> None:
        due_ms = self._began_ms + at_ms
        await self._world.fleet.clock.sleep_ms(max(0.0, due_ms - self._world.now_ms()))
