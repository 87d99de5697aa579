"""Replicate one stream: its state and its most recent records."""

from __future__ import annotations

import asyncio
import collections
import zlib
from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from currantbarrow.decoding import decode_json
from currantbarrow.exceptions import ConfigurationError, ValueUndecodable
from currantbarrow.logservice.records import Record, Snapshot, decode_record
from currantbarrow.protocol import Records, RecordsWanted, StreamRecord
from currantbarrow.types import Metrics

__all__ = ["SnapshotPosition", "StreamReplica", "StreamState"]

RECENT_RECORDS = 512
RECENT_BYTES = 256 * 1024
COMPRESSION_LEVEL = 1
MAX_STATE_BYTES = 64 * 1024 * 1024


class StreamState(Protocol):
    """Build a state by applying the records of a stream in order."""

    offset: int

    def apply(self, offset: int, record: Record) -> None:
        """Apply the record at an offset; a record that was applied before is ignored."""

    def dump(self) -> Any:
        """Return the state as plain data for a snapshot."""

    def load(self, offset: int, plain: Any) -> bool:
        """Replace this state by a snapshot if that is newer; return whether it was."""


class SnapshotPosition(msgspec.Struct, frozen=True):
    """Locate a snapshot: the offset that it covers in its stream, and when it was written."""

    offset: int
    at_ms: int


class StreamReplica:
    """Advance a state by records, snapshots and peers' replies, never to an older offset."""

    __slots__ = (
        "_changed",
        "_compressed",
        "_listeners",
        "_metrics",
        "_recent",
        "_recent_base_offset",
        "_recent_bytes",
        "newest_snapshot",
        "records_since_snapshot",
        "state",
        "stream",
    )

    def __init__(self, stream: str, state: StreamState, metrics: Metrics) -> None:
        self.stream = stream
        self.state = state
        self.newest_snapshot: SnapshotPosition | None = None
        self.records_since_snapshot = 0
        self._metrics = metrics
        self._changed = asyncio.Event()
        self._listeners: list[Callable[[], None]] = []
        self._recent: collections.deque[StreamRecord] = collections.deque()
        self._recent_bytes = 0
        self._compressed: tuple[int, bytes] | None = None
        # The recent records follow without a gap on the state at this offset.
        self._recent_base_offset = state.offset

    @property
    def offset(self) -> int:
        """Return the offset of the newest record that the state includes."""
        return self.state.offset

    def on_change(self, listener: Callable[[], None]) -> None:
        """Register a listener to be called after each change of the state."""
        self._listeners.append(listener)

    async def wait_for_offset(self, offset: int) -> None:
        """Wait until the state includes the record at an offset."""
        while self.state.offset < offset:
            self._changed.clear()
            await self._changed.wait()

    def apply(self, offset: int, data: bytes) -> None:
        """Apply the next record of the stream; the caller calls notify after the last one."""
        if offset <= self.state.offset:
            return
        is_snapshot = self._apply_new(offset, data)
        self.state.offset = offset
        # A snapshot adds nothing to the records before it, so peers get only its offset.
        self._cache_record(offset, b"" if is_snapshot else data)

    def load(self, offset: int, plain: Any) -> bool:
        """Replace the state by a snapshot if that is newer; return whether it was."""
        if not self.state.load(offset, plain):
            return False
        self._recent.clear()
        self._recent_bytes = 0
        self._recent_base_offset = offset
        return True

    def notify(self) -> None:
        """Wake all waiters and call the listeners after a change of the state."""
        self._changed.set()
        for listener in self._listeners:
            listener()

    def answer(self, call: RecordsWanted) -> Records:
        """Return the records that a peer lacks, or the whole state if some are no longer cached."""
        if call.offset >= self.offset:
            return Records(call.call_id, self.stream, self.offset)
        if call.offset >= self._recent_base_offset:
            missing = [record for record in self._recent if record.offset > call.offset]
            return Records(call.call_id, self.stream, self.offset, b"", missing, call.offset)
        self._metrics.incr(f"log.whole_states_given.{self.stream}")
        return Records(call.call_id, self.stream, self.offset, snapshot=self._compressed_state())

    def merge(self, reply: Records) -> bool:
        """Apply a peer's reply; return whether it advanced the state."""
        before = self.offset
        if reply.snapshot:
            self._merge_snapshot(reply)
        if reply.after <= self.offset:
            for record in reply.records:
                self.apply(record.offset, record.data)
        if self.offset == before:
            return False
        self._metrics.incr(f"log.moved_by_peer.{self.stream}")
        self.notify()
        return True

    def _compressed_state(self) -> bytes:
        """Return the compressed state, cached per offset for all peers that request it."""
        if self._compressed is None or self._compressed[0] != self.offset:
            plain = msgspec.json.encode(self.state.dump())
            self._compressed = (self.offset, zlib.compress(plain, COMPRESSION_LEVEL))
        return self._compressed[1]

    def _merge_snapshot(self, reply: Records) -> None:
        unpacker = zlib.decompressobj()
        try:
            plain = unpacker.decompress(reply.snapshot, MAX_STATE_BYTES)
            if not unpacker.eof:
                raise ConfigurationError(
                    f"a peer's state is truncated or larger than {MAX_STATE_BYTES} bytes"
                )
            self.load(reply.offset, decode_json(plain, Any, max_bytes=MAX_STATE_BYTES))
        except (zlib.error, msgspec.MsgspecError, ValueUndecodable) as error:
            raise ConfigurationError(f"cannot decode a peer's state: {error}") from error

    def _apply_new(self, offset: int, data: bytes) -> bool:
        """Apply a record; return whether it is a snapshot or the empty stand-in for one."""
        if not data:
            return True
        self.records_since_snapshot += 1
        try:
            record = decode_record(data)
        except ConfigurationError:
            # A newer version of the program may write record types unknown to this one.
            self._metrics.incr("log.unreadable_records")
            return False
        if isinstance(record, Snapshot):
            self.record_snapshot(record)
            return True
        self.state.apply(offset, record)
        return False

    def record_snapshot(self, record: Snapshot) -> None:
        """Record the position of a snapshot in the stream if it is the newest."""
        if self.newest_snapshot is None or record.offset >= self.newest_snapshot.offset:
            self.newest_snapshot = SnapshotPosition(record.offset, record.at_ms)
            self.records_since_snapshot = 0

    def _cache_record(self, offset: int, data: bytes) -> None:
        self._recent.append(StreamRecord(offset, data))
        self._recent_bytes += len(data)
        while len(self._recent) > RECENT_RECORDS or self._recent_bytes > RECENT_BYTES:
            evicted = self._recent.popleft()
            self._recent_bytes -= len(evicted.data)
            self._recent_base_offset = evicted.offset
