"""Stand in for the log service in memory, with injectable faults."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence

from currantbarrow.exceptions import AppendUnknown, LogUnavailable, RecordsExpired
from currantbarrow.logservice.client import StoredRecord
from currantbarrow.types import Clock

__all__ = ["LogFaults", "LogView", "MemoryLog"]

PAGE_RECORDS = 500
UNREACHABLE_TIMEOUT_MS = 1000.0


class LogFaults:
    """Describe the current faults of the log stand-in."""

    __slots__ = (
        "append_delay_ms",
        "appends_per_s",
        "down",
        "lost_reply_share",
        "read_delay_ms",
        "retention_ms",
    )

    def __init__(self) -> None:
        self.down = False
        self.append_delay_ms = 5.0
        self.read_delay_ms = 1.0
        # The share of appends that take effect although their reply is lost.
        self.lost_reply_share = 0.0
        self.retention_ms = 0.0
        self.appends_per_s = 0.0


class _Stream:
    __slots__ = ("arrived", "first_offset", "records", "times_ms")

    def __init__(self) -> None:
        self.first_offset = 0
        self.records: list[StoredRecord] = []
        self.times_ms: list[float] = []
        self.arrived = asyncio.Event()


class MemoryLog:
    """Hold streams of records, shared by all stand-in processes."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self.faults = LogFaults()
        self.appends = 0
        self.reads = 0
        self.observers: list[Callable[[str, int, bytes], None]] = []
        self._clock = clock
        self._rng = rng
        self._streams: dict[str, _Stream] = {}
        self._rate_window_ms = 0.0
        self._appends_in_window = 0

    async def append(self, stream: str, data: bytes) -> int:
        """Append a record and return its offset; raise LogUnavailable or AppendUnknown."""
        self._check_available()
        self._check_rate()
        await self._clock.sleep_ms(self.faults.append_delay_ms)
        self._check_available()
        stored = self._stream(stream)
        offset = stored.first_offset + len(stored.records)
        stored.records.append(StoredRecord(offset, bytes(data)))
        stored.times_ms.append(self._clock.monotonic_ms())
        self.appends += 1
        for observe in self.observers:
            observe(stream, offset, bytes(data))
        stored.arrived.set()
        stored.arrived = asyncio.Event()
        if self._rng.random() < self.faults.lost_reply_share:
            raise AppendUnknown("the reply was lost")
        return offset

    async def read(self, stream: str, offset: int, wait_ms: int) -> Sequence[StoredRecord]:
        """Return records starting at an offset; raise LogUnavailable or RecordsExpired."""
        self.reads += 1
        self._check_available()
        await self._clock.sleep_ms(self.faults.read_delay_ms)
        self._check_available()
        stored = self._stream(stream)
        self._expire(stored)
        if offset < stored.first_offset:
            raise RecordsExpired(stored.first_offset)
        if offset - stored.first_offset >= len(stored.records) and wait_ms:
            try:
                await asyncio.wait_for(stored.arrived.wait(), wait_ms / 1000)
            except TimeoutError:
                pass
            self._check_available()
        start = offset - stored.first_offset
        return stored.records[start : start + PAGE_RECORDS]

    def expire_all(self, stream: str) -> None:
        """Drop all records of a stream except the newest one."""
        stored = self._stream(stream)
        while len(stored.records) > 1:
            self._drop_first(stored)

    def _check_available(self) -> None:
        if self.faults.down:
            raise LogUnavailable("the log service is down")

    def _check_rate(self) -> None:
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._rate_window_ms >= 1000:
            self._rate_window_ms, self._appends_in_window = now_ms, 0
        self._appends_in_window += 1
        if self.faults.appends_per_s and self._appends_in_window > self.faults.appends_per_s:
            raise LogUnavailable("too many appends")

    def _stream(self, name: str) -> _Stream:
        if name not in self._streams:
            self._streams[name] = _Stream()
        return self._streams[name]

    def _expire(self, stored: _Stream) -> None:
        if not self.faults.retention_ms:
            return
        horizon_ms = self._clock.monotonic_ms() - self.faults.retention_ms
        while stored.times_ms and stored.times_ms[0] < horizon_ms:
            self._drop_first(stored)

    @staticmethod
    def _drop_first(stored: _Stream) -> None:
        del stored.records[0]
        del stored.times_ms[0]
        stored.first_offset += 1


class LogView:
    """Represent the log service as seen by one process, which may be cut off or paused."""

    __slots__ = ("_clock", "_is_cut", "_log")

    def __init__(self, log: MemoryLog, clock: Clock, is_cut: Callable[[], bool]) -> None:
        self._log = log
        self._clock = clock
        self._is_cut = is_cut

    async def append(self, stream: str, data: bytes) -> int:
        """Append a record and return its offset; raise LogUnavailable or AppendUnknown."""
        if self._is_cut():
            await self._clock.sleep_ms(UNREACHABLE_TIMEOUT_MS)
            raise LogUnavailable("the log service cannot be reached")
        offset = await self._log.append(stream, data)
        await self._clock.sleep_ms(0.0)
        if self._is_cut():
            raise AppendUnknown("the reply was lost")
        return offset

    async def read(self, stream: str, offset: int, wait_ms: int) -> Sequence[StoredRecord]:
        """Return records starting at an offset; raise LogUnavailable or RecordsExpired."""
        if self._is_cut():
            await self._clock.sleep_ms(UNREACHABLE_TIMEOUT_MS)
            raise LogUnavailable("the log service cannot be reached")
        records = await self._log.read(stream, offset, wait_ms)
        # A paused process sees what it read only after it resumes.
        await self._clock.sleep_ms(0.0)
        if self._is_cut():
            raise LogUnavailable("the log service cannot be reached")
        return records
