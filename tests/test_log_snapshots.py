"""Test that stream replicas only advance, whatever the source of the records or states."""

from __future__ import annotations

import asyncio
import random

import pytest

from currantbarrow.classes import ClassState
from currantbarrow.cluster import ClusterState
from currantbarrow.exceptions import ConfigurationError
from currantbarrow.jobs import SHARD_COUNT
from currantbarrow.logservice import (
    CLASS_STREAM,
    CLUSTER_STREAM,
    AssignmentChanged,
    ClassChanged,
    ClassDefinition,
    LogFollower,
    MemberDraining,
    MemberJoined,
    MemberLeft,
    Record,
    Snapshot,
    SnapshotRule,
    SnapshotWriter,
    StreamReplica,
    encode_record,
)
from currantbarrow.observe import MetricsRegistry
from currantbarrow.protocol import Records, RecordsWanted, Role
from currantbarrow.standins.fleet import LoopClock
from currantbarrow.standins.memory_log import MemoryLog
from currantbarrow.standins.virtual import run_virtual

RETENTION_MS = 120_000.0


def make_record(rng: random.Random, number: int) -> Record:
    """Return a record of the cluster stream, sometimes a duplicate of an earlier one."""
    number = rng.choice((number, max(0, number - 3)))
    name = f"p{number % 7}"
    incarnation = f"{name}.{number % 3}"
    match number % 5:
        case 0 | 1:
            return MemberJoined(
                f"r{number}", Role.SIDE, name, incarnation, "a:1", "one", "r", number
            )
        case 2:
            return MemberDraining(f"r{number}", incarnation)
        case 3:
            return MemberLeft(f"r{number}", incarnation, number)
    return AssignmentChanged(
        f"r{number}",
        rng.choice((0, number, number - 5)),
        [incarnation],
        [0] * SHARD_COUNT,
        [incarnation],
    )


class TestStreamReplica:
    @pytest.mark.parametrize("seed", range(20))
    def test_any_mix_of_records_snapshots_and_peers_gives_the_same_state(self, seed: int) -> None:
        rng = random.Random(seed)
        records = [encode_record(make_record(rng, number)) for number in range(700)]
        peers = [StreamReplica(CLUSTER_STREAM, ClusterState(), MetricsRegistry()) for _ in range(2)]
        replica = StreamReplica(CLUSTER_STREAM, ClusterState(), MetricsRegistry())
        while replica.offset < len(records) - 1:
            peer = rng.choice(peers)
            for _ in range(rng.choice((1, 5, 50, 600))):
                if peer.offset + 1 < len(records):
                    peer.apply(peer.offset + 1, records[peer.offset + 1])
            before = replica.offset
            match rng.randrange(4):
                case 0 if replica.offset + 1 < len(records):
                    replica.apply(replica.offset + 1, records[replica.offset + 1])
                case 1:
                    replica.load(peer.offset, peer.state.dump())
                case 2:
                    replica.merge(peer.answer(RecordsWanted(1, CLUSTER_STREAM, replica.offset)))
                case 3:
                    # An outdated reply, delivered after a newer one.
                    replica.merge(peer.answer(RecordsWanted(1, CLUSTER_STREAM, replica.offset - 9)))
            assert replica.offset >= before
        for peer in peers:
            while peer.offset + 1 < len(records):
                peer.apply(peer.offset + 1, records[peer.offset + 1])
        assert replica.state.dump() == peers[0].state.dump() == peers[1].state.dump()

    @pytest.mark.parametrize("seed", range(5))
    def test_copy_of_the_classes_never_takes_an_older_state(self, seed: int) -> None:
        rng = random.Random(seed)
        replica = StreamReplica(CLASS_STREAM, ClassState(), MetricsRegistry())
        peer = StreamReplica(CLASS_STREAM, ClassState(), MetricsRegistry())
        older: list[tuple[int, object]] = []
        for number in range(100):
            changed = ClassChanged(f"r{number}", f"c{rng.randrange(9)}", 0, ClassDefinition(1.0))
            peer.apply(number, encode_record(changed))
            older.append((peer.offset, peer.state.dump()))
            replica.merge(peer.answer(RecordsWanted(1, CLASS_STREAM, replica.offset)))
            assert replica.load(*rng.choice(older)) is False
        assert replica.state.dump() == peer.state.dump()

    def test_reply_that_skips_records_is_not_taken(self) -> None:
        replica = StreamReplica(CLASS_STREAM, ClassState(), MetricsRegistry())
        rng = random.Random(1)
        peer = StreamReplica(CLASS_STREAM, ClassState(), MetricsRegistry())
        for number in range(10):
            record = ClassChanged(f"r{number}", f"c{number}", 0, ClassDefinition(rng.random()))
            peer.apply(number, encode_record(record))
        replica.merge(peer.answer(RecordsWanted(1, CLASS_STREAM, 6)))
        assert replica.offset == -1

    @pytest.mark.parametrize("packed", [b"nonsense", b"x\x9c"])
    def test_undecodable_state_from_a_peer_is_rejected(self, packed: bytes) -> None:
        replica = StreamReplica(CLASS_STREAM, ClassState(), MetricsRegistry())
        with pytest.raises(ConfigurationError):
            replica.merge(Records(1, CLASS_STREAM, 5, packed))
        assert replica.offset == -1


class TestWholeSnapshot:
    def test_copy_of_a_record_from_before_a_snapshot_is_ignored_after_it(self) -> None:
        joined = MemberJoined("j", Role.SIDE, "s", "s.1", "a:1", "one", "r", 1)
        peer, state = ClusterState(), ClusterState()
        peer.apply(0, joined)
        peer.apply(1, MemberLeft("l", "s.1", 2))
        state.load(1, peer.dump())
        state.apply(2, joined)
        assert state.members == {}
        assert list(state.departures) == list(peer.departures)

    def test_snapshot_keeps_open_panels_former_owners_and_closed_version(self) -> None:
        peer, state = ClusterState(), ClusterState()
        for offset, owner in enumerate(("e.1", "e.2", "e.3")):
            shards = [0] * SHARD_COUNT
            panel = [f"s.{offset}"]
            peer.apply(
                offset, AssignmentChanged(f"a{offset}", offset, [owner], shards, panel, offset // 2)
            )
        state.load(2, peer.dump())
        assert state.assignment == peer.assignment
        assert state.assignment.former[0] == "e.2"
        assert state.assignment.closed_version == 1
        assert state.panels == {2: ("s.1",), 3: ("s.2",)}

    def test_copy_of_a_change_from_before_a_snapshot_is_ignored_after_it(self) -> None:
        first = ClassChanged("c", "quote", 0, ClassDefinition(300.0))
        peer, state = ClassState(), ClassState()
        peer.apply(0, first)
        state.load(0, peer.dump())
        state.apply(1, first)
        assert state.outcome("c") == 1
        assert len(state.history("quote")) == 1


class TestExpiredStream:
    def test_snapshot_older_than_the_gap_is_not_used(self) -> None:
        async def scenario() -> None:
            clock = LoopClock()
            log = MemoryLog(clock, random.Random(1))
            peer = ClassState()
            for number in range(5):
                record = ClassChanged(f"r{number}", f"c{number}", 0, ClassDefinition(1.0))
                await log.append(CLASS_STREAM, encode_record(record))
                if number <= 1:
                    peer.apply(number, record)
            # A slow writer: records 2 to 4 were appended between its state and its snapshot.
            late = Snapshot("late", 1, peer.dump())
            await log.append(CLASS_STREAM, encode_record(late))
            log.expire_all(CLASS_STREAM)
            metrics = MetricsRegistry()
            state = ClassState()
            follower = LogFollower(CLASS_STREAM, state, log, clock, random.Random(2), metrics)
            reading = asyncio.create_task(follower.run())
            await clock.sleep_ms(10_000)
            assert state.offset == -1
            assert metrics.gauges["log.gap.classes"] == 1.0
            # The follower waits between attempts instead of looping without delay.
            assert log.reads < 100
            peer_replica = StreamReplica(CLASS_STREAM, ClassState(), MetricsRegistry())
            for number in range(5):
                record = ClassChanged(f"r{number}", f"c{number}", 0, ClassDefinition(1.0))
                peer_replica.apply(number, encode_record(record))
            follower.replica.merge(peer_replica.answer(RecordsWanted(1, CLASS_STREAM, -1)))
            await clock.sleep_ms(5000)
            assert follower.caught_up.is_set()
            assert state.names() == [f"c{number}" for number in range(5)]
            assert metrics.gauges["log.gap.classes"] == 0.0
            reading.cancel()

        run_virtual(scenario())


class TestSnapshotWriter:
    def test_process_with_a_fast_wall_clock_does_not_write_at_every_look(self) -> None:
        async def scenario() -> None:
            clock = LoopClock()
            log = MemoryLog(clock, random.Random(1))
            record = ClassChanged("r", "c", 0, ClassDefinition(1.0))
            await log.append(CLASS_STREAM, encode_record(record))
            tasks: list[asyncio.Task[None]] = []
            for number, skew_ms in enumerate((0.0, 50 * RETENTION_MS)):
                own = LoopClock(skew_ms)
                metrics, rng = MetricsRegistry(), random.Random(number)
                follower = LogFollower(CLASS_STREAM, ClassState(), log, own, rng, metrics)
                writer = SnapshotWriter(
                    f"w{number}",
                    follower,
                    SnapshotRule(RETENTION_MS),
                    log=log,
                    clock=own,
                    rng=rng,
                    metrics=metrics,
                )
                tasks.append(asyncio.create_task(follower.run()))
                tasks.append(asyncio.create_task(writer.run()))
            await clock.sleep_ms(4 * RETENTION_MS)
            # The fast clock causes at most two writes per interval; a retention has four intervals.
            assert 4 <= log.appends - 1 <= 2 * 16 + 2

        run_virtual(scenario())

    def test_many_writers_on_a_slow_log_seldom_write_the_same_snapshot(self) -> None:
        async def scenario() -> None:
            clock = LoopClock()
            log = MemoryLog(clock, random.Random(1))
            record = ClassChanged("r", "c", 0, ClassDefinition(1.0))
            await log.append(CLASS_STREAM, encode_record(record))
            log.faults.append_delay_ms = 1000.0
            tasks: list[asyncio.Task[None]] = []
            for number in range(20):
                metrics, rng = MetricsRegistry(), random.Random(number)
                follower = LogFollower(CLASS_STREAM, ClassState(), log, clock, rng, metrics)
                rule = SnapshotRule(RETENTION_MS)
                writer = SnapshotWriter(
                    f"w{number}", follower, rule, log=log, clock=clock, rng=rng, metrics=metrics
                )
                tasks.append(asyncio.create_task(follower.run()))
                tasks.append(asyncio.create_task(writer.run()))
            await clock.sleep_ms(4 * RETENTION_MS)
            # Without the jitter all twenty would write within a second, at each interval.
            assert 16 <= log.appends <= 16 * 20 / 3

        run_virtual(scenario())

    def test_snapshot_is_due_after_the_maximum_number_of_records(self) -> None:
        async def scenario() -> None:
            clock = LoopClock()
            log = MemoryLog(clock, random.Random(1))
            metrics, rng = MetricsRegistry(), random.Random(2)
            follower = LogFollower(CLASS_STREAM, ClassState(), log, clock, rng, metrics)
            writer = SnapshotWriter(
                "w",
                follower,
                SnapshotRule(RETENTION_MS, 10),
                log=log,
                clock=clock,
                rng=rng,
                metrics=metrics,
            )
            follower.replica.record_snapshot(Snapshot("s", 0, None, clock.wall_ms()))
            for number in range(9):
                follower.replica.apply(
                    number, encode_record(ClassChanged(f"r{number}", "c", 0, None))
                )
            follower.reachable = True
            assert not writer.is_due()
            follower.replica.apply(9, encode_record(ClassChanged("r9", "c", 0, None)))
            assert writer.is_due()

        run_virtual(scenario())
