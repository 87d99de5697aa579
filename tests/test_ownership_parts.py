"""Check the guards of a change of owners one by one."""

from __future__ import annotations

import asyncio
import random

from currantbarrow.cluster import ClusterState
from currantbarrow.entry.ownership import Ownership, OwnershipOptions
from currantbarrow.jobs import SHARD_COUNT, TaskRun, TaskState, shard_of
from currantbarrow.logservice import AssignmentChanged
from currantbarrow.observe import EventRing, HybridClock, MetricsBook
from currantbarrow.protocol import RefusedReason, Start, TaskReference, TaskResult
from currantbarrow.side.gate import Duplicate, StartGate
from currantbarrow.side.ledger import StartLedger
from currantbarrow.side.runner import TaskRunner
from currantbarrow.standins.fleet import Fleet, LoopClock
from currantbarrow.standins.upstream import MemoryUpstream, StartBook
from currantbarrow.standins.virtual import run_virtual
from helpers import FleetTest

PERMISSION_MS = 2_000.0
JOB = b"j" * 16


def assign(state: ClusterState, offset: int, owner: str) -> None:
    """Give all shards to one owner."""
    record = AssignmentChanged(
        f"r{offset}", state.assignment.version, [owner], [0] * SHARD_COUNT, []
    )
    state.apply(offset, record)
    state.offset = offset


class TestHandoverGuards(FleetTest):
    def test_only_the_table_of_the_time_directly_before_is_handed_over(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            state = ClusterState()
            given: list[set[int]] = []
            ownership = self.make_ownership(fleet, state, given)
            assign(state, 0, "me")
            ownership.sync()
            await asyncio.sleep(1)
            assign(state, 1, "other")
            assign(state, 2, "me")
            assign(state, 3, "other")
            ownership.sync()
            assert given == [set()]

        self.run_fleet(scenario)

    def test_table_of_an_unbroken_time_is_handed_over(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            state = ClusterState()
            given: list[set[int]] = []
            ownership = self.make_ownership(fleet, state, given)
            assign(state, 0, "me")
            ownership.sync()
            await asyncio.sleep(1)
            assign(state, 1, "other")
            ownership.sync()
            assert given == [set(range(SHARD_COUNT))]

        self.run_fleet(scenario)

    def test_only_the_former_owner_of_just_this_change_is_listened_to(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            state = ClusterState()
            ownership = self.make_ownership(fleet, state, [])
            assign(state, 0, "other")
            assign(state, 1, "me")
            ownership.sync()
            assert ownership.expects_handover_from(7, "other", 2)
            assert not ownership.expects_handover_from(7, "stranger", 2)
            assert not ownership.expects_handover_from(7, "other", 1)
            ownership.stop()

        self.run_fleet(scenario)

    @staticmethod
    def make_ownership(fleet: Fleet, state: ClusterState, given: list[set[int]]) -> Ownership:
        """Return the ownership of a process called me, which notes what it hands over."""
        return Ownership(
            "me",
            state,
            OwnershipOptions(),
            clock=fleet.clock,
            metrics=MetricsBook(),
            events=EventRing("me", HybridClock(fleet.clock)),
            pool=fleet.entries["entry-0"].node.sides,
            release_shards=lambda lost, to_hand_over: given.append(to_hand_over),
            is_down=lambda owner: False,
            reported_version=lambda owner: 0,
        )


class TestGate:
    def test_start_of_an_owner_before_the_fence_is_refused(self) -> None:
        assert self.check_with(fence=5, epoch=4) is RefusedReason.FENCED
        assert self.check_with(fence=5, epoch=5) is None

    def test_start_that_was_held_up_is_refused(self) -> None:
        assert self.check_with(late_ms=PERMISSION_MS + 1) is RefusedReason.STALE
        assert self.check_with(late_ms=PERMISSION_MS - 1) is None

    def test_attempt_reported_as_never_started_never_starts(self) -> None:
        assert self.check_with(refused_attempt=3, attempt=3) is RefusedReason.CANCELLED
        assert self.check_with(refused_attempt=3, attempt=4) is None

    def test_second_copy_of_a_start_is_no_start(self) -> None:
        assert self.check_with(started=True) is Duplicate.DUPLICATE

    @staticmethod
    def check_with(
        *,
        fence: int = 0,
        epoch: int = 1,
        late_ms: float = 0.0,
        refused_attempt: int = 0,
        attempt: int = 1,
        started: bool = False,
    ) -> RefusedReason | Duplicate | None:
        """Return what the gate says of one start."""

        async def check() -> RefusedReason | Duplicate | None:
            clock = LoopClock()
            ledger = StartLedger(clock, 60_000.0)
            gate = StartGate(clock, ledger, PERMISSION_MS)
            gate.fence([shard_of(JOB)], fence)
            if refused_attempt:
                ledger.refuse(TaskReference(JOB, 0, refused_attempt))
            if started:
                ledger.get_or_create(JOB, 0).attempt = 1
            stamp_ms = clock.monotonic_ms()
            await asyncio.sleep(late_ms / 1000)
            task = TaskRun(JOB, 0, attempt, "quote", "a", None, 0.0, 0.0)
            return gate.check(Start(epoch, stamp_ms, [task]), task)

        return run_virtual(check())


class TestRunner:
    def test_task_that_is_stopped_as_it_starts_ends_and_frees_its_slot(self) -> None:
        async def scenario() -> None:
            clock = LoopClock()
            ended: list[TaskResult] = []
            upstream = MemoryUpstream("u", clock, random.Random(1), StartBook())
            runner = TaskRunner(
                upstream, clock, MetricsBook(), lambda task: None, ended.append, lambda task: None
            )
            runner.slots = 1
            runner.add(TaskRun(JOB, 0, 1, "quote", "a", {"run_ms": 50.0}, 0.0, 0.0), 1)
            assert runner.stop(JOB, 0)
            async with asyncio.timeout(1):
                await asyncio.sleep(0.1)
            assert [result.state for result in ended] == [TaskState.RAN]
            assert (runner.used_slots, runner.running) == (0, 0)

        run_virtual(scenario())
