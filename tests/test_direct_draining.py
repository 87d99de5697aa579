"""Test entries that drain while other entries and callers still address their jobs."""

from __future__ import annotations

import asyncio

import pytest

from currantbarrow.direct.ending import EndingJobs
from currantbarrow.direct.entry import DirectEntry
from currantbarrow.direct.model import JobState
from currantbarrow.direct.standings import CancelOutcome
from currantbarrow.standins.direct_fleet import DirectFleet, DirectPlan
from direct_scenarios import RESUBMIT_AFTER_S, run_fleet

# Longer than the interval at which entries exchange pings.
PINGS_EXCHANGED_S = 0.5
# The longest drain that `DirectFleet` configures, and the time until the last answers are sent.
DRAIN_LIMIT_S = 5.6
# Shortly before an entry that drains ceases to accept jobs.
LAST_ACCEPTED_S = 2.75


def known_addresses(entry: DirectEntry) -> set[str]:
    return {row.address for row in entry.known_processes()}


class TestDrainingEntry:
    """Entries that drain used to leave the directory at once, so that peers dropped their links."""

    def test_cancel_at_another_entry_ends_the_job(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            job = asyncio.create_task(fleet.submit("entry-0", fleet.build_job("a" * 16, 3, 4000.0)))
            await asyncio.sleep(PINGS_EXCHANGED_S)
            draining = asyncio.create_task(fleet.entries["entry-0"].drain())
            await asyncio.sleep(PINGS_EXCHANGED_S)
            assert await fleet.entries["entry-1"].cancel("a" * 16) is CancelOutcome.CANCELLED
            assert await asyncio.wait_for(job, 0.2) == "cancelled"
            await draining
            assert len(fleet.runs.started) == 3

        run_fleet(scenario)

    def test_job_accepted_while_draining_is_completed(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            draining = asyncio.create_task(fleet.entries["entry-0"].drain())
            await asyncio.sleep(2.0)
            assert await fleet.submit("entry-0", fleet.build_job("b" * 16, 4, 500.0)) == "completed"
            await draining

        run_fleet(scenario)

    def test_resubmitted_job_moves_to_another_entry(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            spec = fleet.build_job("c" * 16, 3, 4500.0)
            first = asyncio.create_task(fleet.submit("entry-0", spec))
            await asyncio.sleep(PINGS_EXCHANGED_S)
            draining = asyncio.create_task(fleet.entries["entry-0"].drain())
            await asyncio.sleep(RESUBMIT_AFTER_S)
            again = asyncio.create_task(fleet.submit("entry-1", spec))
            await asyncio.wait_for(draining, 2.0)
            assert await first == "moved"
            assert await again == "completed"

        run_fleet(scenario)

    def test_peers_share_the_workers_without_it_and_forget_it_at_the_end(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            peer = fleet.entries["entry-1"]
            job = asyncio.create_task(fleet.submit("entry-0", fleet.build_job("d" * 16, 1, 3500.0)))
            draining = asyncio.create_task(fleet.entries["entry-0"].drain())
            await asyncio.sleep(PINGS_EXCHANGED_S)
            assert peer.dispatcher.entry_count == 2
            assert "entry-0:1" in known_addresses(peer)
            await asyncio.gather(job, draining)
            assert "entry-0:1" not in known_addresses(peer)

        run_fleet(scenario)

    def test_jobs_left_at_the_limit_are_returned_to_their_callers(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            job = asyncio.create_task(fleet.submit("entry-0", fleet.build_job("e" * 16, 2, 9000.0)))
            await asyncio.sleep(0.1)
            async with asyncio.timeout(DRAIN_LIMIT_S):
                await fleet.entries["entry-0"].drain()
                assert await job == "moved"
            await asyncio.sleep(0.2)
            assert not fleet.runs.running

        run_fleet(scenario)

    def test_drain_ends_in_time_while_the_directory_does_not_answer(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            fleet.directory.hangs = True
            async with asyncio.timeout(DRAIN_LIMIT_S):
                await fleet.entries["entry-0"].drain()

        run_fleet(scenario)

    def test_row_removed_by_a_withdrawal_of_the_previous_process_is_published_again(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            entry = fleet.entries["entry-0"]
            await fleet.directory.withdraw(fleet.directory.rows["entry-0:1"])
            await asyncio.sleep(0.1)
            assert "entry-0:1" in fleet.directory.rows
            assert "entry-0:1" in known_addresses(fleet.entries["entry-1"])
            assert entry.is_ready()

        run_fleet(scenario)


class TestRollingStops:
    """An entry used to end while a job that was sent again waited there for its earlier runs."""

    RESTART_S = 0.56
    # The first attempt comes so late in the drain of its entry that the job is left at the limit.
    SENT_AFTER_S = 2.4
    RUN_MS = 3600.0

    async def roll(self, fleet: DirectFleet, gap_s: float) -> int:
        """Stop and start processes in turn, and return the number of interrupted requests."""

        async def restart_entry(name: str) -> int:
            interrupted = await fleet.shut_down_entry(name)
            await asyncio.sleep(self.RESTART_S)
            await fleet.start_entry(name)
            return interrupted

        async def restart_side(name: str) -> int:
            await fleet.shut_down_side(name)
            await asyncio.sleep(self.RESTART_S)
            await fleet.start_side(name)
            return 0

        stops = []
        for name in ("entry-0", "side-0", "side-1", "entry-1", "side-2", "entry-2"):
            restart = restart_entry if name.startswith("entry") else restart_side
            stops.append(asyncio.create_task(restart(name)))
            await asyncio.sleep(gap_s)
        return sum(await asyncio.gather(*stops))

    @pytest.mark.parametrize("gap_ms", range(1200, 2401, 50))
    def test_no_submission_is_cut_off(self, gap_ms: int) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            rolling = asyncio.create_task(self.roll(fleet, gap_ms / 1000))
            await asyncio.sleep(self.SENT_AFTER_S)
            spec = fleet.build_job("5" * 16, 2, self.RUN_MS)
            for entry in ("entry-0", "entry-1", "entry-2"):
                if entry in fleet.entries and await fleet.submit(entry, spec) is JobState.COMPLETED:
                    break
                await asyncio.sleep(RESUBMIT_AFTER_S)
            assert await rolling == 0

        run_fleet(scenario, DirectPlan(sides=3))

    @pytest.mark.parametrize("wait_s", [2.76, 2.8, 2.84, 2.9, 3.0])
    def test_submission_that_waits_past_the_limit_is_not_accepted(
        self, wait_s: float, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def wait(ending: EndingJobs, job_id: str, timeout_ms: float) -> bool:
            await asyncio.sleep(wait_s)
            return True

        async def scenario(fleet: DirectFleet) -> None:
            monkeypatch.setattr(EndingJobs, "wait_for_runs", wait)
            stopping = asyncio.create_task(fleet.shut_down_entry("entry-0"))
            await asyncio.sleep(LAST_ACCEPTED_S)
            spec = fleet.build_job("6" * 16, 2, self.RUN_MS)
            submission = asyncio.create_task(fleet.submit("entry-0", spec))
            await stopping
            assert await submission in (JobState.MOVED, JobState.REFUSED)
            assert not fleet.runs.started

        run_fleet(scenario)


class TestOrdersOfMovedJobs:
    """Side processes reject orders for a job that another entry has cleared."""

    @staticmethod
    def isolate_from_entries(fleet: DirectFleet, name: str) -> None:
        """Cut the links of an entry to all other entries, but to no side process."""
        for other in fleet.entries:
            if other != name:
                fleet.fabric.cut(name, other)

    def test_rejected_order_ends_a_cancelled_job_without_retries(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            job = asyncio.create_task(fleet.submit("entry-0", fleet.build_job("1" * 16, 3, 4000.0)))
            await asyncio.sleep(PINGS_EXCHANGED_S)
            self.isolate_from_entries(fleet, "entry-0")
            await asyncio.sleep(0.1)
            orders_before = fleet.fabric.sent["RunTasks"]
            cancelled = asyncio.create_task(fleet.entries["entry-1"].cancel("1" * 16))
            assert await asyncio.wait_for(job, 2.5) == "cancelled"
            assert await cancelled is CancelOutcome.CANCELLED
            # One message to each worker that had a task.
            assert fleet.fabric.sent["RunTasks"] - orders_before <= 3

        run_fleet(scenario)

    def test_rejected_order_ends_a_job_that_was_taken_over(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            spec = fleet.build_job("2" * 16, 3, 4000.0)
            first = asyncio.create_task(fleet.submit("entry-0", spec))
            await asyncio.sleep(PINGS_EXCHANGED_S)
            self.isolate_from_entries(fleet, "entry-0")
            await asyncio.sleep(RESUBMIT_AFTER_S)
            again = asyncio.create_task(fleet.submit("entry-1", spec))
            assert await asyncio.wait_for(first, 2.5) == "moved"
            assert await again == "completed"

        run_fleet(scenario)

    def test_job_returns_to_the_entry_that_it_was_taken_from(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            spec = fleet.build_job("3" * 16, 2, 3000.0)
            first = asyncio.create_task(fleet.submit("entry-0", spec))
            await asyncio.sleep(PINGS_EXCHANGED_S)
            self.isolate_from_entries(fleet, "entry-0")
            await asyncio.sleep(RESUBMIT_AFTER_S)
            second = asyncio.create_task(fleet.submit("entry-1", spec))
            await first
            for other in ("entry-1", "entry-2"):
                fleet.fabric.restore("entry-0", other)
            await asyncio.sleep(RESUBMIT_AFTER_S)
            # Side processes still reject orders of entry 0 for this job until it clears them.
            assert await fleet.submit("entry-0", spec) == "completed"
            assert await second == "moved"

        run_fleet(scenario)

    def test_entry_that_cleared_a_job_may_order_it_over_a_new_link(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            spec = fleet.build_job("4" * 16, 2, 2500.0)
            first = asyncio.create_task(fleet.submit("entry-0", spec))
            await asyncio.sleep(PINGS_EXCHANGED_S)
            await fleet.kill_entry("entry-0")
            first.cancel()
            await asyncio.sleep(RESUBMIT_AFTER_S)
            again = asyncio.create_task(fleet.submit("entry-1", spec))
            await asyncio.sleep(1.0)
            for handle in fleet.entries["entry-1"].fleet.handles():
                handle.link.abort()
            assert await asyncio.wait_for(again, 6.0) == "completed"

        run_fleet(scenario)
