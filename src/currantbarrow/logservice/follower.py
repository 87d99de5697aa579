"""Follow one stream of the log and keep the state that its records make."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from currantbarrow.exceptions import ConfigurationError, LogUnavailable, RecordsExpired
from currantbarrow.logservice.records import Record, Snapshot, decode_record
from currantbarrow.observe import logger
from currantbarrow.types import Clock, LogService, Metrics

__all__ = ["LogFollower", "StreamState", "encode_state"]

READ_WAIT_MS = 2000
RETRY_FIRST_MS = 100.0
RETRY_LIMIT_MS = 2000.0


class StreamState(Protocol):
    """Reduce the records of a stream to a state."""

    offset: int

    def apply(self, offset: int, record: Record) -> None:
        """Take in the record at an offset; records already taken in are ignored."""

    def dump(self) -> Any:
        """Return the state as plain data for a snapshot."""

    def load(self, offset: int, plain: Any) -> bool:
        """Take over a snapshot that is newer than this state; tell whether it was."""


class LogFollower:
    """Read a stream from the state's offset on, through outages and expiry."""

    __slots__ = (
        "_changed",
        "_clock",
        "_listeners",
        "_log",
        "_metrics",
        "_rng",
        "caught_up",
        "reachable",
        "state",
        "stream",
    )

    def __init__(
        self,
        stream: str,
        state: StreamState,
        log: LogService,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self.stream = stream
        self.state = state
        self.caught_up = asyncio.Event()
        self.reachable = False
        self._log = log
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._changed = asyncio.Event()
        self._listeners: list[Callable[[], None]] = []

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call a listener after each change of the state."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        delay_ms = RETRY_FIRST_MS
        while True:
            try:
                await self._read_once()
                delay_ms = RETRY_FIRST_MS
                self._note_reachable(True)
            except LogUnavailable:
                self._note_reachable(False)
                # Full jitter keeps the followers of a fleet from returning all at once.
                await self._clock.sleep_ms(self._rng.uniform(0, delay_ms))
                delay_ms = min(delay_ms * 2, RETRY_LIMIT_MS)

    async def wait_beyond(self, offset: int) -> None:
        """Wait until the state includes the record at an offset."""
        while self.state.offset < offset:
            self._changed.clear()
            await self._changed.wait()

    def take_snapshot(self, offset: int, plain: Any) -> bool:
        """Take over a peer's state when it is newer than this one."""
        if not self.state.load(offset, plain):
            return False
        self._notify()
        return True

    async def _read_once(self) -> None:
        wait_ms = READ_WAIT_MS if self.caught_up.is_set() else 0
        try:
            records = await self._log.read(self.stream, self.state.offset + 1, wait_ms)
        except RecordsExpired as expired:
            await self._skip_expired(expired.first_offset)
            return
        for record in records:
            self._take(record.offset, record.data)
        if records:
            self._notify()
        else:
            self.caught_up.set()

    async def _skip_expired(self, first_offset: int) -> None:
        """Continue from the first kept record on, where a snapshot must be found."""
        self._metrics.incr("log.expired_skips")
        records = await self._log.read(self.stream, first_offset, 0)
        snapshots = []
        for stored in records:
            record = decode_record(stored.data)
            if isinstance(record, Snapshot):
                snapshots.append(record)
        if not snapshots:
            raise LogUnavailable("the stream holds no snapshot after its oldest records expired")
        newest = max(snapshots, key=lambda snapshot: snapshot.offset)
        self.state.load(newest.offset, newest.state)
        self._notify()

    def _take(self, offset: int, data: bytes) -> None:
        try:
            record = decode_record(data)
        except ConfigurationError:
            self._metrics.incr("log.unreadable_records")
            self.state.offset = max(self.state.offset, offset)
            return
        if isinstance(record, Snapshot):
            # The state before a snapshot already holds all that it says.
            self.state.load(record.offset, record.state)
            self.state.offset = max(self.state.offset, offset)
            return
        if offset > self.state.offset:
            self.state.apply(offset, record)
            self.state.offset = offset

    def _note_reachable(self, reachable: bool) -> None:
        if reachable != self.reachable:
            logger.info("log %s: %s", "reachable" if reachable else "unreachable", self.stream)
        self.reachable = reachable
        self._metrics.gauge(f"log.reachable.{self.stream}", float(reachable))

    def _notify(self) -> None:
        self._changed.set()
        for listener in self._listeners:
            listener()


def encode_state(state: StreamState) -> bytes:
    """Encode a state for sending it to a peer."""
    return msgspec.json.encode(state.dump())
