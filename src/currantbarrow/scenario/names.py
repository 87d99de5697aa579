"""Resolve names of processes, groups, racks and data centres to running processes."""

from __future__ import annotations

from collections.abc import Iterable

from currantbarrow.scenario.schema import FleetSize
from currantbarrow.standins.fleet import Fleet

__all__ = ["GROUPS", "expand", "list_names"]

ENTRIES = "entries"
SIDES = "sides"
LOG = "log"
GROUPS = (ENTRIES, SIDES, LOG)


def list_names(fleet: FleetSize) -> set[str]:
    """Return the names of all processes, racks and data centres of a fleet."""
    racks = range(-(-fleet.sides // fleet.sides_per_rack))
    return {
        *(f"entry-{number}" for number in range(fleet.entries)),
        *(f"side-{number}" for number in range(fleet.sides)),
        *(f"rack-{number}" for number in racks),
        *fleet.data_centres,
    }


def expand(fleet: Fleet, names: Iterable[str]) -> list[str]:
    """Return the processes that names and groups refer to, in order, without duplicates."""
    found: dict[str, None] = {}
    for name in names:
        for process in _expand_one(fleet, name):
            found[process] = None
    return list(found)


def _expand_one(fleet: Fleet, name: str) -> list[str]:
    if name == ENTRIES:
        return sorted(fleet.entries)
    if name == SIDES:
        return sorted(fleet.sides)
    entries = [
        entry
        for entry in sorted(fleet.entries)
        if name == fleet.entries[entry].node.options.data_centre
    ]
    sides = [
        side
        for side in sorted(fleet.sides)
        if name in (fleet.sides[side].node.options.data_centre, fleet.sides[side].node.options.rack)
    ]
    return [*entries, *sides] or [name]
