"""Test that a task never runs twice at once while a side process or its worker is replaced."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from currantbarrow.direct.instance import RUN_NUMBERS_KEPT, WorkerInstance
from currantbarrow.direct.model import JobState, Resources
from currantbarrow.direct.session import LEASE_MS
from currantbarrow.direct.side import DirectSide, DirectSideOptions
from currantbarrow.direct.worker import Announcement, RunName, RunSpec
from currantbarrow.observe import MetricsRegistry
from currantbarrow.protocol import Hello, Message, Role
from currantbarrow.protocol.direct import RunTasks, TaskOrder
from currantbarrow.standins.direct_fleet import (
    DirectFleet,
    MemoryAnnouncements,
    MemoryDirectory,
)
from currantbarrow.standins.direct_worker import MemoryWorker, RunRecorder
from currantbarrow.standins.fleet import LoopClock
from currantbarrow.standins.virtual import run_virtual
from currantbarrow.types import Link, LinkHandler
from direct_scenarios import RESUBMIT_AFTER_S, run_fleet

LONG_RUN_MS = 3000.0


def submit_long_job(fleet: DirectFleet, entry: str, tasks: int) -> asyncio.Task[JobState]:
    spec = fleet.build_job("e" * 16, tasks, LONG_RUN_MS)
    return asyncio.create_task(fleet.submit(entry, spec))


class TestRestartedSideProcess:
    @staticmethod
    async def resubmit_after_restart(fleet: DirectFleet, restart_after_s: float) -> None:
        """Lose an entry and two of its side processes, restart these, and resubmit its job."""
        first = submit_long_job(fleet, "entry-0", 8)
        await asyncio.sleep(0.5)
        # The side processes don't notice that the entry has ended, so its lease goes on.
        for name in fleet.sides:
            fleet.fabric.cut("entry-0", name)
        await fleet.kill_entry("entry-0")
        await asyncio.sleep(0.5)
        for name in ("side-0", "side-1"):
            await fleet.kill_side(name)
        await asyncio.sleep(restart_after_s)
        for name in ("side-0", "side-1"):
            await fleet.start_side(name)
        await asyncio.sleep(RESUBMIT_AFTER_S - 0.5 - restart_after_s)
        assert await submit_long_job(fleet, "entry-1", 8) == "completed"
        first.cancel()

    def test_job_is_not_cleared_while_stops_of_its_stray_runs_are_lost(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            for name in ("side-0", "side-1"):
                fleet.workers[name].faults.lost_stop_share = 1.0
            await self.resubmit_after_restart(fleet, 0.1)

        run_fleet(scenario)

    def test_job_is_not_cleared_before_the_worker_is_taken_over(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            # Without stored announcements, it waits for the next one of the worker.
            for announcements in fleet.stored_announcements.values():
                announcements.down = True
            await self.resubmit_after_restart(fleet, 0.5)

        run_fleet(scenario)

    def test_job_is_cleared_soon_after_a_restart_although_the_worker_is_gone(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            fleet.workers["side-1"].faults.silent = True
            await fleet.kill_side("side-1")
            await fleet.start_side("side-1")
            await asyncio.sleep(1.5)
            start_s = asyncio.get_running_loop().time()
            assert await fleet.entries["entry-1"].fleet.clear_job("e" * 16)
            assert asyncio.get_running_loop().time() - start_s < 0.1

        run_fleet(scenario)


class TestClearedJob:
    """An entry dies without notice, and its job is resubmitted to another one."""

    @staticmethod
    async def resubmit(fleet: DirectFleet, meanwhile: Callable[[], Awaitable[None]]) -> None:
        first = submit_long_job(fleet, "entry-0", 8)
        await asyncio.sleep(0.5)
        for name in fleet.sides:
            fleet.fabric.cut("entry-0", name)
        await fleet.kill_entry("entry-0")
        resubmitted = asyncio.create_task(asyncio.sleep(RESUBMIT_AFTER_S))
        await meanwhile()
        await resubmitted
        again = submit_long_job(fleet, "entry-1", 8)
        assert await again is JobState.COMPLETED
        first.cancel()

    @pytest.mark.parametrize("killed_after_s", [0.5, 0.6, 0.7])
    def test_job_waits_for_the_leases_of_a_side_process_that_can_not_be_asked(
        self, killed_after_s: float
    ) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            async def kill_sides() -> None:
                await asyncio.sleep(killed_after_s)
                for name in ("side-0", "side-1"):
                    await fleet.kill_side(name)

            await self.resubmit(fleet, kill_sides)

        run_fleet(scenario)

    def test_job_waits_for_leases_while_stops_are_lost(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            async def lose_stops() -> None:
                for worker in fleet.workers.values():
                    worker.faults.lost_stop_share = 1.0

            await self.resubmit(fleet, lose_stops)

        run_fleet(scenario)


class TestDepartedWorker:
    def test_runs_of_a_worker_that_ends_late_are_not_repeated_before(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            job = submit_long_job(fleet, "entry-0", 12)
            await asyncio.sleep(0.5)
            # The answer to its report is lost, so it ends seconds later.
            await fleet.shut_down_worker("side-0", ends_after_ms=2000.0)
            assert await job == "completed"

        run_fleet(scenario)

    def test_runs_of_a_departed_worker_that_loses_stops_are_not_repeated_before(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            job = submit_long_job(fleet, "entry-0", 12)
            await asyncio.sleep(0.5)
            fleet.workers["side-0"].faults.lost_stop_share = 1.0
            await fleet.shut_down_worker("side-0", ends_after_ms=2000.0)
            assert await job == "completed"

        run_fleet(scenario)

    def test_departed_worker_gets_no_new_runs(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            job = submit_long_job(fleet, "entry-0", 12)
            await asyncio.sleep(0.5)
            departing = asyncio.create_task(fleet.shut_down_worker("side-0", ends_after_ms=2000.0))
            await asyncio.sleep(0.001)
            before = len(fleet.runs.started)
            await departing
            assert await job == "completed"
            started = [worker for _, worker in fleet.runs.started[before:]]
            assert started
            assert "worker-0.1" not in started

        run_fleet(scenario)


class TestAnnouncements:
    def test_late_announcement_of_another_worker_does_not_make_a_worker_taken_over_twice(
        self,
    ) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            worker = fleet.workers["side-0"]
            worker.crash()
            late = worker.announcement()
            worker.crash()
            fleet.stored_announcements["side-0"].down = True
            await fleet.kill_side("side-0")
            await fleet.start_side("side-0")
            # The order arrives between the two takeovers, of which the second fences its start.
            worker.faults.late_answers_ms = 55.0
            for announcement in (worker.announcement(), late, worker.announcement()):
                await fleet.sides["side-0"].handle_announcement(announcement)
                await asyncio.sleep(0.02)
            entry = fleet.entries["entry-0"]
            while not any(
                handle.address == "side-0:1" and handle.worker for handle in entry.fleet.handles()
            ):
                await asyncio.sleep(0.0001)
            job = submit_long_job(fleet, "entry-0", 12)
            await asyncio.sleep(0.5)
            worker.faults.late_answers_ms = 0.0
            assert await job == "completed"

        run_fleet(scenario)


class TestStrayRuns:
    def test_run_that_was_not_ordered_does_not_share_the_lease_of_others(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            worker, instance = fleet.workers["side-0"], fleet.sides["side-0"].driver.instance
            assert instance is not None
            submit_long_job(fleet, "entry-0", 16)
            await asyncio.sleep(0.5)
            stray = RunSpec(RunName("f" * 16, 0, 0, 1), f"{LONG_RUN_MS}/1000")
            until_ms = asyncio.get_running_loop().time() * 1000 + 1000.0
            await worker.start(worker.worker, stray, until_ms, instance.token, 100.0)
            assert stray.name.task in fleet.runs.running
            await asyncio.sleep(0.5)
            assert stray.name.task not in fleet.runs.running

        run_fleet(scenario)


class TestRunNumbers:
    def test_numbers_of_the_tasks_used_last_are_kept(self) -> None:
        announcement = Announcement("w", "work", Resources(1000), frozenset(), False, 1)
        instance = WorkerInstance(announcement, 1, 1000.0)
        for index in range(RUN_NUMBERS_KEPT):
            instance.record_number(("a", 0, index), 1)
        instance.record_number(("a", 0, 0), 2)
        instance.record_number(("b", 0, 0), 1)
        assert len(instance.run_numbers) == RUN_NUMBERS_KEPT
        assert instance.run_numbers["a", 0, 0] == 2
        assert ("a", 0, 1) not in instance.run_numbers


class BufferedLink:
    """Represent an entry's link that still delivers received messages after it was aborted."""

    def __init__(self) -> None:
        self.peer = Hello(Role.ENTRY, "entry-0", "entry-0.1")
        self.closed = False
        self.received: asyncio.Queue[Message] = asyncio.Queue()

    def post(self, message: Message) -> None:
        """Ignore a message."""

    async def receive(self) -> Message:
        """Return the next message."""
        return await self.received.get()

    async def close(self) -> None:
        """Close the link."""
        self.closed = True

    def abort(self) -> None:
        """Close the link."""
        self.closed = True


class OneListenerNetwork:
    """Represent the network of a side process that connects to nobody."""

    def __init__(self) -> None:
        self.handlers: list[LinkHandler] = []

    async def connect(self, address: str, hello: Hello) -> Link:
        """Fail, since there is nothing to connect to."""
        raise AssertionError(address)

    async def listen(self, address: str, hello: Hello, handler: LinkHandler) -> str:
        """Keep the handler of links."""
        self.handlers.append(handler)
        return address

    async def stop(self) -> None:
        """Do nothing, as no link is open."""


class TestClosedLinks:
    def test_order_that_was_received_before_the_link_was_aborted_is_not_carried_out(self) -> None:
        async def scenario() -> None:
            recorder, network, clock = RunRecorder(), OneListenerNetwork(), LoopClock()
            worker = MemoryWorker("worker-0", Resources(8000, 8000, 0), recorder, 1000.0)
            worker.start_clock()
            side = DirectSide(
                DirectSideOptions("side-0", "side-0.1", "a", "a", "one", (), 1000.0, 100.0),
                worker,
                clock=clock,
                network=network,
                metrics=MetricsRegistry(),
                directory=MemoryDirectory(),
                announcements=MemoryAnnouncements(),
            )
            await side.start()
            await side.handle_announcement(worker.announcement())
            await asyncio.sleep(0.1)
            link = BufferedLink()
            serving = asyncio.ensure_future(network.handlers[0](link))
            for index in range(2):
                order = TaskOrder(0, index, 1, 1000, 64, 0, 3000.0, 500.0)
                orders = RunTasks(clock.monotonic_ms(), index + 1, "e" * 16, "3000/1000", [order])
                link.received.put_nowait(orders)
                # No report is acknowledged, so the link is aborted before the second order.
                await asyncio.sleep((LEASE_MS + 200.0) / 1000)
                assert link.closed
            assert len(recorder.started) == 1
            assert recorder.running == {}
            serving.cancel()
            await side.stop()
            worker.stop_clock()

        run_virtual(scenario())

    def test_order_on_an_earlier_link_is_not_carried_out_after_the_new_one_reported(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            for name in fleet.sides:
                fleet.fabric.delay("entry-0", name, 300.0)
            job = submit_long_job(fleet, "entry-0", 12)
            await asyncio.sleep(0.1)
            for handle in fleet.entries["entry-0"].fleet.handles():
                if handle.address in ("side-0:1", "side-1:1"):
                    assert handle.ordered_tasks
                    handle.link.abort()
            for name in fleet.sides:
                fleet.fabric.delay("entry-0", name, 0.0)
            assert await job == "completed"

        run_fleet(scenario)
