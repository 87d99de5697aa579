"""Check that an append is settled truthfully through lost replies and outages."""

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
    """Keep a log whose appends each do what the next step of a script says."""

    def __init__(self, inner: MemoryLog, script: list[str]) -> None:
        self.inner = inner
        self.script = script
        self.delayed: list[bytes] = []
        self.holding = False

    async def append(self, stream: str, data: bytes) -> int:
        """Append as the script says."""
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
        """Read, and let delayed writes land after a read that found nothing."""
        records = await self.inner.read(stream, offset, wait_ms)
        if not records and not wait_ms and not self.holding:
            for data in self.delayed:
                await self.inner.append(stream, data)
            self.delayed.clear()
        return records


class Bench:
    """Hold a log, a state that follows it, and a way to change classes."""

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

    def copies(self) -> int:
        """Return how many copies of the record the stream holds."""
        kept = self.inner._streams[CLASS_STREAM].records
        return sum(decode_record(stored.data).record_id == "id-1" for stored in kept)


class TestAppendOnce:
    def test_lost_reply_is_settled_by_reading_back(self) -> None:
        async def scenario() -> None:
            bench = Bench(["lost"])
            assert await bench.append() == 0
            assert bench.copies() == 1

        run_virtual(scenario())

    def test_write_that_lands_after_the_read_back_makes_a_harmless_copy(self) -> None:
        async def scenario() -> None:
            bench = Bench(["delayed"])
            offset = await bench.append()
            assert bench.copies() == 2
            await bench.catch_up()
            first = bench.state.find("quote")
            assert first is not None and first.revision == 1 and offset >= 0
            assert bench.state.offset == 1
            assert bench.state.outcome("id-1") == 1

        run_virtual(scenario())

    def test_delayed_write_before_an_outage_is_never_called_not_written(self) -> None:
        async def scenario() -> None:
            bench = Bench(["delayed", *["down"] * 100])
            bench.log.holding = True
            with pytest.raises(AppendUnknown):
                await bench.append()
            bench.log.holding = False
            await bench.log.read(CLASS_STREAM, 0, 0)
            assert bench.copies() == 1

        run_virtual(scenario())

    def test_outage_without_any_write_is_called_not_written(self) -> None:
        async def scenario() -> None:
            bench = Bench(["down"] * 100)
            with pytest.raises(LogUnavailable):
                await bench.append()
            assert bench.inner.appends == 0

        run_virtual(scenario())

    def test_log_that_goes_down_before_the_read_back_leaves_it_unknown(self) -> None:
        async def scenario() -> None:
            bench = Bench(["lost_then_down"])
            with pytest.raises(AppendUnknown):
                await bench.append()
            assert bench.copies() == 1

        run_virtual(scenario())

    def test_read_back_over_expired_records_adds_no_second_change(self) -> None:
        async def scenario() -> None:
            bench = Bench(["lost"])
            filler = [ClassChanged(f"f{n}", f"c{n}", 0, ClassDefinition(1.0)) for n in range(5)]
            for record in filler:
                await bench.inner.append(CLASS_STREAM, encode_record(record))
            bench.inner.expire_all(CLASS_STREAM)
            assert await bench.append(from_offset=0) == 5
            assert bench.copies() == 1

        run_virtual(scenario())


class TestRaces:
    def test_one_of_two_operators_gets_a_conflict_that_names_the_revision(self) -> None:
        async def scenario() -> None:
            bench = Bench([])
            await bench.inner.append(CLASS_STREAM, encode_record(RECORD))
            other = ClassChanged("other", "quote", 1, ClassDefinition(250.0))
            await bench.catch_up()
            await bench.inner.append(CLASS_STREAM, encode_record(other))
            bench.log.script = []
            reading = bench.follow()
            with pytest.raises(ClassConflict, match="at revision 2, not 1"):
                await bench.change("mine", 1)
            reading.cancel()

        run_virtual(scenario())

    def test_own_change_with_a_lost_reply_is_no_conflict(self) -> None:
        async def scenario() -> None:
            bench = Bench(["lost"])
            reading = bench.follow()
            assert await bench.change("mine", 0) == 1
            reading.cancel()

        run_virtual(scenario())

    def test_repeated_request_returns_the_revision_of_the_first_one(self) -> None:
        async def scenario() -> None:
            bench = Bench([])
            reading = bench.follow()
            assert await bench.change("mine", 0) == 1
            assert await bench.change("other", 1, 200.0) == 2
            assert await bench.change("mine", 0) == 1
            reading.cancel()
            assert bench.inner.appends == 2

        run_virtual(scenario())

    def test_follower_cut_off_after_the_append_gives_an_unknown_in_bounded_time(self) -> None:
        async def scenario() -> None:
            bench = Bench([])
            with pytest.raises(AppendUnknown):
                await bench.change("mine", 0)
            assert bench.clock.monotonic_ms() <= 11_000

        run_virtual(scenario())
