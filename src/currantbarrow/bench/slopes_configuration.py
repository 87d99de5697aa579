"""Measure in virtual time how long a change takes until it is in force everywhere."""

from __future__ import annotations

import asyncio
import statistics
from collections.abc import Awaitable, Callable

import msgspec

from currantbarrow.logservice import ClassDefinition
from currantbarrow.standins.fleet import Fleet, FleetPlan
from currantbarrow.standins.virtual import run_virtual

__all__ = ["InForce", "format_in_force", "measure_in_force"]

CHANGES = 40
LOOK_MS = 10.0
BETWEEN_MS = 5000.0
# Changes fall on all phases of a read.
SPREAD_MS = 8000.0
IN_FORCE_BOUND_MS = 11_000.0
GIVE_UP_MS = 60_000.0
SLOW_READ_MS = 2000.0
CUT_OFF = "entry-2"
REPLACED = "side-3"
Fault = Callable[[Fleet], None]
Restart = Callable[[Fleet], Awaitable[None]]


class InForce(msgspec.Struct, frozen=True):
    """Hold the times from acceptance until a change is in force, under one fault."""

    case: str
    entries_p50_ms: float
    entries_max_ms: float
    sides_p50_ms: float
    sides_max_ms: float
    changes: int


def _none(fleet: Fleet) -> None:
    pass


def _cut(fleet: Fleet) -> None:
    fleet.fabric.cut(CUT_OFF, "log")


def _slow(fleet: Fleet) -> None:
    fleet.log.faults.read_delay_ms = SLOW_READ_MS


def _slow_and_cut(fleet: Fleet) -> None:
    _slow(fleet)
    _cut(fleet)


def _lossy(fleet: Fleet) -> None:
    fleet.log.faults.lost_reply_share = 0.3


def measure_in_force() -> list[InForce]:
    """Return the times of all cases."""
    cases: dict[str, Fault] = {
        "healthy": _none,
        "one entry cut off from the log alone": _cut,
        "every read of the log takes 2 s": _slow,
        "both": _slow_and_cut,
        "three in ten append replies lost": _lossy,
    }
    found = [run_virtual(_measure(case, fault)) for case, fault in cases.items()]
    starts: dict[str, Restart] = {
        "entry just started": _restart_entry,
        "entry just started, log down": _restart_entry_without_log,
        "side process just started": _restart_side,
    }
    found += [run_virtual(_measure_start(case, restart)) for case, restart in starts.items()]
    return found


async def _measure(case: str, fault: Fault) -> InForce:
    fleet = Fleet(FleetPlan())
    await fleet.start({"quote": 300.0})
    await fleet.clock.sleep_ms(BETWEEN_MS)
    fault(fleet)
    times = [await _measure_change(fleet, number) for number in range(CHANGES)]
    await fleet.stop()
    return _summarize(case, times)


async def _measure_change(fleet: Fleet, number: int) -> tuple[float, float]:
    """Change a class and return when the last entry and the last side process had it."""
    await fleet.clock.sleep_ms(BETWEEN_MS + fleet.rng.uniform(0, SPREAD_MS))
    node = fleet.entries["entry-0"].node
    definition = ClassDefinition(300.0 + number)
    based_on = node.classes.revision_of("quote")
    before = fleet.log.appends
    changing = asyncio.create_task(node.change_class("quote", based_on, definition, "bench"))
    # The change is accepted when its first copy is in the log, whoever knows of it.
    while fleet.log.appends == before:
        await asyncio.sleep(0.001)
    accepted_ms = fleet.clock.monotonic_ms()
    return await _wait_in_force(fleet, based_on + 1, accepted_ms, changing)


async def _wait_in_force(
    fleet: Fleet, revision: int, since_ms: float, changing: asyncio.Task[int] | None = None
) -> tuple[float, float]:
    entries_ms = sides_ms = -1.0
    while entries_ms < 0 or sides_ms < 0:
        took_ms = fleet.clock.monotonic_ms() - since_ms
        if took_ms > GIVE_UP_MS:
            raise TimeoutError("a change did not come into force")
        entries = [entry.node.classes.revision_of("quote") for entry in fleet.entries.values()]
        sides = [side.node.classes.revision_of("quote") for side in fleet.sides.values()]
        if entries_ms < 0 and min(entries) >= revision:
            entries_ms = took_ms
        if sides_ms < 0 and min(sides) >= revision:
            sides_ms = took_ms
        await asyncio.sleep(LOOK_MS / 1000)
    if changing is not None:
        await changing
    return entries_ms, sides_ms


async def _restart_entry(fleet: Fleet) -> None:
    await fleet.kill_entry(CUT_OFF)
    await fleet.clock.sleep_ms(BETWEEN_MS)
    await fleet.start_entry(2)


async def _restart_entry_without_log(fleet: Fleet) -> None:
    await fleet.kill_entry(CUT_OFF)
    await fleet.clock.sleep_ms(BETWEEN_MS)
    fleet.log.faults.down = True
    await fleet.start_entry(2)


async def _restart_side(fleet: Fleet) -> None:
    await fleet.kill_side(REPLACED)
    await fleet.clock.sleep_ms(BETWEEN_MS)
    await fleet.start_side(3)


async def _measure_start(case: str, restart: Restart) -> InForce:
    """Measure from the start of a process until it has what its peers have."""
    fleet = Fleet(FleetPlan())
    await fleet.start({"quote": 300.0})
    await fleet.clock.sleep_ms(BETWEEN_MS)
    times = []
    for number in range(CHANGES):
        await _measure_change(fleet, number)
        revision = fleet.entries["entry-0"].node.classes.revision_of("quote")
        await restart(fleet)
        times.append(await _wait_in_force(fleet, revision, fleet.clock.monotonic_ms()))
        fleet.log.faults.down = False
        await fleet.clock.sleep_ms(BETWEEN_MS)
    await fleet.stop()
    return _summarize(case, times)


def _summarize(case: str, times: list[tuple[float, float]]) -> InForce:
    entries = [entry for entry, _ in times]
    sides = [side for _, side in times]
    return InForce(
        case,
        statistics.median(entries),
        max(entries),
        statistics.median(sides),
        max(sides),
        len(times),
    )


def format_in_force(found: list[InForce]) -> str:
    """Return a table in Markdown, beside the bound."""
    rows = [
        f"| case | changes | entries p50 ms | entries max ms | sides p50 ms | sides max ms "
        f"| within {IN_FORCE_BOUND_MS:.0f} ms |",
        "|---|---:|---:|---:|---:|---:|---|",
    ]
    for each in found:
        inside = max(each.entries_max_ms, each.sides_max_ms) <= IN_FORCE_BOUND_MS
        rows.append(
            f"| {each.case} | {each.changes} "
            f"| {each.entries_p50_ms:.0f} | {each.entries_max_ms:.0f} "
            f"| {each.sides_p50_ms:.0f} | {each.sides_max_ms:.0f} | {'yes' if inside else 'NO'} |"
        )
    return "\n".join(rows)
