"""Simulate the operators' records: configurations, and evacuations of data centres."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from currantbarrow.direct.evacuation import EvacuationState
from currantbarrow.direct.model import WorkQueue
from currantbarrow.direct.routing import Configuration

__all__ = ["QUEUE", "MemoryConfigurations"]

QUEUE = WorkQueue("work", "host", "/jobs/", "work", 0, 60.0, 1.6, 3, 0.0)


class _Follower(msgspec.Struct, frozen=True):
    on_document: Callable[[bytes], None]
    on_evacuations: Callable[[EvacuationState], None] | None


class MemoryConfigurations:
    """Publish the operators' records to the processes that are reachable."""

    def __init__(self) -> None:
        self.version = 1
        # The position after the last record, and the data centres evacuated then.
        self.evacuations = EvacuationState(1)
        self.unreachable: set[str] = set()
        self._queues: dict[int, list[WorkQueue]] = {1: [QUEUE]}
        self._followers: dict[str, _Follower] = {}

    def publish(self, queues: list[WorkQueue]) -> None:
        """Publish a new version."""
        self.version += 1
        self._queues[self.version] = queues
        self._append(self.evacuations.data_centres)

    def evacuate(self, data_centre: str) -> None:
        """Request the evacuation of a data centre."""
        self._append(self.evacuations.data_centres | {data_centre})

    def end_evacuation(self, data_centre: str) -> None:
        """Remove the request for the evacuation of a data centre."""
        self._append(self.evacuations.data_centres - {data_centre})

    def cut_off(self, *names: str) -> None:
        """Report nothing more to some processes."""
        self.unreachable.update(names)

    def restore(self, *names: str) -> None:
        """Report to some processes again, beginning with a listing."""
        self.unreachable.difference_update(names)
        for name in names:
            self._report(name)

    def parse(self, document: bytes) -> Configuration:
        """Return the configuration of a version."""
        version = int(document)
        services = frozenset({"work"})
        return Configuration(version, self._queues[version], services, 1 << 18, document)

    def source(self, name: str) -> _Source:
        """Return the configuration source of one process."""
        return _Source(self, name)

    async def follow(
        self,
        name: str,
        on_document: Callable[[bytes], None],
        on_evacuations: Callable[[EvacuationState], None] | None,
    ) -> None:
        """Report the current and each later record to a process until cancelled."""
        follower = self._followers[name] = _Follower(on_document, on_evacuations)
        self._report(name)
        try:
            await asyncio.Event().wait()
        finally:
            if self._followers.get(name) is follower:
                del self._followers[name]

    def _append(self, data_centres: frozenset[str]) -> None:
        self.evacuations = EvacuationState(self.evacuations.position + 1, data_centres)
        for name in list(self._followers):
            self._report(name)

    def _report(self, name: str) -> None:
        follower = self._followers.get(name)
        if follower is None or name in self.unreachable:
            return
        if follower.on_evacuations is not None:
            follower.on_evacuations(self.evacuations)
        follower.on_document(str(self.version).encode())


class _Source:
    def __init__(self, configurations: MemoryConfigurations, name: str) -> None:
        self._configurations = configurations
        self._name = name

    async def follow(
        self,
        on_document: Callable[[bytes], None],
        on_evacuations: Callable[[EvacuationState], None] | None = None,
    ) -> None:
        await self._configurations.follow(self._name, on_document, on_evacuations)
