"""Test that appends report their true outcome despite lost replies and outages."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence

import pytest

from currantbarrow.classes import ClassState, change_class
from currantbarrow.exceptions import AppendUnknown, ClassConflict, LogUnavailable
from currantbarrow.logservice import (
    CLASS_STREAM,
    ClassChanged,
    ClassDefinition,
    LogFollower,
    append_once,
    decode_record,
    encode_record,
)
from currantbarrow.logservice.client import StoredRecord
from currantbarrow.observe import MetricsRegistry
from currantbarrow.standins.fleet import LoopClock
from currantbarrow.standins.memory_log import MemoryLog
from currantbarrow.standins.virtual import run_virtual

RECORD = ClassChanged("id-1", "quote", 0, ClassDefinition(300.0))


class ScriptedLog:
    """Log whose appends each behave as the next step of a script says."""

    def __init__(self, inner: MemoryLog, script: list[str]) -> None:
        self.inner = inner
        self.script = script
        self.delayed: list[bytes] = []
        self.hold_delayed = False

    async def append(self, stream: str, data: bytes) -> int:
        """Append, or fail, as the next step of the script says."""
        step = self.script.pop(0) if self.script else "ok"
        if step == "delayed":
            self.delayed.append(data)
            raise AppendUnknown("no reply, and the write is still on its way")
        if step == "down":
            raise LogUnavailable("down")
        offset = await self.inner.append(stream, data)
        if step == "lost":
            raise AppendUnknown("the reply was lost")
        if step == "lost_then_down":
            self.inner.faults.down = True
            raise AppendUnknown("the reply was lost")
        return offset

    async def read(self, stream: str, offset: int, wait_ms: int) -> Sequence[StoredRecord]:
        """Read; the delayed writes are appended after a read that found nothing."""
        records = await self.inner.read(stream, offset, wait_ms)
        if not records and not wait_ms and not self.hold_delayed:
            for data in self.delayed:
                await self.inner.append(stream, data)
            self.delayed.clear()
        return records


class Harness:
    """A scripted log, a follower with its state, and helpers to append and change classes."""

    def __init__(self, script: list[str]) -> None:
        self.clock = LoopClock()
        self.inner = MemoryLog(self.clock, random.Random(1))
        self.log = ScriptedLog(self.inner, script)
        self.state = ClassState()
        self.follower = LogFollower(
            CLASS_STREAM, self.state, self.log, self.clock, random.Random(2), MetricsRegistry()
        )

    async def append(self, timeout_ms: float = 2000.0, from_offset: int = 0) -> int:
        return await append_once(
            self.log,
            CLASS_STREAM,
            RECORD,
            from_offset=from_offset,
            clock=self.clock,
            rng=random.Random(3),
            timeout_ms=timeout_ms,
        )

    async def change(self, record_id: str, based_on: int, target_ms: float = 300.0) -> int:
        return await change_class(
            "quote",
            based_on,
            ClassDefinition(target_ms),
            "operator",
            record_id=record_id,
            state=self.state,
            follower=self.follower,
            log=self.log,
            clock=self.clock,
            rng=random.Random(4),
        )

    def follow(self) -> asyncio.Task[None]:
        return asyncio.create_task(self.follower.run())

    async def catch_up(self) -> None:
        for record in await self.inner.read(CLASS_STREAM, self.follower.replica.offset + 1, 0):
            self.follower.replica.apply(record.offset, record.data)
        self.follower.replica.notify()

    def count_copies(self) -> int:
        """Return how many copies of the record the stream holds."""
        records = self.inner._streams[CLASS_STREAM].records
        return sum(decode_record(stored.data).record_id == "id-1" for stored in records)


class TestAppendOnce:
    def test_lost_reply_is_settled_by_reading_back(self) -> None:
        async def scenario() -> None:
            harness = Harness(["lost"])
            assert await harness.append() == 0
            assert harness.count_copies() == 1

        run_virtual(scenario())

    def test_write_that_lands_after_the_read_back_makes_a_harmless_copy(self) -> None:
        async def scenario() -> None:
            harness = Harness(["delayed"])
            offset = await harness.append()
            assert harness.count_copies() == 2
            await harness.catch_up()
            first = harness.state.find("quote")
            assert first is not None and first.revision == 1 and offset >= 0
            assert harness.state.offset == 1
            assert harness.state.outcome("id-1") == 1

        run_virtual(scenario())

    def test_delayed_write_before_an_outage_is_not_reported_as_not_written(self) -> None:
        async def scenario() -> None:
            harness = Harness(["delayed", *["down"] * 100])
            harness.log.hold_delayed = True
            with pytest.raises(AppendUnknown):
                await harness.append()
            harness.log.hold_delayed = False
            await harness.log.read(CLASS_STREAM, 0, 0)
            assert harness.count_copies() == 1

        run_virtual(scenario())

    def test_outage_without_any_write_is_reported_as_not_written(self) -> None:
        async def scenario() -> None:
            harness = Harness(["down"] * 100)
            with pytest.raises(LogUnavailable):
                await harness.append()
            assert harness.inner.appends == 0

        run_virtual(scenario())

    def test_outage_before_the_read_back_leaves_the_outcome_unknown(self) -> None:
        async def scenario() -> None:
            harness = Harness(["lost_then_down"])
            with pytest.raises(AppendUnknown):
                await harness.append()
            assert harness.count_copies() == 1

        run_virtual(scenario())

    def test_read_back_skips_expired_records_and_adds_no_duplicate(self) -> None:
        async def scenario() -> None:
            harness = Harness(["lost"])
            filler = [ClassChanged(f"f{n}", f"c{n}", 0, ClassDefinition(1.0)) for n in range(5)]
            for record in filler:
                await harness.inner.append(CLASS_STREAM, encode_record(record))
            harness.inner.expire_all(CLASS_STREAM)
            assert await harness.append(from_offset=0) == 5
            assert harness.count_copies() == 1

        run_virtual(scenario())


class TestRaces:
    def test_one_of_two_operators_gets_a_conflict_that_names_the_revision(self) -> None:
        async def scenario() -> None:
            harness = Harness([])
            await harness.inner.append(CLASS_STREAM, encode_record(RECORD))
            other = ClassChanged("other", "quote", 1, ClassDefinition(250.0))
            await harness.catch_up()
            await harness.inner.append(CLASS_STREAM, encode_record(other))
            harness.log.script = []
            reading = harness.follow()
            with pytest.raises(ClassConflict, match="at revision 2, not 1"):
                await harness.change("mine", 1)
            reading.cancel()

        run_virtual(scenario())

    def test_own_change_with_a_lost_reply_is_no_conflict(self) -> None:
        async def scenario() -> None:
            harness = Harness(["lost"])
            reading = harness.follow()
            assert await harness.change("mine", 0) == 1
            reading.cancel()

        run_virtual(scenario())

    def test_repeated_request_returns_the_revision_of_the_first_one(self) -> None:
        async def scenario() -> None:
            harness = Harness([])
            reading = harness.follow()
            assert await harness.change("mine", 0) == 1
            assert await harness.change("other", 1, 200.0) == 2
            assert await harness.change("mine", 0) == 1
            reading.cancel()
            assert harness.inner.appends == 2

        run_virtual(scenario())

    def test_follower_cut_off_after_the_append_gives_an_unknown_in_bounded_time(self) -> None:
        async def scenario() -> None:
            harness = Harness([])
            with pytest.raises(AppendUnknown):
                await harness.change("mine", 0)
            assert harness.clock.monotonic_ms() <= 11_000

        run_virtual(scenario())
