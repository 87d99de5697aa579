"""Measure, in virtual time, how long a class change takes to be in force on all processes."""

from __future__ import annotations

import asyncio
import statistics
from collections.abc import Awaitable, Callable

import msgspec

from currantbarrow.logservice import ClassDefinition
from currantbarrow.standins.fleet import Fleet, FleetPlan
from currantbarrow.standins.virtual import run_virtual

__all__ = ["PropagationFigures", "format_propagation", "measure_propagation"]

CHANGES = 40
POLL_INTERVAL_MS = 10.0
PAUSE_MS = 5000.0
# Random additional pause, so that changes arrive in all phases of a read of the log.
MAX_EXTRA_PAUSE_MS = 8000.0
PROPAGATION_LIMIT_MS = 11_000.0
PROPAGATION_TIMEOUT_MS = 60_000.0
SLOW_READ_MS = 2000.0
AFFECTED_ENTRY = "entry-2"
RESTARTED_SIDE = "side-3"
FaultInjector = Callable[[Fleet], None]
RestartProcedure = Callable[[Fleet], Awaitable[None]]


class PropagationFigures(msgspec.Struct, frozen=True):
    """Report the times in one case from accepting a change until all entries or sides apply it."""

    case: str
    entries_p50_ms: float
    entries_max_ms: float
    sides_p50_ms: float
    sides_max_ms: float
    changes: int


def _inject_nothing(fleet: Fleet) -> None:
    pass


def _isolate_entry_from_log(fleet: Fleet) -> None:
    fleet.fabric.cut(AFFECTED_ENTRY, "log")


def _slow_log_reads(fleet: Fleet) -> None:
    fleet.log.faults.read_delay_ms = SLOW_READ_MS


def _slow_log_and_isolate_entry(fleet: Fleet) -> None:
    _slow_log_reads(fleet)
    _isolate_entry_from_log(fleet)


def _lose_append_replies(fleet: Fleet) -> None:
    fleet.log.faults.lost_reply_share = 0.3


def measure_propagation() -> list[PropagationFigures]:
    """Return the propagation times of all cases."""
    cases: dict[str, FaultInjector] = {
        "healthy": _inject_nothing,
        "one entry cut off from the log alone": _isolate_entry_from_log,
        "every read of the log takes 2 s": _slow_log_reads,
        "both": _slow_log_and_isolate_entry,
        "three in ten append replies lost": _lose_append_replies,
    }
    figures = [run_virtual(_measure(case, fault)) for case, fault in cases.items()]
    restarts: dict[str, RestartProcedure] = {
        "entry just started": _restart_entry,
        "entry just started, log down": _restart_entry_without_log,
        "side process just started": _restart_side,
    }
    figures += [run_virtual(_measure_start(case, restart)) for case, restart in restarts.items()]
    return figures


async def _measure(case: str, fault: FaultInjector) -> PropagationFigures:
    fleet = Fleet(FleetPlan())
    await fleet.start({"quote": 300.0})
    await fleet.clock.sleep_ms(PAUSE_MS)
    fault(fleet)
    durations_ms = [await _measure_change(fleet, number) for number in range(CHANGES)]
    await fleet.stop()
    return _summarize(case, durations_ms)


async def _measure_change(fleet: Fleet, number: int) -> tuple[float, float]:
    """Change a class and return the times in ms until all entries and all sides apply it."""
    await fleet.clock.sleep_ms(PAUSE_MS + fleet.rng.uniform(0, MAX_EXTRA_PAUSE_MS))
    node = fleet.entries["entry-0"].node
    definition = ClassDefinition(300.0 + number)
    based_on = node.classes.revision_of("quote")
    appends_before = fleet.log.appends
    change = asyncio.create_task(node.change_class("quote", based_on, definition, "bench"))
    # The change is accepted once its first copy is in the log, even if the reply is lost.
    while fleet.log.appends == appends_before:
        await asyncio.sleep(0.001)
    accepted_ms = fleet.clock.monotonic_ms()
    return await _wait_until_applied(fleet, based_on + 1, accepted_ms, change)


async def _wait_until_applied(
    fleet: Fleet, revision: int, since_ms: float, change: asyncio.Task[int] | None = None
) -> tuple[float, float]:
    entries_ms = sides_ms = -1.0
    while entries_ms < 0 or sides_ms < 0:
        elapsed_ms = fleet.clock.monotonic_ms() - since_ms
        if elapsed_ms > PROPAGATION_TIMEOUT_MS:
            raise TimeoutError(
                f"class revision {revision} not applied by all processes after {elapsed_ms:.0f} ms"
            )
        entries = [entry.node.classes.revision_of("quote") for entry in fleet.entries.values()]
        sides = [side.node.classes.revision_of("quote") for side in fleet.sides.values()]
        if entries_ms < 0 and min(entries) >= revision:
            entries_ms = elapsed_ms
        if sides_ms < 0 and min(sides) >= revision:
            sides_ms = elapsed_ms
        await asyncio.sleep(POLL_INTERVAL_MS / 1000)
    if change is not None:
        await change
    return entries_ms, sides_ms


async def _restart_entry(fleet: Fleet) -> None:
    await fleet.kill_entry(AFFECTED_ENTRY)
    await fleet.clock.sleep_ms(PAUSE_MS)
    await fleet.start_entry(2)


async def _restart_entry_without_log(fleet: Fleet) -> None:
    await fleet.kill_entry(AFFECTED_ENTRY)
    await fleet.clock.sleep_ms(PAUSE_MS)
    fleet.log.faults.down = True
    await fleet.start_entry(2)


async def _restart_side(fleet: Fleet) -> None:
    await fleet.kill_side(RESTARTED_SIDE)
    await fleet.clock.sleep_ms(PAUSE_MS)
    await fleet.start_side(3)


async def _measure_start(case: str, restart: RestartProcedure) -> PropagationFigures:
    """Measure the time from a restart of a process until it applies the current revision."""
    fleet = Fleet(FleetPlan())
    await fleet.start({"quote": 300.0})
    await fleet.clock.sleep_ms(PAUSE_MS)
    durations_ms = []
    for number in range(CHANGES):
        await _measure_change(fleet, number)
        revision = fleet.entries["entry-0"].node.classes.revision_of("quote")
        await restart(fleet)
        durations_ms.append(await _wait_until_applied(fleet, revision, fleet.clock.monotonic_ms()))
        fleet.log.faults.down = False
        await fleet.clock.sleep_ms(PAUSE_MS)
    await fleet.stop()
    return _summarize(case, durations_ms)


def _summarize(case: str, durations_ms: list[tuple[float, float]]) -> PropagationFigures:
    entries = [entry for entry, _ in durations_ms]
    sides = [side for _, side in durations_ms]
    return PropagationFigures(
        case,
        statistics.median(entries),
        max(entries),
        statistics.median(sides),
        max(sides),
        len(durations_ms),
    )


def format_propagation(figures: list[PropagationFigures]) -> str:
    """Return a Markdown table that compares the times with the limit."""
    rows = [
        f"| case | changes | entries p50 ms | entries max ms | sides p50 ms | sides max ms "
        f"| within {PROPAGATION_LIMIT_MS:.0f} ms |",
        "|---|---:|---:|---:|---:|---:|---|",
    ]
    for each in figures:
        within = max(each.entries_max_ms, each.sides_max_ms) <= PROPAGATION_LIMIT_MS
        rows.append(
            f"| {each.case} | {each.changes} "
            f"| {each.entries_p50_ms:.0f} | {each.entries_max_ms:.0f} "
            f"| {each.sides_p50_ms:.0f} | {each.sides_max_ms:.0f} | {'yes' if within else 'NO'} |"
        )
    return "\n".join(rows)
