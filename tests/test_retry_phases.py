"""Retry only dispatches that provably did not start a task, in a run with injected faults.

The second test relaxes the rule and expects tasks to be started twice, which shows that the run
produces the ambiguous failures that the rule guards against.
"""

from __future__ import annotations

import asyncio
import collections
import random

import pytest

from currantbarrow.entry.failures import DispatchFailure, FailurePhase
from currantbarrow.exceptions import CurrantbarrowError
from currantbarrow.jobs import JobRequest
from currantbarrow.standins.fleet import Fleet, FleetPlan
from currantbarrow.standins.virtual import run_virtual
from helpers import CLASSES, FleetTest

SEED = 20_261
RUN_MS = 60_000.0
JOBS_PER_S = 70.0
FAULT_EVERY_MS = 4_000.0
CUT_MS = 7_000.0
LEAVE_MS = 2_000.0
FAILING_SHARE = 0.002


class FaultedRun:
    """A fleet under load whose side processes crash, leave or lose their links."""

    def __init__(self) -> None:
        self.fleet = Fleet(FleetPlan(seed=SEED))
        self.phases: collections.Counter[str] = collections.Counter()
        self.tasks = 0
        self._rng = random.Random(SEED)

    async def run(self) -> None:
        """Run the load, and count all failed dispatches by phase."""
        await self.fleet.start(CLASSES)
        faults = asyncio.create_task(self._inject_faults())
        callers: list[asyncio.Task[None]] = []
        end_ms = self.fleet.clock.monotonic_ms() + RUN_MS
        while self.fleet.clock.monotonic_ms() < end_ms:
            run_ms = [self._rng.uniform(50, 400) for _ in range(self._rng.randint(1, 8))]
            job = FleetTest.make_job(self.fleet, f"j{len(callers)}", run_ms)
            if self._rng.random() < FAILING_SHARE:
                job.tasks[0].payload["fail"] = True
            self.tasks += len(run_ms)
            callers.append(asyncio.create_task(self._submit(job)))
            await self.fleet.clock.sleep_ms(self._rng.expovariate(JOBS_PER_S / 1000))
        faults.cancel()
        await asyncio.wait(callers, timeout=60)
        for entry in self.fleet.entries.values():
            for phase in FailurePhase:
                self.phases[phase] += entry.metrics.counters[f"entry.dispatch_failed.{phase}"]
        await self.fleet.stop()

    async def _submit(self, job: JobRequest) -> None:
        try:
            await FleetTest.submit(self.fleet, self._rng.randrange(3), job)
        except CurrantbarrowError:
            pass

    async def _inject_faults(self) -> None:
        number = 0
        while True:
            await self.fleet.clock.sleep_ms(FAULT_EVERY_MS)
            number += 1
            side, entry = f"side-{self._rng.randrange(11)}", f"entry-{self._rng.randrange(3)}"
            if number % 3 == 0:
                await self.fleet.kill_side(side)
                await self.fleet.start_side(int(side.removeprefix("side-")))
            elif number % 3 == 1:
                self.fleet.sides[side].node.leave()
                await self.fleet.clock.sleep_ms(LEAVE_MS)
                await self.fleet.kill_side(side)
                await self.fleet.start_side(int(side.removeprefix("side-")))
            else:
                self.fleet.fabric.cut(entry, side)
                asyncio.get_running_loop().call_later(
                    CUT_MS / 1000, self.fleet.fabric.restore, entry, side
                )


def run_with_faults() -> FaultedRun:
    """Run to the end and return the run."""
    run = FaultedRun()
    run_virtual(run.run())
    return run


def test_faulted_run_starts_nothing_twice() -> None:
    run = run_with_faults()
    print(f"{run.tasks} tasks, failed dispatches by phase: {dict(run.phases)}")
    assert run.phases[FailurePhase.UNKNOWN] > 0
    assert run.phases[FailurePhase.REFUSED] > 0
    assert run.fleet.start_counter.double_starts() == []


def test_trying_again_what_is_only_likely_would_start_tasks_twice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def ambiguous_is_safe(failure: DispatchFailure) -> bool:
        return failure.phase is not FailurePhase.AFTER_START

    monkeypatch.setattr(DispatchFailure, "proves_not_started", property(ambiguous_is_safe))
    run = run_with_faults()
    double_count = len(run.fleet.start_counter.double_starts())
    print(f"{run.tasks} tasks, {double_count} started twice, phases: {dict(run.phases)}")
    assert double_count > 0
