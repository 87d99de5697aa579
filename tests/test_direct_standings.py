"""Test that a cancelling holds at every entry, and that only an abandoned job runs again."""

from __future__ import annotations

import asyncio

import pytest

from currantbarrow.direct.history import RETENTION_MS, JobHistory
from currantbarrow.direct.model import JobSpec, JobState
from currantbarrow.direct.processes import FORGET_MS
from currantbarrow.direct.standings import CancelOutcome, KnownJob, earlier_outcome
from currantbarrow.protocol.direct import CancelledRow, Standing
from currantbarrow.standins.direct_fleet import DirectFleet
from currantbarrow.standins.fleet import LoopClock
from currantbarrow.standins.virtual import run_virtual
from direct_scenarios import RESUBMIT_AFTER_S, run_fleet

JOB = "a" * 16
TASKS = 4
RUN_MS = 8000.0
# Long enough for the peers to learn which entry has the job.
RUNNING_S = 0.5
# Time for new links and the first pings over them.
RECONNECTED_S = 1.5
# Within this time a cancelling has to be acknowledged, or reported as not confirmed.
ACKNOWLEDGE_S = 4.0
# The bound on starts, and on runs that go on, after a cancelling was acknowledged.
CANCEL_S = 3.0


def submit(fleet: DirectFleet, entry: str) -> asyncio.Task[JobState]:
    return asyncio.create_task(fleet.submit(entry, build_job(fleet)))


def build_job(fleet: DirectFleet) -> JobSpec:
    return fleet.build_job(JOB, TASKS, RUN_MS)


def cut_off(fleet: DirectFleet, name: str) -> None:
    for other in (*fleet.sides, *fleet.entries):
        if other != name:
            fleet.fabric.cut(name, other)


def reconnect(fleet: DirectFleet, name: str) -> None:
    for other in (*fleet.sides, *fleet.entries):
        if other != name:
            fleet.fabric.restore(name, other)


async def cancel_running_job(fleet: DirectFleet) -> None:
    """Cancel a job at the entry at which it runs."""
    first = submit(fleet, "entry-0")
    await asyncio.sleep(RUNNING_S)
    assert await fleet.entries["entry-0"].cancel(JOB) is CancelOutcome.CANCELLED
    assert await first == JobState.CANCELLED


async def cancel_in_time(fleet: DirectFleet, entry: str) -> CancelOutcome:
    async with asyncio.timeout(ACKNOWLEDGE_S):
        return await fleet.entries[entry].cancel(JOB)


async def check_copy(fleet: DirectFleet, entry: str) -> None:
    """Submit a late copy of the job, and check that it is not run."""
    before = len(fleet.runs.started)
    async with asyncio.timeout(1.0):
        assert await fleet.submit(entry, build_job(fleet)) == JobState.CANCELLED
    assert len(fleet.runs.started) == before


class TestEarlierVersions:
    def test_standing_that_does_not_tell_why_a_job_ended_lets_it_run_again(self) -> None:
        known = KnownJob(Standing("cancelled"), cancelled=False, elsewhere=False)
        assert earlier_outcome(known) is None


class TestRetention:
    def test_cancelling_is_forgotten_although_its_reporter_was_lost(self) -> None:
        async def scenario() -> None:
            history = JobHistory(LoopClock())
            history.record_cancelled_elsewhere(CancelledRow(JOB, RETENTION_MS - 1.0), "entry-1:1")
            await asyncio.sleep(RETENTION_MS / 1000 - 1.0)
            history.take_over_cancellings("entry-1:1")
            await asyncio.sleep(2.0)
            history.expire()
            assert not history.was_cancelled(JOB)

        run_virtual(scenario())


class TestLateCopyOfCancelledJob:
    @pytest.mark.parametrize("entry", ["entry-0", "entry-1"])
    @pytest.mark.parametrize("late_s", [0.5, 4.0, 30.0])
    def test_is_not_run(self, entry: str, late_s: float) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            await cancel_running_job(fleet)
            await asyncio.sleep(late_s)
            await check_copy(fleet, entry)

        run_fleet(scenario)

    def test_is_not_run_by_an_entry_that_starts_later(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            await cancel_running_job(fleet)
            await asyncio.sleep(1.0)
            await fleet.kill_entry("entry-1")
            await asyncio.sleep(1.0)
            await fleet.start_entry("entry-1")
            await asyncio.sleep(RECONNECTED_S)
            await check_copy(fleet, "entry-1")

        run_fleet(scenario)

    def test_is_not_run_by_an_entry_that_was_cut_off_and_hears_of_it_from_another(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            cut_off(fleet, "entry-1")
            await cancel_running_job(fleet)
            await asyncio.sleep(RECONNECTED_S)
            await fleet.kill_entry("entry-0")
            reconnect(fleet, "entry-1")
            await asyncio.sleep(RECONNECTED_S)
            await check_copy(fleet, "entry-1")

        run_fleet(scenario)

    def test_is_not_run_if_the_cancelling_overtook_the_submission(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            await fleet.entries["entry-0"].cancel(JOB)
            await asyncio.sleep(RUNNING_S)
            for entry in ("entry-0", "entry-1"):
                await check_copy(fleet, entry)

        run_fleet(scenario)

    def test_is_stopped_at_an_entry_that_ran_it_before_it_heard_of_the_cancelling(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            for other in ("entry-0", "entry-2"):
                fleet.fabric.cut("entry-1", other)
            await cancel_running_job(fleet)
            await asyncio.sleep(RUNNING_S)
            copy = submit(fleet, "entry-1")
            await asyncio.sleep(2.0)
            for other in ("entry-0", "entry-2"):
                fleet.fabric.restore("entry-1", other)
            async with asyncio.timeout(RECONNECTED_S):
                assert await copy == JobState.CANCELLED
            await asyncio.sleep(0.1)
            assert not fleet.runs.running

        run_fleet(scenario)


class TestCancelledWhileOutOfContact:
    def test_entry_that_returns_does_not_order_the_job_again(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            first = submit(fleet, "entry-0")
            await asyncio.sleep(RUNNING_S)
            cut_off(fleet, "entry-0")
            # Longer than the leases of its runs.
            await asyncio.sleep(CANCEL_S)
            await fleet.entries["entry-1"].cancel(JOB)
            # Neither pings of the peers nor side processes tell the entry, only answers.
            for peer in ("entry-1", "entry-2"):
                fleet.entries[peer].peers.remove("entry-0:1")
            for side in list(fleet.sides):
                await fleet.kill_side(side)
                await fleet.start_side(side)
            before = len(fleet.runs.started)
            reconnect(fleet, "entry-0")
            async with asyncio.timeout(RECONNECTED_S + RESUBMIT_AFTER_S):
                assert await first == JobState.CANCELLED
            assert len(fleet.runs.started) == before

        run_fleet(scenario)


class TestCancelledWhereItsCallerHadLeft:
    @pytest.mark.parametrize("accepted_for_s", [0.1, RUNNING_S, CANCEL_S])
    def test_job_has_ended_at_the_entry_that_accepted_it_since(self, accepted_for_s: float) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            dispatcher = fleet.entries["entry-0"].dispatcher
            submit(fleet, "entry-0")
            await asyncio.sleep(RUNNING_S)
            dispatcher.abandon(dispatcher.jobs[JOB])
            await asyncio.sleep(RESUBMIT_AFTER_S)
            again = submit(fleet, "entry-1")
            await asyncio.sleep(accepted_for_s)
            assert len(fleet.runs.running) == TASKS
            assert await fleet.entries["entry-0"].cancel(JOB) is CancelOutcome.CANCELLED
            assert JOB not in fleet.entries["entry-1"].dispatcher.jobs
            assert await again == JobState.CANCELLED

        run_fleet(scenario)

    def test_abandoned_job_runs_again_but_not_after_it_was_cancelled(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            for entry in ("entry-0", "entry-1"):
                dispatcher = fleet.entries[entry].dispatcher
                running = submit(fleet, entry)
                await asyncio.sleep(RESUBMIT_AFTER_S)
                assert len(fleet.runs.running) == TASKS
                dispatcher.abandon(dispatcher.jobs[JOB])
                assert await running == JobState.ABANDONED
            assert await fleet.entries["entry-2"].cancel(JOB) is CancelOutcome.CANCELLED
            for entry in fleet.entries:
                await check_copy(fleet, entry)

        run_fleet(scenario)


class TestCancellingThatReachesNobody:
    @pytest.mark.parametrize("cancelled_after_s", [0.0, 0.2, 0.4, 0.7, 1.0])
    def test_is_repeated_over_new_links_once_the_open_ones_are_silent(
        self, cancelled_after_s: float
    ) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            first = submit(fleet, "entry-0")
            await asyncio.sleep(1.0)
            fleet.fabric.silence_open_links()
            await asyncio.sleep(cancelled_after_s)
            assert await cancel_in_time(fleet, "entry-1") is CancelOutcome.CANCELLED
            async with asyncio.timeout(0.1):
                assert await first == JobState.CANCELLED
            await asyncio.sleep(0.1)
            assert not fleet.runs.running

        run_fleet(scenario)

    def test_is_not_confirmed_by_an_entry_that_is_cut_off_and_holds_once_it_is_back(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            first = submit(fleet, "entry-0")
            await asyncio.sleep(RUNNING_S)
            cut_off(fleet, "entry-1")
            assert await cancel_in_time(fleet, "entry-1") is CancelOutcome.UNCONFIRMED
            reconnect(fleet, "entry-1")
            async with asyncio.timeout(RECONNECTED_S):
                assert await first == JobState.CANCELLED

        run_fleet(scenario)

    def test_ends_a_job_that_its_entry_has_not_reported_at_the_side_processes(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            for other in ("entry-1", "entry-2"):
                fleet.fabric.cut("entry-0", other)
            first = submit(fleet, "entry-0")
            await asyncio.sleep(RUNNING_S)
            assert await cancel_in_time(fleet, "entry-1") is CancelOutcome.CANCELLED
            async with asyncio.timeout(0.1):
                assert await first == JobState.CANCELLED

        run_fleet(scenario)

    def test_is_repeated_at_a_side_process_that_was_out_of_reach(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            for other in ("entry-1", "entry-2"):
                fleet.fabric.cut("entry-0", other)
            for side in fleet.sides:
                fleet.fabric.cut("entry-1", side)
            first = submit(fleet, "entry-0")
            await asyncio.sleep(RESUBMIT_AFTER_S)
            # Its new links are opened after the answer.
            assert await cancel_in_time(fleet, "entry-1") is CancelOutcome.UNCONFIRMED
            for side in fleet.sides:
                fleet.fabric.restore("entry-1", side)
            async with asyncio.timeout(CANCEL_S):
                assert await first == JobState.CANCELLED

        run_fleet(scenario)

    def test_holds_at_side_processes_for_an_entry_that_takes_the_job_over(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            first = submit(fleet, "entry-0")
            await asyncio.sleep(RUNNING_S)
            for one, other in (
                ("entry-0", "entry-1"),
                ("entry-0", "entry-2"),
                ("entry-1", "entry-2"),
            ):
                fleet.fabric.cut(one, other)
            assert await cancel_in_time(fleet, "entry-1") is CancelOutcome.CANCELLED
            assert await first == JobState.CANCELLED
            await asyncio.sleep(RESUBMIT_AFTER_S)
            before = len(fleet.runs.started)
            assert await fleet.submit("entry-2", build_job(fleet)) == JobState.CANCELLED
            assert len(fleet.runs.started) == before

        run_fleet(scenario)

    def test_is_of_an_unknown_job_only_if_all_peers_have_answered(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            assert await cancel_in_time(fleet, "entry-1") is CancelOutcome.UNKNOWN
            cut_off(fleet, "entry-2")
            fleet.fabric.cut("entry-1", "side-0")
            assert await cancel_in_time(fleet, "entry-1") is CancelOutcome.UNCONFIRMED

        run_fleet(scenario)

    def test_does_not_wait_for_processes_that_were_lost_long_ago(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            await fleet.kill_entry("entry-0")
            await fleet.kill_side("side-0")
            await asyncio.sleep(FORGET_MS / 1000 + 2.0)
            async with asyncio.timeout(0.1):
                assert await fleet.entries["entry-1"].cancel(JOB) is CancelOutcome.UNKNOWN

        run_fleet(scenario)
