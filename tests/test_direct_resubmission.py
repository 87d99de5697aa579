"""Test that a job submitted again after it ended at an entry never runs beside its earlier runs."""

from __future__ import annotations

import asyncio

import pytest

from currantbarrow.direct.admission import Refusal
from currantbarrow.direct.history import RECENT_JOBS_MS, RETENTION_MS, JobHistory
from currantbarrow.direct.model import JobSpec, JobState
from currantbarrow.direct.standings import CancelOutcome
from currantbarrow.protocol.direct import Standing, TakenRow
from currantbarrow.standins.direct_fleet import QUEUE, DirectFleet, DirectPlan
from currantbarrow.standins.fleet import LoopClock
from currantbarrow.standins.virtual import run_virtual
from direct_scenarios import RESUBMIT_AFTER_S, run_fleet

JOB = "a" * 16
RUN_MS = 3000.0
# Long enough for the peers to learn which entry has the job.
RUNNING_S = 0.5


def submit(fleet: DirectFleet, entry: str, spec: JobSpec) -> asyncio.Task[JobState]:
    return asyncio.create_task(fleet.submit(entry, spec))


def lose_stops(fleet: DirectFleet) -> None:
    for worker in fleet.workers.values():
        worker.faults.lost_stop_share = 1.0


def end_job(fleet: DirectFleet, entry: str, state: JobState) -> None:
    dispatcher = fleet.entries[entry].dispatcher
    if state is JobState.ABANDONED:
        dispatcher.abandon(dispatcher.jobs[JOB])
    else:
        dispatcher.move(dispatcher.jobs[JOB])


class TestSameEntry:
    @pytest.mark.parametrize("pause_ms", [40, 50, 60, 70])
    def test_late_end_of_an_earlier_run_is_not_taken_for_the_end_of_the_new_one(
        self, pause_ms: float
    ) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            spec = fleet.build_job(JOB, 8, RUN_MS)
            first = submit(fleet, "entry-0", spec)
            await asyncio.sleep(RUNNING_S)
            end_job(fleet, "entry-0", JobState.ABANDONED)
            await asyncio.sleep(pause_ms / 1000)
            assert await fleet.submit("entry-0", spec) == JobState.COMPLETED
            assert await first == JobState.ABANDONED

        # The reports take longer than the stops.
        run_fleet(scenario, DirectPlan(entries=1, sides=2, delay_ms=20.0))

    @pytest.mark.parametrize("pause_ms", [0, 20, 40])
    def test_new_run_waits_for_the_end_of_an_earlier_one_that_is_being_stopped(
        self, pause_ms: float
    ) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            spec = fleet.build_job(JOB, 4, RUN_MS)
            submit(fleet, "entry-0", spec)
            await asyncio.sleep(RUNNING_S)
            end_job(fleet, "entry-0", JobState.ABANDONED)
            await asyncio.sleep(pause_ms / 1000)
            before = len(fleet.runs.started)
            again = submit(fleet, "entry-0", spec)
            # A round trip, the stop, and another one for the orders.
            await asyncio.sleep(0.15)
            assert len(fleet.runs.started) == before + 4
            assert await again == JobState.COMPLETED

        run_fleet(scenario, DirectPlan(delay_ms=20.0))

    def test_new_run_waits_for_the_end_of_an_earlier_one_behind_a_lost_link(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            spec = fleet.build_job(JOB, 4, RUN_MS)
            submit(fleet, "entry-0", spec)
            await asyncio.sleep(RUNNING_S)
            for side in ("side-0", "side-1"):
                fleet.fabric.cut("entry-0", side)
            end_job(fleet, "entry-0", JobState.ABANDONED)
            assert await fleet.submit("entry-0", spec) == JobState.COMPLETED

        run_fleet(scenario)

    @pytest.mark.parametrize("state", [JobState.ABANDONED, JobState.MOVED])
    def test_new_run_waits_for_the_end_of_an_earlier_one_whose_stop_is_lost(
        self, state: JobState
    ) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            lose_stops(fleet)
            spec = fleet.build_job(JOB, 4, RUN_MS)
            first = submit(fleet, "entry-0", spec)
            await asyncio.sleep(RUNNING_S)
            end_job(fleet, "entry-0", state)
            assert await fleet.submit("entry-0", spec) == JobState.COMPLETED
            assert await first == state

        run_fleet(scenario)

    def test_job_cancelled_while_it_waits_for_earlier_runs_is_not_run(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            lose_stops(fleet)
            spec = fleet.build_job(JOB, 4, RUN_MS)
            submit(fleet, "entry-0", spec)
            await asyncio.sleep(RUNNING_S)
            end_job(fleet, "entry-0", JobState.ABANDONED)
            waiting = submit(fleet, "entry-0", spec)
            await asyncio.sleep(0.3)
            assert await fleet.entries["entry-0"].cancel(JOB) is CancelOutcome.CANCELLED
            assert await waiting == JobState.REFUSED
            assert len(fleet.runs.started) == 4

        run_fleet(scenario)


class TestOtherEntry:
    @pytest.mark.parametrize("state", [JobState.ABANDONED, JobState.MOVED])
    def test_release_of_an_ended_job_waits_for_runs_whose_stops_are_lost(
        self, state: JobState
    ) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            lose_stops(fleet)
            spec = fleet.build_job(JOB, 4, RUN_MS)
            first = submit(fleet, "entry-0", spec)
            await asyncio.sleep(RUNNING_S)
            end_job(fleet, "entry-0", state)
            assert await fleet.submit("entry-1", spec) == JobState.COMPLETED
            assert await first == state

        run_fleet(scenario)

    def test_submission_that_waits_for_earlier_runs_gives_way_to_one_at_another_entry(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            lose_stops(fleet)
            spec = fleet.build_job(JOB, 4, RUN_MS)
            submit(fleet, "entry-0", spec)
            await asyncio.sleep(RUNNING_S)
            end_job(fleet, "entry-0", JobState.ABANDONED)
            waiting = submit(fleet, "entry-0", spec)
            await asyncio.sleep(0.9)
            assert await fleet.submit("entry-1", spec) == JobState.COMPLETED
            assert await waiting == JobState.REFUSED

        run_fleet(scenario)

    def test_submission_that_waits_gives_way_to_an_entry_that_could_not_ask_for_a_release(
        self,
    ) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            spec = fleet.build_job(JOB, 4, RUN_MS)
            submit(fleet, "entry-0", spec)
            await asyncio.sleep(RUNNING_S)
            for other in ("side-0", "side-1", "entry-1"):
                fleet.fabric.cut("entry-0", other)
            end_job(fleet, "entry-0", JobState.ABANDONED)
            waiting = submit(fleet, "entry-0", spec)
            await asyncio.sleep(RESUBMIT_AFTER_S)
            again = submit(fleet, "entry-1", spec)
            await asyncio.sleep(0.1)
            fleet.fabric.restore("entry-0", "entry-1")
            assert await again == JobState.COMPLETED
            assert await waiting in (JobState.REFUSED, JobState.MOVED)

        run_fleet(scenario)

    def test_new_run_waits_for_one_behind_links_that_both_entries_have_lost(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            for side in ("side-0", "side-1"):
                fleet.workers[side].faults.lost_stop_share = 1.0
            spec = fleet.build_job(JOB, 4, 4 * RUN_MS)
            first = submit(fleet, "entry-0", spec)
            await asyncio.sleep(RUNNING_S)
            for side in ("side-0", "side-1"):
                fleet.fabric.cut("entry-1", side)
            # Longer than any lease, so that entry 1 waits for none behind its lost links.
            await asyncio.sleep(4.0)
            for side in ("side-0", "side-1"):
                fleet.fabric.cut("entry-0", side)
            again = submit(fleet, "entry-1", spec)
            assert await first == JobState.MOVED
            assert await again == JobState.COMPLETED

        run_fleet(scenario)

    def test_runs_of_an_unreachable_entry_whose_stops_are_lost_end_before_new_ones(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            lose_stops(fleet)
            spec = fleet.build_job(JOB, 4, 2 * RUN_MS)
            submit(fleet, "entry-0", spec)
            await asyncio.sleep(RUNNING_S)
            fleet.fabric.cut("entry-0", "entry-1")
            await asyncio.sleep(RESUBMIT_AFTER_S)
            assert await fleet.submit("entry-1", spec) == JobState.COMPLETED

        run_fleet(scenario)

    def test_side_process_whose_link_was_lost_before_it_could_clear_a_job_is_asked_again(
        self,
    ) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            spec = fleet.build_job(JOB, 1, 2 * RUN_MS)
            submit(fleet, "entry-0", spec)
            await asyncio.sleep(RUNNING_S)
            (worker,) = fleet.runs.running.values()
            side = next(name for name, each in fleet.workers.items() if each.worker == worker)
            fleet.fabric.cut("entry-0", "entry-1")
            await asyncio.sleep(RESUBMIT_AFTER_S)
            fleet.fabric.cut("entry-1", side)
            again = submit(fleet, "entry-1", spec)
            while not fleet.fabric.sent["ClearJob"]:
                await asyncio.sleep(0.01)
            for handle in fleet.entries["entry-1"].fleet.handles():
                if handle.address == f"{side}:1":
                    handle.link.abort()
            fleet.fabric.restore("entry-1", side)
            assert await again == JobState.COMPLETED

        run_fleet(scenario)

    @pytest.mark.parametrize("restart_after_s", [0.1, 0.6, 1.2])
    def test_restarted_entry_is_not_asked_for_the_jobs_of_its_predecessor(
        self, restart_after_s: float
    ) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            for side in ("side-0", "side-1"):
                fleet.workers[side].faults.lost_stop_share = 1.0
            spec = fleet.build_job(JOB, 8, RUN_MS)
            submit(fleet, "entry-0", spec)
            await asyncio.sleep(RUNNING_S)
            # The side processes don't notice that the entry ends.
            for side in fleet.sides:
                fleet.fabric.cut("entry-0", side)
            await fleet.kill_entry("entry-0")
            await asyncio.sleep(restart_after_s)
            for side in fleet.sides:
                fleet.fabric.restore("entry-0", side)
            await fleet.start_entry("entry-0")
            await asyncio.sleep(RESUBMIT_AFTER_S - restart_after_s)
            assert await fleet.submit("entry-1", spec) == JobState.COMPLETED

        run_fleet(scenario)


class TestRefusals:
    def test_refusal_says_whether_tasks_may_have_run_after_an_earlier_submission(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            earlier, new = (fleet.build_job(key * 16, 2, RUN_MS) for key in "bc")
            submit(fleet, "entry-0", earlier)
            await asyncio.sleep(RUNNING_S)
            dispatcher = fleet.entries["entry-0"].dispatcher
            dispatcher.abandon(dispatcher.jobs[earlier.job_id])
            await asyncio.sleep(RUNNING_S)
            for side in list(fleet.sides):
                await fleet.kill_side(side)
            await asyncio.sleep(RUNNING_S)
            for spec, may_have_run in ((earlier, True), (new, False)):
                outcome = await fleet.entries["entry-0"].submit(spec, QUEUE, 0.0)
                assert isinstance(outcome, Refusal)
                assert outcome.may_have_run == may_have_run

        run_fleet(scenario)

    @pytest.mark.parametrize("entry", ["entry-0", "entry-1"])
    def test_refusal_of_a_draining_entry_says_so_too(self, entry: str) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            earlier, new = (fleet.build_job(key * 16, 2, RUN_MS) for key in "bc")
            submit(fleet, "entry-0", earlier)
            await asyncio.sleep(RUNNING_S)
            dispatcher = fleet.entries["entry-0"].dispatcher
            dispatcher.abandon(dispatcher.jobs[earlier.job_id])
            await fleet.entries[entry].drain()
            for spec, may_have_run in ((earlier, True), (new, False)):
                outcome = await fleet.entries[entry].submit(spec, QUEUE, 0.0)
                assert isinstance(outcome, Refusal)
                assert outcome.reason == "draining"
                assert outcome.may_have_run == may_have_run

        run_fleet(scenario)


class TestLongJobs:
    """A job is open for longer than entries report or keep its acceptance."""

    @staticmethod
    async def submit_again(fleet: DirectFleet, spec: JobSpec) -> None:
        again = submit(fleet, "entry-1", spec)
        await asyncio.sleep(2.0)
        assert len(fleet.runs.running) == 4
        end_job(fleet, "entry-1", JobState.ABANDONED)
        assert await again == JobState.ABANDONED

    def test_entry_that_starts_later_learns_of_an_open_job(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            spec = fleet.build_job(JOB, 4, 3 * RECENT_JOBS_MS)
            first = submit(fleet, "entry-0", spec)
            await asyncio.sleep(RECENT_JOBS_MS / 1000 + 1.0)
            await fleet.kill_entry("entry-1")
            await fleet.start_entry("entry-1")
            await asyncio.sleep(1.0)
            await self.submit_again(fleet, spec)
            assert await first == JobState.MOVED

        run_fleet(scenario)

    def test_entries_do_not_forget_that_a_job_is_open_elsewhere(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            spec = fleet.build_job(JOB, 4, 2 * RETENTION_MS)
            first = submit(fleet, "entry-0", spec)
            await asyncio.sleep(RETENTION_MS / 1000 + 3.0)
            await self.submit_again(fleet, spec)
            assert await first == JobState.MOVED

        run_fleet(scenario)


class TestReportedJobs:
    def test_open_job_is_reported_again_with_its_age_until_it_ends(self) -> None:
        async def scenario() -> None:
            history = JobHistory(LoopClock())
            history.record_accepted(JOB)
            await asyncio.sleep(RECENT_JOBS_MS / 1000 + 1.0)
            history.expire()
            [row] = history.accepted_since(1.0)
            assert row.job == JOB
            assert row.age_ms == pytest.approx(RECENT_JOBS_MS + 1000.0)
            history.record_ended(JOB, Standing.COMPLETED)
            await asyncio.sleep(RECENT_JOBS_MS / 1000 + 1.0)
            history.expire()
            assert history.accepted_since(1.0) == []

        run_virtual(scenario())

    def test_repeated_report_does_not_hide_a_later_acceptance(self) -> None:
        async def scenario() -> None:
            history = JobHistory(LoopClock())
            history.record_peer_jobs("first", "first.1", [TakenRow(JOB, 9000.0)])
            history.record_peer_jobs("later", "later.1", [TakenRow(JOB, 100.0)])
            history.record_peer_jobs("first", "first.1", [TakenRow(JOB, 9200.0)])
            acceptance = history.accepted_elsewhere(JOB)
            assert acceptance is not None
            assert acceptance.address == "later"

        run_virtual(scenario())


class TestSubmissionThatIsNotReceived:
    """A repeated submission was refused as not run, although the first one had been accepted."""

    def test_refusal_says_that_the_job_may_have_run_if_it_was_accepted_before(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            job = asyncio.create_task(fleet.submit("entry-0", fleet.build_job("a", 2, 1000.0)))
            # Longer than the interval at which entries report accepted jobs.
            await asyncio.sleep(0.5)
            entries = fleet.entries.values()
            assert all(each.refuse_unreceived("a", "memory").may_have_run for each in entries)
            assert await job is JobState.COMPLETED
            assert all(each.refuse_unreceived("a", "memory").may_have_run for each in entries)
            assert not any(each.refuse_unreceived("b", "memory").may_have_run for each in entries)

        run_fleet(scenario)
