"""Run a fleet of real daemons and stand-ins in one process, over loopback sockets."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

import msgspec

from currantbarrow.entry.main import EntryDaemon, start_entry
from currantbarrow.listening import bind_address, bound_address
from currantbarrow.load.settings_set import EPHEMERAL, SettingsSet
from currantbarrow.load.traffic import Traffic, count_traffic
from currantbarrow.logservice import ClassDefinition
from currantbarrow.observe import Event
from currantbarrow.settings import read_token
from currantbarrow.side.main import SideDaemon, start_side
from currantbarrow.standins.log_main import LogStandin
from currantbarrow.standins.upstream import StartCounter
from currantbarrow.standins.worker_main import WorkerStandin

__all__ = ["LoopbackFleet", "start_loopback_fleet"]

LOOK_S = 0.02
READY_LIMIT_S = 20.0


class LoopbackFleet:
    """Hold the daemons of one user's fleet."""

    def __init__(self, settings: SettingsSet) -> None:
        self.settings = settings
        self.start_counter = StartCounter()
        self.entries: list[EntryDaemon] = []
        self.sides: list[SideDaemon] = []

    @property
    def slots(self) -> int:
        """Return the slots of all workers."""
        return sum(worker.slots for worker in self.settings.workers)

    @property
    def entry_urls(self) -> list[str]:
        """Return where callers reach the entries."""
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
        """Return the messages that all processes sent so far."""
        books = [entry.metrics for entry in self.entries] + [side.book for side in self.sides]
        return count_traffic(book.counters for book in books)

    def events(self, since_ms: int = 0) -> list[Event]:
        """Return the events of all processes from a wall clock time on."""
        rings = [entry.node.events for entry in self.entries]
        rings += [side.events for side in self.sides]
        return [event for ring in rings for event in ring.select(since_ms=since_ms)]

    async def _wait(self, holds: Callable[[EntryDaemon], bool]) -> None:
        async with asyncio.timeout(READY_LIMIT_S):
            while not all(holds(entry) for entry in self.entries):
                await asyncio.sleep(LOOK_S)

    def _is_ready(self, entry: EntryDaemon) -> bool:
        node = entry.node
        owners = set(node.cluster.assignment.owners)
        sides_up = len(node.sides.views())
        settled = node.ownership.all_ready() and node.lease.is_held()
        return len(owners) == len(self.entries) and sides_up == len(self.sides) and settled


@contextlib.asynccontextmanager
async def start_loopback_fleet(settings: SettingsSet) -> AsyncIterator[LoopbackFleet]:
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


async def _start_log(stack: contextlib.AsyncExitStack, settings: SettingsSet) -> str:
    listener = bind_address(EPHEMERAL, "address")
    log = LogStandin(settings.log, listener)
    await log.start()
    stack.push_async_callback(log.stop)
    return f"http://{bound_address(listener)}"


async def _start_side(
    stack: contextlib.AsyncExitStack, fleet: LoopbackFleet, number: int, log_url: str
) -> None:
    listener = bind_address(EPHEMERAL, "address")
    upstream_url = f"http://{bound_address(listener)}"
    settings = fleet.settings.side_on(number, log_url, upstream_url)
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
    settings = fleet.settings.entry_on(number, log_url)
    entry = start_entry(settings, read_token(settings.token_file))
    await entry.start(settings)
    stack.push_async_callback(entry.stop)
    fleet.entries.append(entry)
