"""Run one seed: start a fleet, inject faults, and check that it recovers."""

from __future__ import annotations

import asyncio
import contextlib
import random
from pathlib import Path

import aiohttp
import msgspec

from currantbarrow.direct.containment import EVIDENCE_MS
from soak.callers import Callers
from soak.faults import Injector
from soak.fleet import ENTRY_MEMORY_MB, SIDE_MEMORY_MB, Fleet, Plan
from soak.monitor import HarnessPart, Monitor
from soak.oracle import Oracle, Outcome

__all__ = ["Report", "run_seed"]

# Recovery time after the last fault that the user documentation allows.
RECOVERY_S = 12.0
# After the last job, time until its runs have ended and their ends are acknowledged.
RUN_END_S = 3.0
FINAL_JOBS = 40
FINAL_JOBS_S = 3.0
# Share of the final jobs that must be completed.
MIN_COMPLETED_SHARE = 0.9
CALLS_TIMEOUT_S = 12.0
CONFIGURATION_TIMEOUT_S = 4.0


class Report(msgspec.Struct):
    """Result of one run."""

    plan: Plan
    violations: list[str]
    faults: list[str]
    outcomes: dict[str, int]
    starts: int
    harness: list[HarnessPart]

    @property
    def late_parts(self) -> list[str]:
        """Return the parts of the run in which the soak's own processes did not keep up."""
        return [part.describe() for part in self.harness if part.is_late]


async def run_seed(plan: Plan, folder: Path) -> Report:
    """Run a fleet under the faults of a seed, and return the violations and counts."""
    rng = random.Random(plan.seed)
    oracle = Oracle()
    fleet = Fleet(plan, oracle, folder, random.Random(rng.random()))
    callers = Callers(fleet, random.Random(rng.random()))

    def send_burst(count: int) -> None:
        for _ in range(count):
            callers.send()

    injector = Injector(fleet, oracle, random.Random(rng.random()), send_burst)
    try:
        await fleet.start()
        monitor = Monitor(fleet)
        sending = asyncio.create_task(callers.run(plan.jobs_per_s))
        await injector.run(plan.seconds)
        await injector.end_faults()
        callers.crashing_share = 0.0
        if plan.crashes:
            await asyncio.sleep(EVIDENCE_MS / 1000)
        await monitor.end_part("faults")
        await asyncio.sleep(RECOVERY_S)
        await monitor.end_part("recovery")
        sending.cancel()
        await callers.wait(CALLS_TIMEOUT_S)
        await _check_recovery(fleet, callers, oracle)
        oracle.check_at_end()
        await monitor.end_part("last jobs")
        await monitor.stop()
    finally:
        await callers.close()
        await fleet.stop()
    _check_logs(fleet, oracle)
    outcomes: dict[str, int] = {}
    for attempt in oracle.attempts:
        outcomes[attempt.outcome.value] = outcomes.get(attempt.outcome.value, 0) + 1
    return Report(
        plan,
        oracle.violations,
        injector.injected,
        outcomes,
        len(fleet.runs.started),
        monitor.parts,
    )


async def _check_recovery(fleet: Fleet, callers: Callers, oracle: Oracle) -> None:
    await fleet.wait_ready()
    await _check_configuration(fleet, callers, oracle)
    first = len(oracle.attempts)
    for _ in range(FINAL_JOBS):
        callers.send()
        await asyncio.sleep(FINAL_JOBS_S / FINAL_JOBS)
    await callers.wait(CALLS_TIMEOUT_S)
    final = oracle.attempts[first:]
    completed = sum(attempt.outcome is Outcome.COMPLETED for attempt in final)
    expected = sum(
        attempt.outcome not in (Outcome.DISCONNECTED, Outcome.CANCELLED) for attempt in final
    )
    if completed < MIN_COMPLETED_SHARE * expected:
        oracle.report_violation(
            "recovery", f"{completed} of the last {expected} jobs were completed"
        )
    await asyncio.sleep(RUN_END_S)
    await fleet.receive_run_events()
    if fleet.runs.running:
        oracle.report_violation(
            "nothing left running", f"{sorted(fleet.runs.running)[:3]} are still running"
        )
    for name, worker in fleet.workers.items():
        if count := await worker.count_unacknowledged_ends():
            oracle.report_violation(
                "ends are noted", f"{count} ends at {name} are not acknowledged"
            )
    if over_capacity := await fleet.over_capacity():
        oracle.report_violation("room", f"over capacity on {over_capacity}")
    if fleet.runs.over_crash_budget:
        oracle.report_violation(
            "crashes", f"started on after three crashes: {fleet.runs.over_crash_budget[:3]}"
        )
    for host in fleet.hosts:
        limit_mb = ENTRY_MEMORY_MB if host.is_entry else SIDE_MEMORY_MB
        if fleet.memory_mb(host) > limit_mb:
            oracle.report_violation("memory", f"{host.name} uses {fleet.memory_mb(host):.0f} MB")


async def _check_configuration(fleet: Fleet, callers: Callers, oracle: Oracle) -> None:
    version = fleet.configure()
    await asyncio.sleep(CONFIGURATION_TIMEOUT_S)
    async with aiohttp.ClientSession() as session:
        for host in fleet.entries:
            if not await callers.has_version(session, host, version):
                oracle.report_violation(
                    "configuration in force", f"{host.name} does not serve version {version}"
                )


def _check_logs(fleet: Fleet, oracle: Oracle) -> None:
    for host in fleet.hosts:
        with contextlib.suppress(OSError):
            text = host.log_path.read_text(errors="replace")
            if "Traceback" in text:
                oracle.report_violation("no unexpected errors", f"{host.name} logged a traceback")
