"""Inject faults of benchmark cases into a fleet at fixed times."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from typing import Any

from currantbarrow.bench.traffic import Traffic
from currantbarrow.standins.fleet import Fleet

__all__ = [
    "Fault",
    "black_hole",
    "data_centre_loss",
    "entry_crash",
    "leaving_one_by_one",
    "log_outage",
    "rack_loss",
]

Fault = Callable[[Fleet, Traffic], Coroutine[Any, Any, None]]
FAULT_AT_MS = 2000.0
OUTAGE_MS = 4000.0
BLACK_HOLE_MS = 4000.0
LEAVE_EVERY_MS = 1000.0
LEAVING_SIDES = 5
LOST_RACK = (3, 4, 5)


async def black_hole(fleet: Fleet, traffic: Traffic) -> None:
    """Make one worker fail every task that it starts, for a limited time."""
    await fleet.clock.sleep_ms(FAULT_AT_MS)
    upstream_faults = fleet.sides["side-4"].upstream.faults
    upstream_faults.fails_all = True
    await fleet.clock.sleep_ms(BLACK_HOLE_MS)
    upstream_faults.fails_all = False


async def log_outage(fleet: Fleet, traffic: Traffic) -> None:
    """Make the log service unavailable for a limited time."""
    await fleet.clock.sleep_ms(FAULT_AT_MS)
    fleet.log.faults.down = True
    await fleet.clock.sleep_ms(OUTAGE_MS)
    fleet.log.faults.down = False


async def entry_crash(fleet: Fleet, traffic: Traffic) -> None:
    """Crash one entry and later start another incarnation of it."""
    await fleet.clock.sleep_ms(FAULT_AT_MS)
    await traffic.crash_entry("entry-1")
    await fleet.clock.sleep_ms(OUTAGE_MS)
    await fleet.start_entry(1)


async def rack_loss(fleet: Fleet, traffic: Traffic) -> None:
    """Crash all workers of one rack."""
    await fleet.clock.sleep_ms(FAULT_AT_MS)
    for number in LOST_RACK:
        await fleet.kill_side(f"side-{number}")


async def data_centre_loss(fleet: Fleet, traffic: Traffic) -> None:
    """Crash all processes of one data centre."""
    await fleet.clock.sleep_ms(FAULT_AT_MS)
    data_centre_count = len(fleet.plan.data_centres)
    for number in range(2, fleet.plan.sides, data_centre_count):
        await fleet.kill_side(f"side-{number}")
    await traffic.crash_entry("entry-2")


async def leaving_one_by_one(fleet: Fleet, traffic: Traffic) -> None:
    """Drain workers one after another and start a replacement for each."""
    for number in range(LEAVING_SIDES):
        await fleet.clock.sleep_ms(LEAVE_EVERY_MS)
        side = fleet.sides.pop(f"side-{number}")
        if side.announcing is not None:
            side.announcing.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await side.announcing
        traffic.oracle.record_leaving(side.node.options.incarnation)
        await side.node.stop()
        await fleet.start_side(number)
