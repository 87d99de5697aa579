"""Inject the faults of a scenario, and end them after their durations."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from currantbarrow.exceptions import (
    AppendUnknown,
    ClassConflict,
    CurrantbarrowError,
    LogServiceError,
    MemberUnknown,
)
from currantbarrow.logservice import ClassDefinition
from currantbarrow.scenario import schema
from currantbarrow.scenario.names import LOG, expand
from currantbarrow.scenario.world import World
from currantbarrow.standins.upstream import UpstreamFaults

__all__ = ["apply_fault"]

# How long an operator on call takes to notice a lost host and to retire its process.
OPERATOR_REACTION_MS = 15_000.0
OPERATOR_RETRY_MS = 1000.0

Apply = Callable[[World, Any], Awaitable[None]]


async def apply_fault(world: World, fault: schema.Fault) -> None:
    """Inject one fault, and wait for its end."""
    if not isinstance(fault, _INVISIBLE_TO_CALLERS):
        world.oracle.record_fault(world.now_ms() + getattr(fault, "lasts", 0.0))
    await _APPLY[type(fault)](world, fault)


async def _kill(world: World, fault: schema.Kill) -> None:
    for name in expand(world.fleet, fault.who):
        await _crash(world, name, silently=fault.silently)


async def _restart(world: World, fault: schema.Restart) -> None:
    for name in expand(world.fleet, fault.who):
        await _crash(world, name, silently=False)
        await _start_process(world, name)


async def _start(world: World, fault: schema.Start) -> None:
    for name in fault.who:
        await _start_process(world, name)


async def _crash(world: World, name: str, *, silently: bool) -> None:
    if name in world.fleet.entries:
        incarnation = world.fleet.entries[name].node.options.incarnation
        await world.fleet.kill_entry(name, silently=silently)
    elif name in world.fleet.sides:
        incarnation = world.fleet.sides[name].node.options.incarnation
        await world.fleet.kill_side(name, silently=silently)
    else:
        return
    if silently:
        world.spawn(_retire_later(world, incarnation))


async def _retire_later(world: World, incarnation: str) -> None:
    """Retire a process of a lost host, as an operator does, unless it was replaced by then."""
    await world.fleet.clock.sleep_ms(OPERATOR_REACTION_MS)
    while True:
        for entry in list(world.fleet.entries.values()):
            try:
                await entry.node.retire_member(incarnation, "operator")
            except MemberUnknown:
                # A new incarnation has replaced it under its address.
                return
            except (LogServiceError, TimeoutError):
                continue
            return
        await world.fleet.clock.sleep_ms(OPERATOR_RETRY_MS)


async def _start_process(world: World, name: str) -> None:
    if _is_running(world, name):
        return
    number = int(name.rpartition("-")[2])
    if name.startswith("entry-"):
        world.monitor.follow_entry(await world.fleet.start_entry(number))
    else:
        world.oracle.record_replacement(name)
        await world.fleet.start_side(number)


async def _pause(world: World, fault: schema.Pause) -> None:
    fleet = world.fleet
    paused = [name for name in expand(fleet, fault.who) if _is_running(world, name)]
    for name in paused:
        fleet.pause(name)
    await fleet.clock.sleep_ms(fault.lasts)
    for name in paused:
        if _is_running(world, name):
            fleet.resume(name)


async def _cut(world: World, fault: schema.Cut) -> None:
    first, second = (_link_ends(world, group) for group in fault.between)
    pairs = [(one, other) for one in first for other in second if one != other]
    for one, other in pairs:
        world.fleet.fabric.cut(one, other)
    await world.fleet.clock.sleep_ms(fault.lasts)
    for one, other in pairs:
        world.fleet.fabric.restore(one, other)


async def _delay(world: World, fault: schema.Delay) -> None:
    pairs = [
        (sender, receiver)
        for sender in expand(world.fleet, fault.sender)
        for receiver in expand(world.fleet, fault.receiver)
    ]
    for sender, receiver in pairs:
        world.fleet.fabric.delay(sender, receiver, fault.late)
    await world.fleet.clock.sleep_ms(fault.lasts)
    for sender, receiver in pairs:
        world.fleet.fabric.delay(sender, receiver, 0.0)


def _record_fault_if_none_remain(world: World, leaving: list[str]) -> None:
    """Record a fault without end if no entry or no side process remains to take over."""
    fleet = world.fleet
    entries = [n for n, e in fleet.entries.items() if n not in leaving and not e.node.draining]
    sides = [n for n, s in fleet.sides.items() if n not in leaving and not s.leaving]
    if not entries or not sides:
        world.oracle.record_fault(math.inf)


async def _drain(world: World, fault: schema.Drain) -> None:
    _record_fault_if_none_remain(world, expand(world.fleet, fault.who))
    draining = []
    for name in expand(world.fleet, fault.who):
        if name in world.fleet.entries:
            draining.append(world.fleet.drain_entry(name))
        elif name in world.fleet.sides:
            world.oracle.record_leaving(name, world.now_ms())
            draining.append(world.fleet.drain_side(name))
    await asyncio.gather(*draining)


async def _leave(world: World, fault: schema.Leave) -> None:
    _record_fault_if_none_remain(world, expand(world.fleet, fault.who))
    for name in expand(world.fleet, fault.who):
        if name in world.fleet.sides:
            world.oracle.record_leaving(name, world.now_ms())
            world.fleet.leave(name, fault.lost_messages)


async def _lose_announcements(world: World, fault: schema.LoseAnnouncements) -> None:
    for name in expand(world.fleet, fault.who):
        if name in world.fleet.sides:
            world.fleet.sides[name].lost_messages = fault.lost_messages


async def _log_down(world: World, fault: schema.LogDown) -> None:
    await _override_log_faults(world, fault.lasts, down=True)


async def _log_slow(world: World, fault: schema.LogSlow) -> None:
    await _override_log_faults(
        world, fault.lasts, append_delay_ms=float(fault.append), read_delay_ms=float(fault.read)
    )


async def _log_lossy(world: World, fault: schema.LogLossy) -> None:
    await _override_log_faults(world, fault.lasts, lost_reply_share=fault.share)


async def _log_limited(world: World, fault: schema.LogLimited) -> None:
    await _override_log_faults(world, fault.lasts, appends_per_s=float(fault.appends_per_s))


async def _log_expire(world: World, fault: schema.LogExpire) -> None:
    await _override_log_faults(world, fault.lasts, retention_ms=float(fault.after))


async def _override_log_faults(world: World, lasts_ms: float, **faults: float | bool) -> None:
    await _override_fields(world, [world.fleet.log.faults], lasts_ms, faults)


async def _disorder(world: World, fault: schema.Disorder) -> None:
    fields: dict[str, float | bool] = {
        "duplicate_share": fault.duplicated,
        "reorder_share": fault.reordered,
        "extra_delay_ms": float(fault.late),
    }
    await _override_fields(world, [world.fleet.fabric], fault.lasts, fields)


async def _fail_all_tasks(world: World, fault: schema.FailAllTasks) -> None:
    await _override_fields(
        world, _upstream_faults(world, fault.who), fault.lasts, {"fails_all": True}
    )


async def _break_connections(world: World, fault: schema.BreakConnections) -> None:
    await _override_fields(
        world, _upstream_faults(world, fault.who), fault.lasts, {"loses_all": True}
    )


async def _stragglers(world: World, fault: schema.Stragglers) -> None:
    fields: dict[str, float | bool] = {
        "straggler_share": fault.share,
        "straggler_factor": fault.factor,
    }
    await _override_fields(world, _upstream_faults(world, fault.who), fault.lasts, fields)


async def _skew(world: World, fault: schema.Skew) -> None:
    by_ms = -fault.by if fault.behind else fault.by
    for name in expand(world.fleet, fault.who):
        process = world.fleet.entries.get(name) or world.fleet.sides.get(name)
        if process is not None:
            process.clock.skew_ms = by_ms


async def _set_class(world: World, fault: schema.SetClass) -> None:
    definition = _create_definition(world, fault.target)
    await _change_class(world, fault.name, definition, fault.entry, latest=fault.based_on_latest)


def _create_definition(world: World, target: float) -> ClassDefinition:
    """Return a definition whose description is unique, to recognise the change by."""
    world.change_count += 1
    return ClassDefinition(float(target), f"change {world.change_count}")


async def _race_class(world: World, fault: schema.RaceClass) -> None:
    await asyncio.gather(
        *(
            _change_class(world, fault.name, _create_definition(world, target), entry, latest=True)
            for target, entry in zip(fault.targets, fault.entries, strict=True)
        )
    )


async def _remove_class(world: World, fault: schema.RemoveClass) -> None:
    await _change_class(world, fault.name, None, fault.entry, latest=True)


async def _change_class(
    world: World, name: str, definition: ClassDefinition | None, entry: str, *, latest: bool
) -> None:
    if entry not in world.fleet.entries:
        return
    node = world.fleet.entries[entry].node
    based_on = node.classes.revision_of(name) if latest else 0
    change = definition.description if definition else ""
    accepted: bool | None = None
    try:
        await node.change_class(name, based_on, definition, "operator")
        accepted = True
    except ClassConflict:
        world.class_conflicts += 1
        accepted = False
    except AppendUnknown as error:
        world.oracle.response_counts[f"class_{error.code}"] += 1
    except CurrantbarrowError as error:
        world.oracle.response_counts[f"class_{error.code}"] += 1
        accepted = False
    if accepted is not None and change:
        world.monitor.record_operator_result(change, accepted)


async def _override_fields(
    world: World, objects: Iterable[Any], lasts_ms: float, fields: dict[str, float | bool]
) -> None:
    """Override fields for a while; where faults overlap, the newest one applies."""
    overrides = [world.overrides.add(obj, name, fields[name]) for obj in objects for name in fields]
    await world.fleet.clock.sleep_ms(lasts_ms)
    for override in overrides:
        world.overrides.remove(override)


def _upstream_faults(world: World, who: list[str]) -> list[UpstreamFaults]:
    names = expand(world.fleet, who)
    return [world.fleet.sides[name].upstream.faults for name in names if name in world.fleet.sides]


def _link_ends(world: World, group: list[str]) -> list[str]:
    return [*expand(world.fleet, [n for n in group if n != LOG]), *([LOG] if LOG in group else [])]


def _is_running(world: World, name: str) -> bool:
    return name in world.fleet.entries or name in world.fleet.sides


# Faults that must not affect the answer to any caller.
_INVISIBLE_TO_CALLERS = (
    schema.Drain,
    schema.Leave,
    schema.Start,
    schema.SetClass,
    schema.RaceClass,
    schema.RemoveClass,
)
_APPLY: dict[type, Apply] = {
    schema.Kill: _kill,
    schema.Restart: _restart,
    schema.Start: _start,
    schema.Pause: _pause,
    schema.Cut: _cut,
    schema.Delay: _delay,
    schema.Drain: _drain,
    schema.Leave: _leave,
    schema.LoseAnnouncements: _lose_announcements,
    schema.LogDown: _log_down,
    schema.LogSlow: _log_slow,
    schema.LogLossy: _log_lossy,
    schema.LogLimited: _log_limited,
    schema.LogExpire: _log_expire,
    schema.Disorder: _disorder,
    schema.FailAllTasks: _fail_all_tasks,
    schema.BreakConnections: _break_connections,
    schema.Stragglers: _stragglers,
    schema.Skew: _skew,
    schema.SetClass: _set_class,
    schema.RaceClass: _race_class,
    schema.RemoveClass: _remove_class,
}
