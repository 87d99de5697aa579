"""Run a fleet of daemons and stand-ins in one process, over loopback sockets."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

import msgspec

from currantbarrow.entry.main import EntryDaemon, start_entry
from currantbarrow.listening import bind_address, bound_address
from currantbarrow.load.fleet_settings import EPHEMERAL_ADDRESS, FleetSettings
from currantbarrow.load.traffic import Traffic, count_traffic
from currantbarrow.logservice import ClassDefinition
from currantbarrow.observe import Event
from currantbarrow.settings import read_token
from currantbarrow.side.main import SideDaemon, start_side
from currantbarrow.standins.log_main import LogStandin
from currantbarrow.standins.upstream import StartCounter
from currantbarrow.standins.worker_main import WorkerStandin

__all__ = ["LoopbackFleet", "start_loopback_fleet"]

POLL_INTERVAL_S = 0.02
READY_TIMEOUT_S = 20.0


class LoopbackFleet:
    """Run the daemons of one user's fleet."""

    def __init__(self, settings: FleetSettings) -> None:
        self.settings = settings
        self.start_counter = StartCounter()
        self.entries: list[EntryDaemon] = []
        self.sides: list[SideDaemon] = []

    @property
    def slots(self) -> int:
        """Return the total number of slots of all workers."""
        return sum(worker.slots for worker in self.settings.workers)

    @property
    def entry_urls(self) -> list[str]:
        """Return the callers' URLs of all entries."""
        return [f"http://{entry.callers_address}" for entry in self.entries]

    async def create_class(self, name: str, target_ms: float) -> None:
        """Create a class and wait until all entries have it."""
        definition = ClassDefinition(target_ms)
        await self.entries[0].node.change_class(name, 0, definition, "loopback")
        await self._wait(lambda entry: entry.node.classes.find(name) is not None)

    async def wait_ready(self) -> None:
        """Wait until every entry owns shards, holds its lease and reaches all workers."""
        await self._wait(self._is_ready)

    def traffic(self) -> Traffic:
        """Return the messages and task starts of all processes so far."""
        registries = [entry.metrics for entry in self.entries] + [side.book for side in self.sides]
        return count_traffic(registry.counters for registry in registries)

    def events(self, since_ms: int = 0) -> list[Event]:
        """Return the events of all processes since a wall-clock time."""
        rings = [entry.node.events for entry in self.entries]
        rings += [side.events for side in self.sides]
        return [event for ring in rings for event in ring.select(since_ms=since_ms)]

    async def _wait(self, condition: Callable[[EntryDaemon], bool]) -> None:
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not all(condition(entry) for entry in self.entries):
                await asyncio.sleep(POLL_INTERVAL_S)

    def _is_ready(self, entry: EntryDaemon) -> bool:
        node = entry.node
        owners = set(node.cluster.assignment.owners)
        sides_up = len(node.sides.views())
        is_serving = node.ownership.all_ready() and node.lease.is_held()
        return len(owners) == len(self.entries) and sides_up == len(self.sides) and is_serving


@contextlib.asynccontextmanager
async def start_loopback_fleet(settings: FleetSettings) -> AsyncIterator[LoopbackFleet]:
    """Start all daemons on ephemeral ports, and stop them at the end."""
    fleet = LoopbackFleet(settings)
    async with contextlib.AsyncExitStack() as stack:
        log_url = await _start_log(stack, settings)
        for number in range(len(settings.sides)):
            await _start_side(stack, fleet, number, log_url)
        for number in range(len(settings.entries)):
            await _start_entry(stack, fleet, number, log_url)
        await fleet.wait_ready()
        yield fleet


async def _start_log(stack: contextlib.AsyncExitStack, settings: FleetSettings) -> str:
    listener = bind_address(EPHEMERAL_ADDRESS, "address")
    log = LogStandin(settings.log, listener)
    await log.start()
    stack.push_async_callback(log.stop)
    return f"http://{bound_address(listener)}"


async def _start_side(
    stack: contextlib.AsyncExitStack, fleet: LoopbackFleet, number: int, log_url: str
) -> None:
    listener = bind_address(EPHEMERAL_ADDRESS, "address")
    upstream_url = f"http://{bound_address(listener)}"
    settings = fleet.settings.settings_for_side(number, log_url, upstream_url)
    side = start_side(settings, read_token(settings.token_file))
    await side.start(settings)
    stack.push_async_callback(side.drain)
    worker_settings = msgspec.structs.replace(
        fleet.settings.workers[number], side_url=f"http://{side.upstream_address}"
    )
    worker = WorkerStandin(worker_settings, fleet.start_counter, listener)
    await worker.start()
    stack.push_async_callback(worker.stop)
    fleet.sides.append(side)


async def _start_entry(
    stack: contextlib.AsyncExitStack, fleet: LoopbackFleet, number: int, log_url: str
) -> None:
    settings = fleet.settings.settings_for_entry(number, log_url)
    entry = start_entry(settings, read_token(settings.token_file))
    await entry.start(settings)
    stack.push_async_callback(entry.stop)
    fleet.entries.append(entry)
