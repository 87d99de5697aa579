"""Define the interfaces for discovering processes and reading shared configuration."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from currantbarrow.direct.evacuation import EvacuationState
from currantbarrow.direct.worker import Announcement
from currantbarrow.protocol.direct import HostRow

__all__ = ["AnnouncementStore", "ConfigurationSource", "HostDirectory"]


class HostDirectory(Protocol):
    """Publish the addresses of processes in a shared directory."""

    async def publish(self, row: HostRow) -> None:
        """Publish a process, and retry until it succeeds; never raises."""

    async def withdraw(self, row: HostRow) -> None:
        """Remove a process from the directory; try only once."""

    async def follow(
        self,
        on_row: Callable[[HostRow], None],
        on_gone: Callable[[str], None],
        on_listing: Callable[[frozenset[str]], None],
    ) -> None:
        """Report processes as they are added and removed, and complete listings of addresses.

        A removal may be missed, in which case only the next listing shows it.
        """


class AnnouncementStore(Protocol):
    """Store a worker's last announcement across restarts of its side process.

    Workers announce themselves only every second or two, so a restarted side process is ready
    sooner if it reads the last announcement.
    """

    async def save(self, announcement: Announcement, timeout_ms: float) -> bool:
        """Store an announcement and return whether it was stored in time; never raises."""

    async def load(self) -> Announcement | None:
        """Return the stored announcement, or None if there is none or it cannot be read."""


class ConfigurationSource(Protocol):
    """Provide the queues that operators have configured, and the data centres they evacuate."""

    async def follow(
        self,
        on_document: Callable[[bytes], None],
        on_evacuations: Callable[[EvacuationState], None] | None = None,
    ) -> None:
        """Report each configuration document as it was published, until cancelled.

        If on_evacuations is given, report the evacuations before the documents of the same records.
        """
