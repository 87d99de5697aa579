"""Follow one stream of the log through outages and expiry of old records."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from currantbarrow.exceptions import ConfigurationError, LogUnavailable, RecordsExpired
from currantbarrow.logservice.records import Snapshot, decode_record
from currantbarrow.logservice.replica import StreamReplica, StreamState
from currantbarrow.observe import logger
from currantbarrow.types import Clock, LogService, Metrics

__all__ = ["LogFollower"]

READ_WAIT_MS = 2000
RETRY_BACKOFF_MIN_MS = 100.0
RETRY_BACKOFF_MAX_MS = 2000.0


class LogFollower:
    """Read a stream into its replica, starting after the replica's offset."""

    __slots__ = ("_clock", "_gap", "_log", "_metrics", "_rng", "caught_up", "reachable", "replica")

    def __init__(
        self,
        stream: str,
        state: StreamState,
        log: LogService,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self.replica = StreamReplica(stream, state, metrics)
        self.caught_up = asyncio.Event()
        # Also False while the log service answers, but no snapshot covers the expired records.
        self.reachable = False
        self._gap = False
        self._log = log
        self._clock = clock
        self._rng = rng
        self._metrics = metrics

    @property
    def stream(self) -> str:
        """Return the name of the stream."""
        return self.replica.stream

    @property
    def state(self) -> StreamState:
        """Return the state built from the stream's records."""
        return self.replica.state

    def on_change(self, listener: Callable[[], None]) -> None:
        """Register a listener to be called after each change of the state."""
        self.replica.on_change(listener)

    async def wait_for_offset(self, offset: int) -> None:
        """Wait until the state includes the record at an offset."""
        await self.replica.wait_for_offset(offset)

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        delay_ms = RETRY_BACKOFF_MIN_MS
        while True:
            try:
                await self._read_once()
                delay_ms = RETRY_BACKOFF_MIN_MS
                self._set_reachable(True)
            except LogUnavailable:
                self._set_reachable(False)
                # Full jitter keeps the followers of a fleet from retrying simultaneously.
                await self._clock.sleep_ms(self._rng.uniform(0, delay_ms))
                delay_ms = min(delay_ms * 2, RETRY_BACKOFF_MAX_MS)

    async def _read_once(self) -> None:
        wait_ms = READ_WAIT_MS if self.caught_up.is_set() else 0
        try:
            records = await self._log.read(self.stream, self.replica.offset + 1, wait_ms)
        except RecordsExpired as expired:
            await self._skip_expired(expired.first_offset)
            return
        self._set_gap(False)
        for record in records:
            self.replica.apply(record.offset, record.data)
        if records:
            self.replica.notify()
        else:
            self.caught_up.set()

    async def _skip_expired(self, first_offset: int) -> None:
        """Load the first snapshot that the retained records follow without a gap."""
        self._metrics.incr("log.expired_skips")
        found = await self._find_snapshot(first_offset)
        self._set_gap(found is None)
        if found is None:
            raise LogUnavailable(
                f"{self.stream}: no snapshot covers the records that expired before {first_offset}"
            )
        if self.replica.load(found.offset, found.state):
            self.replica.record_snapshot(found)
            self.replica.notify()

    async def _find_snapshot(self, first_offset: int) -> Snapshot | None:
        offset = first_offset
        while True:
            try:
                records = await self._log.read(self.stream, offset, 0)
            except RecordsExpired as expired:
                offset = first_offset = expired.first_offset
                continue
            if not records:
                return None
            for stored in records:
                offset = stored.offset + 1
                snapshot = _read_snapshot(stored.data)
                if snapshot is not None and first_offset - 1 <= snapshot.offset < stored.offset:
                    return snapshot

    def _set_gap(self, gap: bool) -> None:
        if gap != self._gap:
            logger.info(
                "log %s: %s",
                "records expired without a snapshot in stream" if gap else "gap closed in stream",
                self.stream,
            )
            self._metrics.gauge(f"log.gap.{self.stream}", float(gap))
        self._gap = gap

    def _set_reachable(self, reachable: bool) -> None:
        if reachable != self.reachable:
            logger.info("log %s: %s", "reachable" if reachable else "unreachable", self.stream)
        self.reachable = reachable
        self._metrics.gauge(f"log.reachable.{self.stream}", float(reachable))


def _read_snapshot(data: bytes) -> Snapshot | None:
    try:
        record = decode_record(data)
    except ConfigurationError:
        return None
    return record if isinstance(record, Snapshot) else None
