"""Run the code of entry and side processes over stand-ins, in one event loop."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable

import msgspec

from currantbarrow.entry import EntryNode, EntryOptions
from currantbarrow.logservice import (
    CLASS_STREAM,
    ClassChanged,
    ClassDefinition,
    encode_record,
)
from currantbarrow.observe import EventRing, HybridClock, MetricsRegistry
from currantbarrow.policy import Policies, create_policies
from currantbarrow.protocol import Hello
from currantbarrow.side import SideNode, SideOptions
from currantbarrow.standins.memory_log import LogView, MemoryLog
from currantbarrow.standins.memory_network import MemoryFabric, MemoryNetwork
from currantbarrow.standins.upstream import MemoryUpstream, StartCounter
from currantbarrow.types import Clock

__all__ = ["EntryProcess", "Fleet", "FleetPlan", "LoopClock", "SideProcess"]

START_WALL_MS = 1_760_000_000_000
ANNOUNCE_MS = 1000.0
READY_POLL_MS = 20.0
# The number of side processes that each entry has as peers, beside the other entries.
SIDES_AS_PEERS = 3
PoliciesFactory = Callable[[random.Random, str], Policies]


class LoopClock:
    """Run a clock on the time of the event loop, so that a virtual loop gives virtual time."""

    def __init__(self, skew_ms: float = 0.0) -> None:
        self.skew_ms = skew_ms
        # How long the host has been suspended in all.
        self.suspended_ms = 0.0
        self.running = asyncio.Event()
        self.running.set()

    def monotonic_ms(self) -> float:
        """Return the loop's time in milliseconds, and the time for which the host was suspended."""
        return self.steady_ms() + self.suspended_ms

    def steady_ms(self) -> float:
        """Return the loop's time in milliseconds."""
        return asyncio.get_running_loop().time() * 1000

    def wall_ms(self) -> int:
        """Return the wall clock time for the loop's time, with the clock's skew."""
        return int(START_WALL_MS + self.skew_ms + self.monotonic_ms())

    async def sleep_ms(self, delay_ms: float) -> None:
        """Wait for a number of milliseconds, and then until the process is not paused."""
        await asyncio.sleep(delay_ms / 1000)
        await self.running.wait()


class FleetPlan(msgspec.Struct, frozen=True):
    """Describe the size of a fleet of stand-ins, and the delays between them."""

    entries: int = 3
    sides: int = 11
    slots: int = 8
    data_centres: tuple[str, ...] = ("one", "two", "three")
    sides_per_rack: int = 3
    same_centre_delay_ms: float = 0.2
    cross_centre_delay_ms: float = 1.0
    window_ms: float = 600_000.0
    log_retention_ms: float = 86_400_000.0
    peers: bool = True
    seed: int = 1


class EntryProcess:
    """Represent one entry process with its clock and metrics."""

    __slots__ = ("clock", "ended", "metrics", "name", "node")

    def __init__(
        self, name: str, node: EntryNode, clock: LoopClock, metrics: MetricsRegistry
    ) -> None:
        self.name = name
        self.node = node
        self.clock = clock
        self.metrics = metrics
        self.ended = asyncio.Event()


class SideProcess:
    """Represent one side process with its upstream, clock and metrics."""

    __slots__ = (
        "announcing",
        "clock",
        "leaving",
        "lost_messages",
        "metrics",
        "name",
        "node",
        "upstream",
    )

    def __init__(
        self,
        name: str,
        node: SideNode,
        upstream: MemoryUpstream,
        clock: LoopClock,
        metrics: MetricsRegistry,
    ) -> None:
        self.name = name
        self.node = node
        self.upstream = upstream
        self.clock = clock
        self.metrics = metrics
        self.announcing: asyncio.Task[None] | None = None
        self.leaving = False
        # The number of next announcements by the upstream that are lost.
        self.lost_messages = 0


class Fleet:
    """Start, crash, pause and stop processes that run over stand-ins."""

    def __init__(self, plan: FleetPlan, create: PoliciesFactory = create_policies) -> None:
        self.plan = plan
        self.rng = random.Random(plan.seed)
        self.clock: Clock = LoopClock()
        self.fabric = MemoryFabric(random.Random(plan.seed + 1), self._delay_ms)
        self.log = MemoryLog(self.clock, random.Random(plan.seed + 2))
        self.start_counter = StartCounter()
        self.entries: dict[str, EntryProcess] = {}
        self.sides: dict[str, SideProcess] = {}
        self._create_policies = create
        self._incarnations = 0

    async def start(self, classes: dict[str, float]) -> None:
        """Start all processes, create classes by name and target, and wait until ready."""
        for name, target_ms in classes.items():
            await self.set_class(name, target_ms)
        for number in range(self.plan.sides):
            await self.start_side(number)
        for number in range(self.plan.entries):
            await self.start_entry(number)
        await self.wait_ready()

    async def wait_ready(self) -> None:
        """Wait until every entry holds its lease, and running entries own all shards."""
        while not all(self._is_ready(entry.node) for entry in self.entries.values()):
            await self.clock.sleep_ms(READY_POLL_MS)

    async def set_class(self, name: str, target_ms: float, based_on: int = 0) -> None:
        """Append a change of a class, as the command line does."""
        record = ClassChanged(
            f"class-{self.rng.getrandbits(48):x}", name, based_on, ClassDefinition(target_ms)
        )
        await self.log.append(CLASS_STREAM, encode_record(record))

    async def start_entry(self, number: int) -> EntryProcess:
        """Start a new incarnation of an entry process."""
        name = f"entry-{number}"
        clock, metrics, rng = LoopClock(), MetricsRegistry(), self._create_rng()
        options = EntryOptions(
            name,
            self._incarnation(name),
            self._address(name),
            self._data_centre(number),
            f"entry-rack-{number}",
            window_ms=self.plan.window_ms,
            peers=self._peer_addresses(name),
            log_retention_ms=self.plan.log_retention_ms,
        )
        events = EventRing(name, HybridClock(clock))
        node = EntryNode(
            options,
            clock=clock,
            network=MemoryNetwork(self.fabric),
            log=self._create_log_view(name, clock),
            rng=rng,
            metrics=metrics,
            events=events,
            policies=self._create_policies(rng, options.data_centre),
        )
        self.entries[name] = EntryProcess(name, node, clock, metrics)
        await node.start()
        return self.entries[name]

    async def start_side(self, number: int) -> SideProcess:
        """Start a new incarnation of a side process and its upstream's announcements."""
        name = f"side-{number}"
        clock, metrics, rng = LoopClock(), MetricsRegistry(), self._create_rng()
        options = SideOptions(
            name,
            self._incarnation(name),
            self._address(name),
            self._data_centre(number),
            f"rack-{number // self.plan.sides_per_rack}",
            window_ms=self.plan.window_ms,
        )
        upstream = MemoryUpstream(name, clock, rng, self.start_counter)
        node = SideNode(
            options,
            clock=clock,
            network=MemoryNetwork(self.fabric),
            log=self._create_log_view(name, clock),
            upstream=upstream,
            rng=rng,
            metrics=metrics,
            events=EventRing(name, HybridClock(clock)),
        )
        side = SideProcess(name, node, upstream, clock, metrics)
        self.sides[name] = side
        await node.start()
        side.announcing = asyncio.create_task(self._announce(side))
        return side

    async def kill_entry(self, name: str, *, silently: bool = False) -> None:
        """Crash an entry process; if silently, together with its host."""
        entry = self.entries.pop(name)
        entry.ended.set()
        self._drop_host(entry.node.options.incarnation, silently)
        await entry.node.kill()
        self.fabric.resume(name)

    async def drain_entry(self, name: str) -> None:
        """Shut an entry process down gracefully."""
        entry = self.entries.get(name)
        if entry is None:
            return
        await entry.node.drain()
        entry.ended.set()
        if self.entries.get(name) is entry:
            del self.entries[name]

    async def kill_side(self, name: str, *, silently: bool = False) -> None:
        """Crash a side process and its worker; if silently, together with their host."""
        side = self.sides.pop(name)
        self._drop_host(side.node.options.incarnation, silently)
        if side.announcing is not None:
            side.announcing.cancel()
        await side.node.kill()
        self.fabric.resume(name)

    async def drain_side(self, name: str) -> None:
        """Shut a side process and its worker down gracefully."""
        side = self.sides.get(name)
        if side is None:
            return
        side.leaving = True
        await side.node.stop()
        if side.announcing is not None:
            side.announcing.cancel()
        if self.sides.get(name) is side:
            del self.sides[name]

    def leave(self, name: str, lost_messages: int = 0) -> None:
        """Have an upstream announce that it leaves, now and with every later announcement."""
        side = self.sides[name]
        side.leaving = True
        side.lost_messages = lost_messages
        self._announce_once(side)

    def pause(self, name: str) -> None:
        """Freeze a process: it neither receives messages nor wakes up from waits."""
        self._clock_of(name).running.clear()
        self.fabric.pause(name)

    def resume(self, name: str) -> None:
        """Resume a frozen process."""
        self._clock_of(name).running.set()
        self.fabric.resume(name)

    async def stop(self) -> None:
        """Stop all processes."""
        for name in list(self.entries):
            self.resume(name)
            await self.kill_entry(name)
        for name in list(self.sides):
            self.resume(name)
            await self.kill_side(name)

    def _drop_host(self, incarnation: str, silently: bool) -> None:
        self.fabric.drop_stalled_of_process(incarnation)
        if silently:
            self.fabric.silence(incarnation)

    def _clock_of(self, name: str) -> LoopClock:
        if name in self.entries:
            return self.entries[name].clock
        return self.sides[name].clock

    def _is_ready(self, node: EntryNode) -> bool:
        assignment = node.cluster.assignment
        running = {entry.node.options.incarnation for entry in self.entries.values()}
        sides_up = sum(1 for peer in node.sides.peers.values() if peer.up)
        return (
            bool(assignment.owners)
            and set(assignment.owners) == running
            and node.lease.is_held()
            and sides_up == len(self.sides)
            and node.ownership.all_ready()
        )

    async def _announce(self, side: SideProcess) -> None:
        with contextlib.suppress(asyncio.CancelledError):
            while True:
                self._announce_once(side)
                await side.clock.sleep_ms(ANNOUNCE_MS)

    def _announce_once(self, side: SideProcess) -> None:
        if side.lost_messages > 0:
            side.lost_messages -= 1
        elif side.leaving:
            side.node.leave()
        else:
            side.node.announce(self.plan.slots)

    def _create_log_view(self, name: str, clock: LoopClock) -> LogView:
        return LogView(self.log, clock, lambda: self.fabric.is_cut(name, "log"))

    def _delay_ms(self, sender: Hello, receiver: Hello) -> float:
        same_centre = sender.data_centre == receiver.data_centre
        return self.plan.same_centre_delay_ms if same_centre else self.plan.cross_centre_delay_ms

    def _data_centre(self, number: int) -> str:
        return self.plan.data_centres[number % len(self.plan.data_centres)]

    def _incarnation(self, name: str) -> str:
        self._incarnations += 1
        return f"{name}.{self._incarnations}"

    def _address(self, name: str) -> str:
        return f"{name}:7000"

    def _peer_addresses(self, name: str) -> tuple[str, ...]:
        """Return the peers that the settings file of an entry would list."""
        if not self.plan.peers:
            return ()
        names = [f"entry-{number}" for number in range(self.plan.entries)]
        names += [f"side-{number}" for number in range(min(self.plan.sides, SIDES_AS_PEERS))]
        return tuple(self._address(each) for each in names if each != name)

    def _create_rng(self) -> random.Random:
        return random.Random(self.rng.getrandbits(64))
