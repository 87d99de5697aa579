"""Test that an entry which was out of contact orders no job that another entry has accepted."""

from __future__ import annotations

import asyncio

import pytest

from currantbarrow.direct.admission import Refusal
from currantbarrow.direct.model import JobState
from currantbarrow.protocol import Hello, Message
from currantbarrow.protocol.direct import EntryPing
from currantbarrow.standins.direct_fleet import QUEUE, DirectFleet, DirectPlan
from direct_scenarios import run_fleet

JOB = "a" * 16
RUN_MS = 4000.0
# Shorter than the interval of pings, so that no peer learns of the job.
UNREPORTED_S = 0.02
# Longer than the runs of an entry that is out of contact.
ISOLATED_S = 3.0
# The delay of the entry's messages to a peer; longer than the interval of pings.
LATE_MS = 600.0
# More than twice the links that an entry keeps warm, and the time until the others are cold.
LARGE_FLEET_SIDES = 40
SETTLED_S = 8.0


async def isolate(fleet: DirectFleet, name: str) -> None:
    """Cut an entry off from all processes until its runs have ended."""
    others = [each for each in (*fleet.workers, *fleet.entries) if each != name]
    for other in others:
        fleet.fabric.cut(name, other)
    await asyncio.sleep(ISOLATED_S)
    for other in others:
        fleet.fabric.restore(name, other)


async def wait_for_pings(fleet: DirectFleet, name: str) -> None:
    """Wait until each other entry has sent a ping to an entry."""
    senders: set[str] = set()

    def observe(sender: Hello, receiver: Hello, message: Message) -> None:
        if receiver.name == name and isinstance(message, EntryPing):
            senders.add(sender.name)

    fleet.fabric.observers.append(observe)
    while len(senders) < len(fleet.entries) - 1:
        await asyncio.sleep(0.001)


def knows(fleet: DirectFleet, entry: str) -> bool:
    return fleet.entries[entry].history.accepted_elsewhere(JOB) is not None


class TestReturningEntry:
    @pytest.mark.parametrize("resubmitted_s", [-0.05, 0.0, 0.05, 0.15])
    def test_job_resubmitted_as_the_entry_returns_to_a_large_fleet_runs_once(
        self, resubmitted_s: float
    ) -> None:
        """Guard against cold links, which stay open for seconds after they have broken."""

        async def scenario(fleet: DirectFleet) -> None:
            await asyncio.sleep(SETTLED_S)
            spec = fleet.build_job(JOB, 4, RUN_MS)
            first = asyncio.create_task(fleet.submit("entry-0", spec))
            await asyncio.sleep(UNREPORTED_S)
            fleet.fabric.delay("entry-0", "entry-1", LATE_MS)
            isolated = asyncio.create_task(isolate(fleet, "entry-0"))
            await asyncio.sleep(ISOLATED_S + resubmitted_s)
            again = asyncio.create_task(fleet.submit("entry-1", spec))
            assert await again == JobState.COMPLETED
            assert await first == JobState.MOVED
            await isolated

        run_fleet(scenario, DirectPlan(sides=LARGE_FLEET_SIDES))

    @pytest.mark.parametrize("pause_s", [0.0, 0.002, 0.01, 0.05])
    def test_job_resubmitted_to_a_peer_that_does_not_know_of_it_runs_once(
        self, pause_s: float
    ) -> None:
        """Guard against orders after a peer's report that precedes its acceptance of the job."""

        async def scenario(fleet: DirectFleet) -> None:
            spec = fleet.build_job(JOB, 4, RUN_MS)
            first = asyncio.create_task(fleet.submit("entry-0", spec))
            await asyncio.sleep(UNREPORTED_S)
            # The entry's messages arrive late, those of its peers at once.
            fleet.fabric.delay("entry-0", "entry-1", LATE_MS)
            await isolate(fleet, "entry-0")
            await wait_for_pings(fleet, "entry-0")
            await asyncio.sleep(pause_s)
            assert not knows(fleet, "entry-1")
            again = asyncio.create_task(fleet.submit("entry-1", spec))
            assert await again == JobState.COMPLETED
            assert await first == JobState.MOVED

        run_fleet(scenario)

    def test_job_accepted_by_a_peer_that_only_a_third_entry_still_knows_runs_once(self) -> None:
        """Guard against orders after the answer of a peer that has restarted since."""

        async def scenario(fleet: DirectFleet) -> None:
            spec = fleet.build_job(JOB, 4, RUN_MS)
            first = asyncio.create_task(fleet.submit("entry-0", spec))
            await asyncio.sleep(UNREPORTED_S)
            isolated = asyncio.create_task(isolate(fleet, "entry-0"))
            await asyncio.sleep(ISOLATED_S - 0.7)
            again = asyncio.create_task(fleet.submit("entry-1", spec))
            await asyncio.sleep(0.5)
            fleet.fabric.silence(fleet.entries["entry-1"].options.incarnation)
            await fleet.kill_entry("entry-1")
            await fleet.start_entry("entry-1")
            await isolated
            assert await first == JobState.MOVED
            again.cancel()

        run_fleet(scenario)

    def test_unresubmitted_job_is_ordered_once_the_peers_have_answered(self) -> None:
        """Guard against a wait for the next reports of the peers, which may take 3 s."""

        async def scenario(fleet: DirectFleet) -> None:
            spec = fleet.build_job(JOB, 4, RUN_MS)
            first = asyncio.create_task(fleet.submit("entry-0", spec))
            await asyncio.sleep(UNREPORTED_S)
            await isolate(fleet, "entry-0")
            before = len(fleet.runs.started)
            # The links open within some tenths of a second, and the peers answer at once.
            await asyncio.sleep(1.5)
            assert len(fleet.runs.started) == before + 4
            assert await first == JobState.COMPLETED

        run_fleet(scenario)

    def test_job_is_ordered_although_a_peer_has_ended(self) -> None:
        """Guard against jobs that wait for ever for the answer of a peer that has ended."""

        async def scenario(fleet: DirectFleet) -> None:
            spec = fleet.build_job(JOB, 4, RUN_MS)
            first = asyncio.create_task(fleet.submit("entry-0", spec))
            await asyncio.sleep(UNREPORTED_S)
            await fleet.kill_entry("entry-2")
            await isolate(fleet, "entry-0")
            assert await first == JobState.COMPLETED

        run_fleet(scenario)

    @pytest.mark.parametrize("pause_s", [1.5, 2.0, 2.5])
    def test_submission_that_waited_during_a_pause_is_refused(self, pause_s: float) -> None:
        """Guard against the acceptance of a job whose caller has left while it waited."""

        async def scenario(fleet: DirectFleet) -> None:
            spec = fleet.build_job(JOB, 4, RUN_MS)
            for worker in fleet.workers.values():
                worker.faults.lost_stop_share = 1.0
            first = asyncio.create_task(fleet.submit("entry-0", spec))
            await asyncio.sleep(UNREPORTED_S)
            dispatcher = fleet.entries["entry-0"].dispatcher
            dispatcher.abandon(dispatcher.jobs[JOB])
            assert await first == JobState.ABANDONED
            submission = asyncio.create_task(fleet.entries["entry-0"].submit(spec, QUEUE, 0.0))
            await asyncio.sleep(UNREPORTED_S)
            fleet.fabric.pause("entry-0")
            fleet.block_timed_waits("entry-0")
            await asyncio.sleep(pause_s - UNREPORTED_S)
            assert not knows(fleet, "entry-1")
            again = asyncio.create_task(fleet.submit("entry-1", spec))
            await asyncio.sleep(UNREPORTED_S)
            fleet.unblock_timed_waits("entry-0")
            fleet.fabric.resume("entry-0")
            outcome = await submission
            assert isinstance(outcome, Refusal)
            assert outcome.may_have_run
            assert await again == JobState.COMPLETED

        run_fleet(scenario)

    def test_process_that_starts_during_the_isolation_is_asked(self) -> None:
        """Guard against orders before the entry knows of an entry that has started meanwhile."""

        async def scenario(fleet: DirectFleet) -> None:
            spec = fleet.build_job(JOB, 4, RUN_MS)
            first = asyncio.create_task(fleet.submit("entry-0", spec))
            await asyncio.sleep(UNREPORTED_S)
            isolated = asyncio.create_task(isolate(fleet, "entry-0"))
            await asyncio.sleep(ISOLATED_S - 1.0)
            # The directory does not report the new entry to the one that is out of contact.
            del fleet.directory.followers[0]
            await fleet.start_entry("entry-3")
            fleet.fabric.cut("entry-0", "entry-3")
            await asyncio.sleep(0.8)
            again = asyncio.create_task(fleet.submit("entry-3", spec))
            await isolated
            fleet.fabric.restore("entry-0", "entry-3")
            assert await again == JobState.COMPLETED
            assert await first == JobState.MOVED

        run_fleet(scenario, DirectPlan(entries=3))
