"""Append records with exactly-once effect, even when replies are lost."""

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

RETRY_BACKOFF_MIN_MS = 50.0
RETRY_BACKOFF_MAX_MS = 1000.0


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
    """Append a record and return its offset; read the stream back before a second write.

    Reading back starts at from_offset, which must not lie after the record. Raise
    LogUnavailable if the record was certainly not written, and AppendUnknown if the outcome
    could not be determined within timeout_ms.
    """
    deadline_ms = clock.monotonic_ms() + timeout_ms
    delay_ms = RETRY_BACKOFF_MIN_MS
    data = encode_record(record)
    # A write whose reply was lost may still reach the stream after the read back. Once the
    # outcome of an append was unknown, it can be confirmed as written but never as not written.
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
        delay_ms = min(delay_ms * 2, RETRY_BACKOFF_MAX_MS)


async def _find_offset(
    log: LogService, stream: str, record_id: str, from_offset: int
) -> int | None:
    """Search the stream to its end for a record id; return its offset, or None."""
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
