"""Tell how the processes of the system find one another."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from currantbarrow.direct.worker import Announcement
from currantbarrow.protocol.direct import HostRow

__all__ = ["AnnouncementStore", "ConfigurationSource", "HostDirectory"]


class HostDirectory(Protocol):
    """Keep the addresses of processes where all of them can read them."""

    async def publish(self, row: HostRow) -> None:
        """Make a process known, trying until it is; never raises."""

    async def withdraw(self, row: HostRow) -> None:
        """Take a process off the list, if that can be done at once."""

    async def follow(
        self, on_row: Callable[[HostRow], None], on_gone: Callable[[str], None]
    ) -> None:
        """Report processes as they come and go, until cancelled."""


class AnnouncementStore(Protocol):
    """Keep a worker's last announcement beyond the life of its side process.

    A worker announces itself every second or two; a side process that comes back is of use
    sooner when it knows what its worker said last.
    """

    async def save(self, announcement: Announcement) -> bool:
        """Keep an announcement, and tell whether that was done; never raises."""

    async def load(self) -> Announcement | None:
        """Return the announcement that was kept, if there is one and it can be had."""


class ConfigurationSource(Protocol):
    """Publish the queues that operators have set up."""

    async def follow(self, on_document: Callable[[bytes], None]) -> None:
        """Report each configuration as it was published, until cancelled."""
