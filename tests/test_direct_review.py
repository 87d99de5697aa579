"""Test sequences of several faults in which a task could run twice at once."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from types import SimpleNamespace
from typing import Any, TypeVar, cast

import pytest

from currantbarrow.background import BackgroundTasks
from currantbarrow.cluster import PanelMember
from currantbarrow.direct.runs import Run
from currantbarrow.direct.worker import PollResult, RunName, RunSpec, StartAnswer, WorkerControl
from currantbarrow.entry.ownership import Ownership, OwnershipOptions
from currantbarrow.observe import MetricsRegistry
from currantbarrow.protocol import CloseVersion, Confirm, LastSeen, Reply
from currantbarrow.standins.direct_fleet import DirectFleet
from currantbarrow.standins.fleet import LoopClock
from currantbarrow.standins.virtual import run_virtual
from direct_scenarios import run_fleet

LONG_RUN_MS = 6000.0
# Longer than any of the scenarios.
VERY_LONG_RUN_MS = 30_000.0
ValueT = TypeVar("ValueT")


class FreezableControl:
    """Control a worker from a process that can be frozen: it neither sends nor reads meanwhile."""

    def __init__(self, control: WorkerControl, running: asyncio.Event) -> None:
        self._control = control
        self._running = running

    async def start(
        self, worker: str, run: RunSpec, lease_until_ms: float, token: int, timeout_ms: float
    ) -> StartAnswer:
        await self._running.wait()
        try:
            return await self._control.start(worker, run, lease_until_ms, token, timeout_ms)
        finally:
            await self._running.wait()

    async def stop(self, worker: str, run: RunName, token: int, timeout_ms: float) -> bool:
        await self._running.wait()
        try:
            return await self._control.stop(worker, run, token, timeout_ms)
        finally:
            await self._running.wait()

    async def poll(
        self,
        worker: str,
        token: int,
        *,
        acknowledged_end: int,
        lease_until_ms: float | None,
        wait_ms: float,
        timeout_ms: float,
    ) -> PollResult | None:
        await self._running.wait()
        try:
            return await self._control.poll(
                worker,
                token,
                acknowledged_end=acknowledged_end,
                lease_until_ms=lease_until_ms,
                wait_ms=wait_ms,
                timeout_ms=timeout_ms,
            )
        finally:
            await self._running.wait()


class FreezableTasks(BackgroundTasks):
    """Start tasks only while the process is not frozen."""

    __slots__ = ("_running",)

    def __init__(self, running: asyncio.Event) -> None:
        super().__init__(MetricsRegistry())
        self._running = running

    def spawn(self, coroutine: Coroutine[Any, Any, ValueT]) -> asyncio.Task[ValueT]:
        return super().spawn(self._run(coroutine))

    async def _run(self, coroutine: Coroutine[Any, Any, ValueT]) -> ValueT:
        await self._running.wait()
        return await coroutine


class FreezableSide:
    """Restart a side process so that it can be frozen: its timers, tasks, links and calls."""

    def __init__(self, fleet: DirectFleet, name: str) -> None:
        self.name = name
        self.running = asyncio.Event()
        self._fleet = fleet

    async def start(self) -> None:
        """Restart the side process, and wait until entries have connected to it."""
        fleet, shared_clock = self._fleet, self._fleet.clock
        await fleet.kill_side(self.name)
        fleet.clock = LoopClock()
        self.running = fleet.clock.running
        await fleet.start_side(self.name)
        fleet.clock = shared_clock
        driver = fleet.sides[self.name].driver
        driver._background = FreezableTasks(self.running)
        driver._commands._control = FreezableControl(driver._commands._control, self.running)
        await asyncio.sleep(3.0)

    def freeze(self) -> None:
        """Stop the process; what others send to it arrives when it continues."""
        self.running.clear()
        self._fleet.fabric.pause(self.name)

    def thaw(self) -> None:
        """Let the process continue."""
        self._fleet.fabric.resume(self.name)
        self.running.set()


def submit(fleet: DirectFleet, entry: str, run_ms: float, tasks: int = 8) -> asyncio.Task[object]:
    spec = fleet.build_job("e" * 16, tasks, run_ms)
    return asyncio.create_task(fleet.submit(entry, spec))


class TestFrozenSideProcess:
    """A side process is frozen, and its worker carries out no stop."""

    @pytest.mark.parametrize("frozen_s", [0.5, 0.7, 0.9])
    def test_overdue_run_is_not_prolonged_by_the_closing_of_its_link(self, frozen_s: float) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            side = FreezableSide(fleet, "side-0")
            await side.start()
            submit(fleet, "entry-0", LONG_RUN_MS, 12)
            await asyncio.sleep(1.0)
            assert fleet.sides["side-0"].driver.runs()
            fleet.workers["side-0"].faults.lost_stop_share = 1.0
            # The orders expire in 0.8 s, while the process is frozen.
            fleet.fabric.cut("entry-0", "side-0")
            await asyncio.sleep(0.5)
            side.freeze()
            await asyncio.sleep(frozen_s)
            side.thaw()
            await asyncio.sleep(4.0)

        run_fleet(scenario)

    def test_order_is_not_started_after_its_lease_has_expired(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            side = FreezableSide(fleet, "side-0")
            await side.start()
            ordered = asyncio.Event()
            driver = fleet.sides["side-0"].driver
            submit_run = driver.submit

            def submit_and_freeze(run: Run) -> None:
                submit_run(run)
                # The process stops before the task that sends the start has run.
                side.freeze()
                ordered.set()

            driver.submit = submit_and_freeze  # type: ignore[method-assign]
            submit(fleet, "entry-0", LONG_RUN_MS, 12)
            await ordered.wait()
            fleet.workers["side-0"].faults.lost_stop_share = 1.0
            await asyncio.sleep(2.6)
            side.thaw()
            await asyncio.sleep(3.0)

        run_fleet(scenario)


class TestIsolatedEntry:
    """An entry loses all its links, its job is submitted to another one, and the links return."""

    @staticmethod
    async def isolate(
        fleet: DirectFleet, seconds: float, meanwhile: Callable[[], Awaitable[None]]
    ) -> None:
        submit(fleet, "entry-0", VERY_LONG_RUN_MS)
        await asyncio.sleep(1.5)
        others = [*fleet.sides, "entry-1", "entry-2"]
        for name in others:
            fleet.fabric.cut("entry-0", name)
        began_s = asyncio.get_running_loop().time()
        await meanwhile()
        submit(fleet, "entry-1", VERY_LONG_RUN_MS)
        await asyncio.sleep(began_s + seconds - asyncio.get_running_loop().time())
        for name in others:
            fleet.fabric.restore("entry-0", name)
        await asyncio.sleep(6.0)

    @pytest.mark.parametrize("isolated_s", [5.0, 9.0, 13.0, 15.0])
    def test_entry_that_returns_does_not_run_a_job_that_another_has_taken_over(
        self, isolated_s: float
    ) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            await self.isolate(fleet, isolated_s, lambda: asyncio.sleep(2.5))

        run_fleet(scenario)

    @pytest.mark.parametrize("isolated_s", [5.0, 7.0])
    def test_entry_that_returns_does_not_run_a_job_that_a_restarted_one_has_accepted(
        self, isolated_s: float
    ) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            async def restart() -> None:
                await fleet.kill_entry("entry-1")
                await asyncio.sleep(1.0)
                await fleet.start_entry("entry-1")
                await asyncio.sleep(1.5)

            await self.isolate(fleet, isolated_s, restart)

        run_fleet(scenario)


class PanelLink:
    """Answer as a panel member whose answers take some time."""

    def __init__(self, member: PanelMember, delay_ms: float) -> None:
        self._member = member
        self._delay_ms = delay_ms

    async def call(
        self, create: Callable[[int], Any], answer_type: type[Reply], timeout_ms: float
    ) -> Reply:
        """Return the member's answer to a call that takes the delay to arrive."""
        call = create(1)
        if isinstance(call, CloseVersion):
            return self._member.close(call)
        await asyncio.sleep(self._delay_ms / 1000)
        assert isinstance(call, LastSeen)
        return self._member.last_seen(call)


class TestOwnerOfShards:
    """An entry takes over shards of another one, whose lease is confirmed by a panel."""

    @staticmethod
    def create_ownership(
        clock: LoopClock, members: dict[str, PanelMember], delay_ms: float, reported: int
    ) -> Ownership:
        """Return the ownership of an entry that has read that version 9 follows version 5."""
        state = SimpleNamespace(
            panels={5: tuple(members), 9: tuple(members)},
            version_owners={5: ("former",), 9: ("self",)},
            assignment=SimpleNamespace(closed_version=0),
            is_proven_gone=lambda incarnation: False,
        )
        peers = {
            name: SimpleNamespace(rpc=PanelLink(member, delay_ms))
            for name, member in members.items()
        }
        return Ownership(
            "self",
            cast(Any, state),
            OwnershipOptions(),
            clock=clock,
            metrics=MetricsRegistry(),
            events=cast(Any, None),
            pool=cast(Any, SimpleNamespace(peers=peers)),
            release_shards=lambda lost, transferable: None,
            is_down=lambda incarnation: True,
            reported_version=lambda incarnation: reported,
        )

    @pytest.mark.parametrize("delay_ms", [200.0, 400.0])
    def test_lease_of_former_owner_ends_no_sooner_than_its_last_confirmation_allows(
        self, delay_ms: float
    ) -> None:
        async def scenario() -> None:
            clock = LoopClock()
            members = {name: PanelMember(clock) for name in ("a", "b", "c")}
            ownership = self.create_ownership(clock, members, delay_ms, reported=5)
            await asyncio.sleep(1.0)
            for member in members.values():
                assert member.confirm(Confirm(1, 5, "former")).accepted
            confirmed_ms = clock.monotonic_ms()
            end_ms = await ownership._close_and_find_lease_end(9, {"former"})
            assert end_ms >= confirmed_ms + OwnershipOptions().lease_ms

        run_virtual(scenario())

    def test_owner_that_has_not_read_the_next_assignment_is_still_active(self) -> None:
        async def scenario() -> None:
            # The owner has read a record after the assignment 5, but not the assignment 9.
            ownership = self.create_ownership(LoopClock(), {}, 0.0, reported=7)
            assert not ownership._has_no_active_owner(5)

        run_virtual(scenario())


class TestIsolatedSideProcess:
    @pytest.mark.parametrize("resubmitted_s", [1.3, 1.6])
    def test_job_of_a_dead_entry_waits_for_a_side_process_that_has_only_lost_its_links(
        self, resubmitted_s: float
    ) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            submit(fleet, "entry-0", LONG_RUN_MS, 12)
            await asyncio.sleep(1.0)
            assert fleet.sides["side-0"].driver.runs()
            fleet.workers["side-0"].faults.lost_stop_share = 1.0
            for name in fleet.entries:
                fleet.fabric.cut(name, "side-0")
            for handle in fleet.entries["entry-1"].fleet.handles():
                if handle.address == "side-0:1":
                    handle.link.abort()
            await fleet.kill_entry("entry-0")
            await asyncio.sleep(resubmitted_s)
            submit(fleet, "entry-1", LONG_RUN_MS, 12)
            await asyncio.sleep(4.0)

        run_fleet(scenario)


class TestLostStartAndStops:
    def test_run_that_can_neither_be_confirmed_nor_stopped_is_given_up_with_its_lease(
        self,
    ) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            faults = fleet.workers["side-0"].faults
            faults.late_starts, faults.late_ms, faults.lost_stop_share = 100, 60_000.0, 1.0
            job = submit(fleet, "entry-0", 200.0, 16)
            await asyncio.sleep(5.0)
            assert job.done()

        run_fleet(scenario)
