"""Measure the processor time of entries and side processes: at start, at rest and under load.

python -m soak.cost --entries 5 --sides 15
"""

from __future__ import annotations

import argparse
import asyncio
import os
import random
import tempfile
from pathlib import Path

import msgspec
import uvloop

from soak.callers import Callers
from soak.fleet import Fleet, Host, Plan
from soak.oracle import Oracle

__all__ = ["CostReport", "measure_costs"]

# Time in which links, reports and the first announcements settle.
SETTLE_S = 3.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
# Fields of /proc/PID/stat after the command name, which may contain spaces.
USER_TICKS, SYSTEM_TICKS = 11, 12


class CostReport(msgspec.Struct, frozen=True):
    """Mean processor time of one process of a role."""

    role: str
    start_ms: float
    at_rest_ms_per_s: float
    under_load_ms_per_s: float
    memory_mb: float


async def measure_costs(
    plan: Plan, folder: Path, rest_s: float, load_s: float
) -> tuple[list[CostReport], int]:
    """Run a fleet without faults, and return the costs by role and the number of runs."""
    rng = random.Random(plan.seed)
    oracle = Oracle()
    fleet = Fleet(plan, oracle, folder, rng)
    callers = Callers(fleet, rng)
    try:
        await fleet.start()
        await asyncio.sleep(SETTLE_S)
        started = _read_processor_s(fleet.hosts)
        await asyncio.sleep(rest_s)
        rested = _read_processor_s(fleet.hosts)
        sending = asyncio.create_task(callers.run(plan.jobs_per_s))
        await asyncio.sleep(load_s)
        loaded = _read_processor_s(fleet.hosts)
        sending.cancel()
        await callers.wait(load_s)
        reports = [
            CostReport(
                role,
                _mean([started[host.name] for host in hosts]) * 1000,
                _mean([rested[host.name] - started[host.name] for host in hosts]) / rest_s * 1000,
                _mean([loaded[host.name] - rested[host.name] for host in hosts]) / load_s * 1000,
                _mean([fleet.memory_mb(host) for host in hosts]),
            )
            for role, hosts in (("entry", fleet.entries), ("side", fleet.sides))
        ]
    finally:
        await callers.close()
        await fleet.stop()
    return reports, len(fleet.runs.started)


def _read_processor_s(hosts: list[Host]) -> dict[str, float]:
    return {host.name: _processor_s(host) for host in hosts}


def _processor_s(host: Host) -> float:
    assert host.process is not None
    stat = Path(f"/proc/{host.process.pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[USER_TICKS]) + int(fields[SYSTEM_TICKS])) / TICKS_PER_S


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)


def main() -> None:
    """Measure one fleet and print its costs as a table."""
    parser = argparse.ArgumentParser(prog="python -m soak.cost", description=__doc__)
    parser.add_argument("--entries", type=int, default=5)
    parser.add_argument("--sides", type=int, default=15)
    parser.add_argument("--jobs-per-s", type=float, default=20.0)
    parser.add_argument("--rest-s", type=float, default=10.0)
    parser.add_argument("--load-s", type=float, default=10.0)
    options = parser.parse_args()
    plan = Plan(1, 0.0, options.entries, options.sides, options.jobs_per_s)
    with tempfile.TemporaryDirectory() as folder:
        reports, runs = uvloop.run(
            measure_costs(plan, Path(folder), options.rest_s, options.load_s)
        )
    print(f"{options.entries} entries, {options.sides} side processes, {runs} runs under load")
    print("| role | start, ms | at rest, ms/s | under load, ms/s | memory, MB |")
    print("|---|---:|---:|---:|---:|")
    for each in reports:
        print(
            f"| {each.role} | {each.start_ms:.0f} | {each.at_rest_ms_per_s:.1f} "
            f"| {each.under_load_ms_per_s:.1f} | {each.memory_mb:.1f} |"
        )


if __name__ == "__main__":
    main()
