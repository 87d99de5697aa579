"""Play one seed: start, injure, heal, and see that all is well again."""

from __future__ import annotations

import asyncio
import contextlib
import random
from pathlib import Path

import aiohttp
import msgspec

from soak.callers import Callers
from soak.faults import Injector
from soak.fleet import ENTRY_MEMORY_MB, SIDE_MEMORY_MB, Fleet, Plan
from soak.oracle import Oracle, Outcome

__all__ = ["Report", "play"]

# By then everything is served again after the last fault, as the users' pages ask.
RECOVER_S = 12.0
# After the last job its runs have ended and their ends are noted.
EMPTY_S = 3.0
LAST_JOBS = 40
LAST_S = 3.0
# Of the last jobs this share is served.
SERVED_SHARE = 0.9
CALLS_END_S = 12.0
CONFIGURATION_S = 4.0


class Report(msgspec.Struct):
    """Say what a run saw."""

    plan: Plan
    violations: list[str]
    faults: list[str]
    outcomes: dict[str, int]
    starts: int


async def play(plan: Plan, folder: Path) -> Report:
    """Run a fleet through the faults of a seed, and return what was seen."""
    rng = random.Random(plan.seed)
    oracle = Oracle()
    fleet = Fleet(plan, oracle, folder, random.Random(rng.random()))
    callers = Callers(fleet, random.Random(rng.random()))

    def burst(many: int) -> None:
        for _ in range(many):
            callers.send()

    injector = Injector(fleet, oracle, random.Random(rng.random()), burst)
    try:
        await fleet.start()
        sending = asyncio.create_task(callers.run(plan.jobs_per_s))
        await injector.run(plan.seconds)
        await injector.heal()
        await asyncio.sleep(RECOVER_S)
        sending.cancel()
        await callers.wait(CALLS_END_S)
        await _check_recovered(fleet, callers, oracle)
        oracle.settle()
    finally:
        await callers.close()
        await fleet.stop()
    _check_logs(fleet, oracle)
    outcomes: dict[str, int] = {}
    for attempt in oracle.attempts:
        outcomes[attempt.outcome.value] = outcomes.get(attempt.outcome.value, 0) + 1
    return Report(plan, oracle.violations, injector.done, outcomes, len(fleet.book.started))


async def _check_recovered(fleet: Fleet, callers: Callers, oracle: Oracle) -> None:
    await fleet.wait_ready()
    await _check_configuration(fleet, callers, oracle)
    before = len(oracle.attempts)
    for _ in range(LAST_JOBS):
        callers.send()
        await asyncio.sleep(LAST_S / LAST_JOBS)
    await callers.wait(CALLS_END_S)
    last = oracle.attempts[before:]
    served = sum(attempt.outcome is Outcome.COMPLETED for attempt in last)
    owed = sum(attempt.outcome not in (Outcome.HUNG_UP, Outcome.CANCELLED) for attempt in last)
    if served < SERVED_SHARE * owed:
        oracle.report("recovery", f"{served} of the last {owed} jobs were served")
    await asyncio.sleep(EMPTY_S)
    if fleet.book.running:
        oracle.report("nothing left running", f"{sorted(fleet.book.running)[:3]} run on")
    for name, served_worker in fleet.workers.items():
        if served_worker.worker.unacknowledged_ends:
            oracle.report(
                "ends are noted", f"{served_worker.worker.unacknowledged_ends} at {name} are not"
            )
    if fleet.book.over_capacity:
        oracle.report("room", f"over capacity on {sorted(set(fleet.book.over_capacity))}")
    for host in fleet.hosts:
        limit_mb = ENTRY_MEMORY_MB if host.is_entry else SIDE_MEMORY_MB
        if fleet.memory_mb(host) > limit_mb:
            oracle.report("memory", f"{host.name} takes {fleet.memory_mb(host):.0f} MB")


async def _check_configuration(fleet: Fleet, callers: Callers, oracle: Oracle) -> None:
    version = fleet.configure()
    await asyncio.sleep(CONFIGURATION_S)
    async with aiohttp.ClientSession() as session:
        for host in fleet.entries:
            if not await callers.knows(session, host, version):
                oracle.report("configuration in force", f"{host.name} lacks {version}")


def _check_logs(fleet: Fleet, oracle: Oracle) -> None:
    for host in fleet.hosts:
        with contextlib.suppress(OSError):
            text = host.log_path.read_text(errors="replace")
            if "Traceback" in text:
                oracle.report("no unexpected errors", f"{host.name} logged a traceback")
