"""Append a record exactly once as far as readers can tell, through lost replies."""

from __future__ import annotations

import random

from currantbarrow.exceptions import (
    AppendUnknown,
    ConfigurationError,
    LogUnavailable,
    RecordsExpired,
)
from currantbarrow.logservice.records import Record, decode_record, encode_record
from currantbarrow.types import Clock, LogService

__all__ = ["append_once"]

RETRY_FIRST_MS = 50.0
RETRY_LIMIT_MS = 1000.0


async def append_once(
    log: LogService,
    stream: str,
    record: Record,
    *,
    from_offset: int,
    clock: Clock,
    rng: random.Random,
    timeout_ms: float,
) -> int:
    """Append a record and return its offset, reading back before any second write.

    from_offset is an offset known to lie before the record. Raises LogUnavailable when the
    record certainly was not written, and AppendUnknown when that could not be settled.
    """
    deadline_ms = clock.monotonic_ms() + timeout_ms
    delay_ms = RETRY_FIRST_MS
    data = encode_record(record)
    # A write without a reply may still land after it was not found, so an append that
    # was unknown once can be settled as written, but never as not written.
    was_unknown = False
    while True:
        try:
            if was_unknown:
                found = await _find_offset(log, stream, record.record_id, from_offset)
                if found is not None:
                    return found
            return await log.append(stream, data)
        except AppendUnknown:
            was_unknown = True
        except LogUnavailable:
            if clock.monotonic_ms() >= deadline_ms and not was_unknown:
                raise
        if clock.monotonic_ms() >= deadline_ms:
            raise AppendUnknown(
                "the append could not be settled in time",
                hint="Show what is in force before repeating the change.",
            )
        await clock.sleep_ms(rng.uniform(0, delay_ms))
        delay_ms = min(delay_ms * 2, RETRY_LIMIT_MS)


async def _find_offset(
    log: LogService, stream: str, record_id: str, from_offset: int
) -> int | None:
    """Return the offset of a record by its id, reading to the end of the stream."""
    offset = from_offset
    while True:
        try:
            records = await log.read(stream, offset, 0)
        except RecordsExpired as expired:
            offset = expired.first_offset
            continue
        if not records:
            return None
        for stored in records:
            offset = stored.offset + 1
            try:
                if decode_record(stored.data).record_id == record_id:
                    return stored.offset
            except ConfigurationError:
                continue
