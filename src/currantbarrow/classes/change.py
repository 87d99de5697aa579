"""Change classes through the log, with optimistic concurrency control."""

from __future__ import annotations

import asyncio
import hashlib
import random

import msgspec

from currantbarrow.classes.state import ClassState
from currantbarrow.exceptions import AppendUnknown, ClassConflict, ConfigurationError
from currantbarrow.logservice import (
    CLASS_STREAM,
    ClassChanged,
    ClassDefinition,
    LogFollower,
    append_once,
)
from currantbarrow.types import Clock, LogService

__all__ = ["change_class", "change_record_id"]

APPEND_TIMEOUT_MS = 5000.0
OUTCOME_TIMEOUT_MS = 5000.0
RECORD_ID_BYTES = 12
MAX_TARGET_MS = 3_600_000.0


async def change_class(
    name: str,
    based_on: int,
    definition: ClassDefinition | None,
    operator: str,
    *,
    record_id: str,
    state: ClassState,
    follower: LogFollower,
    log: LogService,
    clock: Clock,
    rng: random.Random,
) -> int:
    """Append a change and return its revision; raise ClassConflict if based on an old revision.

    A change repeated with the same record id returns the outcome of the first one.
    """
    revision = state.outcome(record_id)
    if revision is not None:
        return _require_accepted(revision, name, based_on, state)
    if not name or (definition is not None and not 0 < definition.target_ms <= MAX_TARGET_MS):
        raise ConfigurationError(f"a target lies between 0 and {MAX_TARGET_MS:.0f} ms")
    if definition is None and state.find(name) is None:
        raise ConfigurationError(f"there is no class named {name}")
    record = ClassChanged(record_id, name, based_on, definition, clock.wall_ms(), operator)
    try:
        offset = await append_once(
            log,
            CLASS_STREAM,
            record,
            from_offset=state.offset + 1,
            clock=clock,
            rng=rng,
            timeout_ms=APPEND_TIMEOUT_MS,
        )
        async with asyncio.timeout(OUTCOME_TIMEOUT_MS / 1000):
            await follower.wait_for_offset(offset)
    except (AppendUnknown, TimeoutError) as error:
        # The record may still have arrived through the follower or a peer.
        if state.outcome(record_id) is None:
            raise AppendUnknown(
                "whether the change was accepted is not known yet",
                hint="Show the class; repeat the change on the revision that it shows.",
            ) from error
    return _require_accepted(state.outcome(record_id) or 0, name, based_on, state)


def change_record_id(
    change_id: str, name: str, based_on: int, definition: ClassDefinition | None
) -> str:
    """Return the record id of a change, a hash of its id and content.

    Reusing a change id for a different change thus gives a different record id.
    """
    content = msgspec.json.encode((change_id, name, based_on, definition))
    return f"change-{hashlib.blake2b(content, digest_size=RECORD_ID_BYTES).hexdigest()}"


def _require_accepted(revision: int, name: str, based_on: int, state: ClassState) -> int:
    if not revision:
        present = state.revision_of(name)
        raise ClassConflict(f"{name} is at revision {present}, not {based_on}")
    return revision
