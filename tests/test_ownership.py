"""Test that a change of shard owners starts no task twice and reports no false NOT_RUN."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from currantbarrow.entry import EntryNode
from currantbarrow.exceptions import (
    JobConflict,
    JobInvalid,
    MemberAlive,
    MemberUnknown,
    OwnershipError,
)
from currantbarrow.jobs import JobAnswer, JobRequest, JobStatus, TaskState, make_job_id, shard_of
from currantbarrow.protocol import HandoverDone, Hello, Message
from currantbarrow.standins.fleet import Fleet, FleetPlan
from helpers import FleetTest

SCENARIO_LIMIT_S = 300
DEFAULT_PLAN = FleetPlan(sides=6)
# Upper bound of a takeover with a silent side process (docs/operations/recovery.md).
RECOVERY_AFTER_RETIRE_MS = 7000.0


class OwnershipTest(FleetTest):
    """Provide helpers for these tests and limit the virtual time of each scenario."""

    def run_bounded(
        self, scenario: Callable[[Fleet], Awaitable[None]], plan: FleetPlan = DEFAULT_PLAN
    ) -> Fleet:
        """Run a scenario with a time limit."""

        async def bounded(fleet: Fleet) -> None:
            async with asyncio.timeout(SCENARIO_LIMIT_S):
                await scenario(fleet)

        return self.run_fleet(bounded, plan)

    def make_job_owned_by(
        self, fleet: Fleet, owner: str, name: str, run_ms: list[float]
    ) -> JobRequest:
        """Return a job whose shard an entry owns."""
        for number in range(10_000):
            job = self.make_job(fleet, f"{name}-{number}", run_ms)
            if self.owner_of(fleet, job).options.name == owner:
                return job
        raise AssertionError("no key falls into a shard of the entry")

    def make_job_in(self, fleet: Fleet, shard: int) -> JobRequest:
        """Return a new job whose key falls into a shard."""
        jobs = (self.make_job(fleet, f"new-{number}", [50.0]) for number in range(10_000))
        return next(job for job in jobs if shard_of(make_job_id(job)) == shard)

    async def submit_with_retries(self, fleet: Fleet, entry: int, job: JobRequest) -> JobAnswer:
        """Submit a job until it is answered, as a caller that retries on OwnershipError."""
        while True:
            try:
                return await self.submit(fleet, entry, job)
            except OwnershipError:
                await fleet.clock.sleep_ms(100)

    @staticmethod
    def owner_of(fleet: Fleet, job: JobRequest) -> EntryNode:
        """Return the entry that owns a job's shard in the newest known assignment."""
        nodes = [entry.node for entry in fleet.entries.values()]
        newest = max(nodes, key=lambda node: node.cluster.offset)
        owner = newest.cluster.assignment.owner_of(shard_of(make_job_id(job)))
        return next(node for node in nodes if node.options.incarnation == owner)


class TestRetirement(OwnershipTest):
    """Lose an owner and the majority of its panel at once and for good."""

    PLAN = FleetPlan(sides=5)

    @staticmethod
    async def kill_hosts(fleet: Fleet) -> list[str]:
        lost = ["entry-0"]
        await fleet.kill_entry("entry-0", silently=True)
        for number in (1, 3, 4):
            lost.append(f"side-{number}")
            await fleet.kill_side(f"side-{number}", silently=True)
        return lost

    def test_retiring_lost_processes_makes_their_shards_available(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            before = self.make_job_owned_by(fleet, "entry-0", "k", [50.0])
            lost = await self.kill_hosts(fleet)
            await fleet.clock.sleep_ms(20_000)
            with pytest.raises(OwnershipError):
                await self.submit(fleet, 1, before)
            for name in lost:
                await fleet.entries["entry-1"].node.retire_member(name, "ana")
            await fleet.clock.sleep_ms(RECOVERY_AFTER_RETIRE_MS)
            # The lost owner may have started a job whose key was created before it was lost.
            assert (await self.submit(fleet, 1, before)).code == "outcome_unknown"
            after = self.make_job_in(fleet, shard_of(make_job_id(before)))
            assert (await self.submit(fleet, 1, after)).status is JobStatus.COMPLETE

        self.run_bounded(scenario, self.PLAN)

    def test_reachable_or_unknown_process_cannot_be_retired(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            node = fleet.entries["entry-1"].node
            with pytest.raises(MemberAlive):
                await node.retire_member("side-2", "ana")
            with pytest.raises(MemberUnknown):
                await node.retire_member("side-9", "ana")
            await fleet.kill_side("side-2", silently=True)
            await fleet.start_side(2)
            await fleet.wait_ready()
            with pytest.raises(MemberAlive):
                await node.retire_member("side-2", "ana")

        self.run_bounded(scenario, self.PLAN)


class TestHandover(OwnershipTest):
    def test_part_is_resent_until_the_next_owner_has_read_the_record(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            await fleet.start_entry(3)
            await fleet.wait_ready()
            jobs = [self.make_job_owned_by(fleet, "entry-1", f"k{n}", [800.0]) for n in range(8)]
            waiting = [asyncio.create_task(self.submit(fleet, 0, job)) for job in jobs]
            await fleet.clock.sleep_ms(100)
            fleet.fabric.cut("entry-3", "log")
            draining = asyncio.create_task(fleet.entries.pop("entry-1").node.drain())
            await fleet.clock.sleep_ms(400)
            fleet.fabric.restore("entry-3", "log")
            answers = await asyncio.gather(*waiting)
            await draining
            assert {answer.status for answer in answers} == {JobStatus.COMPLETE}
            for entry in fleet.entries.values():
                assert "entry.takeover" not in entry.metrics.timings

        self.run_bounded(scenario)

    def test_cancellation_before_submission_survives_a_planned_restart(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            job = self.make_job_owned_by(fleet, "entry-1", "k", [50.0])
            node = fleet.entries["entry-0"].node
            await node.router.cancel(job.customer, job.key, job.created_at_ms)
            await fleet.entries.pop("entry-1").node.drain()
            answer = await self.submit(fleet, 0, job)
            assert (answer.status, answer.code) == (JobStatus.REFUSED, "cancelled")

        fleet = self.run_bounded(scenario)
        assert not fleet.start_counter.starts

    def test_outdated_table_of_an_earlier_owner_is_not_applied(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            await fleet.start_entry(3)
            await fleet.wait_ready()
            job = self.make_job_owned_by(fleet, "entry-3", "k", [50.0])
            fleet.fabric.cut("entry-3", "log")
            for name in ("entry-1", "entry-2"):
                fleet.fabric.cut("entry-3", name)
            fleet.fabric.cut("entry-3", "entry-0")
            for number in range(6):
                fleet.fabric.cut("entry-3", f"side-{number}")
            await fleet.clock.sleep_ms(15_000)
            first = await self.submit(fleet, 0, job)
            assert first.status is JobStatus.COMPLETE
            for name in ("entry-0", "entry-1", "entry-2"):
                fleet.fabric.restore("entry-3", name)
            for number in range(6):
                fleet.fabric.restore("entry-3", f"side-{number}")
            fleet.fabric.restore("entry-3", "log")
            await fleet.wait_ready()
            for number in range(4):
                again = await self.submit(fleet, number, job)
                assert again.status is JobStatus.COMPLETE or again.code == "outcome_unknown"

        self.run_bounded(scenario)

    def test_handover_succeeds_when_the_last_confirmation_is_lost(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            confirmed = 0

            def cut_link_on_first_reply(sender: Hello, receiver: Hello, message: Message) -> None:
                nonlocal confirmed
                if isinstance(message, HandoverDone):
                    confirmed += 1
                    if confirmed == 1:
                        fleet.fabric.cut(sender.name, receiver.name)
                        loop = asyncio.get_running_loop()
                        loop.call_later(0.5, fleet.fabric.restore, sender.name, receiver.name)

            fleet.fabric.observers.append(cut_link_on_first_reply)
            leaving = fleet.entries.pop("entry-1")
            await leaving.node.drain()
            assert confirmed > 1
            assert leaving.metrics.counters["entry.handover_rejected"] == 0
            assert leaving.metrics.counters["entry.handover_failed"] == 0

        self.run_bounded(scenario)


class TestTakeover(OwnershipTest):
    def test_settled_departure_does_not_affect_later_takeovers(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            await fleet.kill_side("side-5")
            await fleet.clock.sleep_ms(10_000)
            assert fleet.entries["entry-0"].node.cluster.departures
            await fleet.clock.sleep_ms(15_000)
            for entry in fleet.entries.values():
                assert entry.node.cluster.unsettled_departures() == []
            jobs = [self.make_job(fleet, f"k{n}", [300.0]) for n in range(20)]
            waiting = [asyncio.create_task(self.submit(fleet, 0, job)) for job in jobs]
            await fleet.clock.sleep_ms(100)
            await fleet.kill_entry("entry-1")
            answers = await asyncio.gather(*waiting)
            assert {answer.status for answer in answers} == {JobStatus.COMPLETE}

        self.run_bounded(scenario)

    def test_two_assignments_read_at_once_leave_all_shards_ready(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            await fleet.start_entry(3)
            await fleet.wait_ready()
            fleet.fabric.cut("entry-3", "log")
            await fleet.kill_entry("entry-0")
            await fleet.clock.sleep_ms(2_400)
            await fleet.kill_entry("entry-1")
            await fleet.clock.sleep_ms(2_400)
            fleet.fabric.restore("entry-3", "log")
            await fleet.wait_ready()
            answer = await self.submit(fleet, 3, self.make_job(fleet, "k", [50.0] * 20))
            assert answer.status is JobStatus.COMPLETE

        self.run_bounded(scenario)

    def test_starts_at_a_silent_side_process_have_unknown_outcome(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            jobs = [
                self.make_job_owned_by(fleet, "entry-1", f"k{n}", [20_000.0]) for n in range(30)
            ]
            first = [asyncio.create_task(self.submit(fleet, 1, job)) for job in jobs]
            await fleet.clock.sleep_ms(100)
            fleet.pause("side-2")
            await fleet.kill_entry("entry-1")
            for task in first:
                task.cancel()
            answers = await asyncio.gather(
                *(self.submit_with_retries(fleet, 0, job) for job in jobs)
            )
            assert "outcome_unknown" in {answer.code for answer in answers}
            fleet.resume("side-2")
            await fleet.clock.sleep_ms(5_000)

        self.run_bounded(scenario)

    def test_crash_of_a_successor_during_takeover_starts_no_task_twice(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            jobs = [
                self.make_job_owned_by(fleet, "entry-1", f"k{n}", [400.0] * 3) for n in range(12)
            ]
            first = [asyncio.create_task(self.submit(fleet, 1, job)) for job in jobs]
            await fleet.clock.sleep_ms(100)
            fleet.pause("side-2")
            await fleet.kill_entry("entry-1")
            await fleet.clock.sleep_ms(2_600)
            await fleet.kill_entry("entry-2")
            fleet.resume("side-2")
            answers = await asyncio.gather(
                *(self.submit_with_retries(fleet, 0, job) for job in jobs)
            )
            for answer in answers:
                known = {task.state for task in answer.tasks}
                assert answer.status is JobStatus.COMPLETE or TaskState.UNKNOWN in known
            for task in first:
                task.cancel()

        self.run_bounded(scenario)

    def test_side_process_reachable_only_by_the_dead_owner_is_considered(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            await fleet.start_entry(3)
            await fleet.wait_ready()
            fleet.fabric.cut("entry-3", "log")
            for number in range(3):
                fleet.fabric.cut(f"entry-{number}", "side-5")
            await fleet.clock.sleep_ms(11_500)
            job = self.make_job_owned_by(fleet, "entry-3", "k", [100.0] * 40)
            waiting = asyncio.create_task(self.submit(fleet, 3, job))
            await fleet.clock.sleep_ms(50)
            waiting.cancel()
            await fleet.kill_entry("entry-3")
            await self.submit_with_retries(fleet, 0, job)

        fleet = self.run_bounded(scenario)
        assert fleet.sides == {}

    def test_takeover_waits_while_the_panel_has_no_majority(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            job = self.make_job_owned_by(fleet, "entry-1", "k", [50.0])
            panel = fleet.entries["entry-0"].node.cluster.assignment.panel
            names = [incarnation.partition(".")[0] for incarnation in panel[:3]]
            for name in names:
                await fleet.kill_side(name)
            await fleet.kill_entry("entry-1")
            await fleet.clock.sleep_ms(5_000)
            assert not fleet.entries["entry-0"].node.lease.is_held()
            for name in names:
                await fleet.start_side(int(name.removeprefix("side-")))
            await fleet.wait_ready()
            again = await self.submit_with_retries(fleet, 0, job)
            assert again.status is JobStatus.COMPLETE or again.code == "outcome_unknown"
            fresh = self.make_job(fleet, "fresh", [50.0] * 8)
            assert (await self.submit_with_retries(fleet, 0, fresh)).status is JobStatus.COMPLETE

        self.run_bounded(scenario)

    def test_starts_at_a_restarted_side_process_have_unknown_outcome(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            jobs = [self.make_job_owned_by(fleet, "entry-1", f"k{n}", [200.0]) for n in range(20)]
            waiting = [asyncio.create_task(self.submit(fleet, 1, job)) for job in jobs]
            await fleet.clock.sleep_ms(100)
            for number in range(6):
                await fleet.kill_side(f"side-{number}")
                await fleet.start_side(number)
            await fleet.kill_entry("entry-1")
            for task in waiting:
                task.cancel()
            answers = await asyncio.gather(
                *(self.submit_with_retries(fleet, 0, job) for job in jobs)
            )
            assert {answer.code for answer in answers} == {"outcome_unknown"}

        self.run_bounded(scenario)

    def test_key_from_a_fast_clock_has_unknown_outcome_at_a_slower_successor(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            fleet.entries["entry-1"].clock.skew_ms = 900.0
            job = self.make_job_owned_by(fleet, "entry-1", "k", [200.0])
            ahead = JobRequest(job.key, job.created_at_ms, "a", "quote", job.tasks)
            for number in range(200):
                key = JobRequest(
                    f"ahead-{number}", job.created_at_ms + 1_850, "a", "quote", job.tasks
                )
                if self.owner_of(fleet, key).options.name == "entry-1":
                    ahead = key
                    break
            assert (await self.submit(fleet, 1, ahead)).status is JobStatus.COMPLETE
            for number in range(6):
                await fleet.kill_side(f"side-{number}")
                await fleet.start_side(number)
            await fleet.kill_entry("entry-1")
            answer = await self.submit_with_retries(fleet, 0, ahead)
            assert answer.code == "outcome_unknown"

        self.run_bounded(scenario)

    def test_tasks_reported_not_run_by_a_dead_owner_do_not_run_later(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            job = self.make_job_owned_by(fleet, "entry-1", "k", [400.0] * 80)
            job.tasks[0].payload["fail"] = True
            answer = await self.submit(fleet, 0, job)
            states = [task.state for task in answer.tasks]
            assert TaskState.NOT_RUN in states
            await fleet.kill_entry("entry-1")
            await self.submit_with_retries(fleet, 0, job)
            await fleet.clock.sleep_ms(5_000)
            for index, state in enumerate(states):
                if state is TaskState.NOT_RUN:
                    assert fleet.start_counter.starts[make_job_id(job), index] == 0

        self.run_bounded(scenario, FleetPlan(sides=4, slots=2))

    def test_cancelled_job_of_a_dead_owner_is_not_reported_as_not_run(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            job = self.make_job_owned_by(fleet, "entry-1", "k", [300.0])
            waiting = asyncio.create_task(self.submit(fleet, 1, job))
            await fleet.clock.sleep_ms(100)
            waiting.cancel()
            await fleet.kill_entry("entry-1")
            await fleet.clock.sleep_ms(6_000)
            router = fleet.entries["entry-0"].node.router
            await router.cancel(job.customer, job.key, job.created_at_ms)
            answer = await self.submit(fleet, 0, job)
            assert not answer.not_run
            assert TaskState.NOT_RUN not in {task.state for task in answer.tasks}

        self.run_bounded(scenario)


class TestSuspicion(OwnershipTest):
    def test_cut_between_an_entry_and_a_side_process_removes_neither(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            fleet.fabric.cut("entry-0", "side-2")
            await fleet.clock.sleep_ms(20_000)
            assert {"entry-0", "side-2"} <= self.member_names(fleet)

        self.run_bounded(scenario)

    def test_cut_between_two_entries_removes_neither(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            await fleet.clock.sleep_ms(5_000)
            before = fleet.entries["entry-0"].node.cluster.assignment
            fleet.fabric.cut("entry-0", "entry-1")
            await fleet.clock.sleep_ms(10_000)
            job = self.make_job_owned_by(fleet, "entry-1", "k", [50.0])
            answer = await self.submit(fleet, 0, job)
            assert answer.status is JobStatus.COMPLETE
            assert fleet.entries["entry-0"].node.cluster.assignment == before

        self.run_bounded(scenario)

    def test_entry_removed_as_dead_registers_again(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            others = ["entry-0", "entry-2", *fleet.sides]
            for name in others:
                fleet.fabric.cut("entry-1", name)
            await fleet.clock.sleep_ms(12_000)
            assert "entry-1" not in self.member_names(fleet)
            for name in others:
                fleet.fabric.restore("entry-1", name)
            await fleet.clock.sleep_ms(20_000)
            assert "entry-1" in self.member_names(fleet)
            await fleet.wait_ready()

        self.run_bounded(scenario)

    def test_isolated_entry_with_log_access_removes_no_member(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            others = ["entry-0", "entry-2", *fleet.sides]
            for name in others:
                fleet.fabric.cut("entry-1", name)
            for name in others[:2]:
                fleet.fabric.cut(name, "log")
            await fleet.clock.sleep_ms(15_000)
            members = fleet.entries["entry-1"].node.cluster.members.values()
            assert {member.name for member in members} >= set(others)

        self.run_bounded(scenario)

    def test_side_process_removed_as_dead_registers_again(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            for number in range(3):
                fleet.fabric.cut(f"entry-{number}", "side-1")
            await fleet.clock.sleep_ms(15_000)
            assert "side-1" not in self.member_names(fleet)
            for number in range(3):
                fleet.fabric.restore(f"entry-{number}", "side-1")
            await fleet.clock.sleep_ms(40_000)
            assert "side-1" in self.member_names(fleet)
            await fleet.wait_ready()

        self.run_bounded(scenario)

    @staticmethod
    def member_names(fleet: Fleet) -> set[str]:
        """Return the names of all members in the log."""
        members = fleet.entries["entry-0"].node.cluster.members
        return {member.name for member in members.values()}


class TestDedupeWindow(OwnershipTest):
    def test_key_ahead_of_the_clock_does_not_run_again_after_the_window(self) -> None:
        plan = FleetPlan(sides=6, window_ms=5_000.0)

        async def scenario(fleet: Fleet) -> None:
            job = self.make_job(fleet, "k", [50.0])
            ahead = JobRequest(
                job.key, job.created_at_ms + 950, job.customer, job.job_class, job.tasks
            )
            assert (await self.submit(fleet, 0, ahead)).status is JobStatus.COMPLETE
            for _ in range(40):
                await fleet.clock.sleep_ms(200)
                answer = await self.submit(fleet, 0, ahead)
                assert answer.status is JobStatus.COMPLETE or answer.code == "key_expired"

        self.run_bounded(scenario, plan)

    def test_resubmission_gets_its_answer_after_its_class_was_removed(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            jobs = [self.make_job(fleet, f"k{n}", [50.0]) for n in range(6)]
            first = [await self.submit(fleet, 0, job) for job in jobs]
            revision = fleet.entries["entry-0"].node.classes.find("quote")
            assert revision is not None
            await fleet.entries["entry-0"].node.change_class("quote", revision.revision, None, "op")
            await fleet.clock.sleep_ms(1_000)
            assert [await self.submit(fleet, 1, job) for job in jobs] == first
            with pytest.raises(JobInvalid):
                await self.submit(fleet, 1, self.make_job(fleet, "fresh", [50.0]))

        self.run_bounded(scenario)

    def test_key_too_far_ahead_and_key_too_old_never_run(self) -> None:
        plan = FleetPlan(sides=6, window_ms=5_000.0)

        async def scenario(fleet: Fleet) -> None:
            job = self.make_job(fleet, "k", [50.0])
            ahead = JobRequest("k", job.created_at_ms + 2_500, "a", "quote", job.tasks)
            with pytest.raises(JobInvalid):
                await self.submit(fleet, 0, ahead)
            await fleet.clock.sleep_ms(5_100)
            assert (await self.submit(fleet, 0, job)).code == "key_expired"

        fleet = self.run_bounded(scenario, plan)
        assert not fleet.start_counter.starts

    def test_job_running_longer_than_the_window_leaves_the_table(self) -> None:
        plan = FleetPlan(sides=6, window_ms=3_000.0)

        async def scenario(fleet: Fleet) -> None:
            job = self.make_job_owned_by(fleet, "entry-0", "k", [9_000.0])
            assert (await self.submit(fleet, 0, job)).status is JobStatus.COMPLETE
            await fleet.clock.sleep_ms(9_000)
            table = fleet.entries["entry-0"].node.dispatcher.table
            assert table.find(make_job_id(job)) is None

        self.run_bounded(scenario, plan)


class TestAnswersKept(OwnershipTest):
    def test_completed_job_answers_and_conflicts_after_a_planned_restart(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            job = self.make_job_owned_by(fleet, "entry-1", "k", [50.0] * 4)
            first = await self.submit(fleet, 0, job)
            await fleet.entries.pop("entry-1").node.drain()
            assert await self.submit(fleet, 0, job) == first
            other = JobRequest(job.key, job.created_at_ms, "a", "quote", job.tasks[:3])
            with pytest.raises(JobConflict):
                await self.submit(fleet, 0, other)

        self.run_bounded(scenario)
