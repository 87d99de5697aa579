"""Decide which known processes may still exist, from the directory, the peers and the links."""

from __future__ import annotations

import collections
import re
from collections.abc import Callable, Iterable

from currantbarrow.protocol.direct import HostRow

__all__ = ["FORGET_MS", "ProcessEvidence", "is_linkable"]

# A process that the directory does not list is forgotten after this time without a link. It exceeds
# a restart of a process and most cuts; one that lives registers itself again.
FORGET_MS = 30_000.0
# Withdrawn processes that are remembered, so that peers which have missed it don't bring them back.
WITHDRAWN_KEPT = 1000
ADDRESS = re.compile(r"[A-Za-z0-9_.-]+:([0-9]{1,5})")
MAX_PORT = 65_535
# Rows are kept and sent on to every peer, so their texts are no longer than a host name may be.
MAX_TEXT_CHARS = 255


def is_linkable(row: HostRow) -> bool:
    """Return whether a row names an address that links can be opened to."""
    address = ADDRESS.fullmatch(row.address)
    if address is None or not 1 <= int(address[1]) <= MAX_PORT:
        return False
    texts = (row.role, row.address, row.incarnation, row.data_centre)
    return all(len(text) <= MAX_TEXT_CHARS for text in texts)


class ProcessEvidence:
    """Track where the known processes were learnt from, and which have been withdrawn.

    A peer may pass on a process that it has not yet seen withdrawn, and a listing of the directory
    names no withdrawn ones. Processes that the directory refuses are known only from themselves
    and from peers, so absence from the directory alone proves nothing.
    """

    __slots__ = ("_linked_ms", "_own_address", "_published", "_unlinked_since_ms", "_withdrawn")

    def __init__(self, own_address: str) -> None:
        self._own_address = own_address
        # The addresses in the directory, as far as is known.
        self._published: set[str] = set()
        # The incarnations of withdrawn processes, oldest first.
        self._withdrawn: collections.OrderedDict[str, None] = collections.OrderedDict()
        # Since when processes that are not in the directory have had no link.
        self._unlinked_since_ms: dict[str, float] = {}
        # When the known processes last had a link, or became known.
        self._linked_ms: dict[str, float] = {}

    def record_published(self, row: HostRow) -> None:
        """Record that the directory lists a process."""
        self._published.add(row.address)
        self._withdrawn.pop(row.incarnation, None)

    def record_registered(self, row: HostRow) -> None:
        """Record that a process has registered itself."""
        self._withdrawn.pop(row.incarnation, None)

    def record_withdrawn(self, address: str, row: HostRow | None) -> None:
        """Record that the directory no longer lists an address, whose last process is known."""
        self._published.discard(address)
        if row is not None:
            self._withdrawn[row.incarnation] = None
            if len(self._withdrawn) > WITHDRAWN_KEPT:
                self._withdrawn.popitem(last=False)

    def record_listing(self, addresses: frozenset[str]) -> None:
        """Record a complete listing of the directory."""
        # A listing without this process is older than it, or the directory has lost its records.
        if self._own_address in addresses:
            self._published &= addresses

    def was_withdrawn(self, row: HostRow) -> bool:
        """Return whether a process that a peer knows has been withdrawn."""
        return row.incarnation in self._withdrawn

    def record_links(
        self, addresses: Iterable[str], is_linked: Callable[[str], bool], now_ms: float
    ) -> None:
        """Record which of the known processes are linked; called periodically."""
        self._linked_ms = {
            address: now_ms if is_linked(address) else self._linked_ms.get(address, now_ms)
            for address in addresses
        }

    def awaited(self, addresses: Iterable[str], now_ms: float) -> set[str]:
        """Return the addresses at which a process may run that is out of reach for the moment."""
        return {
            address
            for address in addresses
            if now_ms - self._linked_ms.get(address, now_ms) < FORGET_MS
        }

    def find_departed(
        self, addresses: Iterable[str], is_linked: Callable[[str], bool], now_ms: float
    ) -> list[str]:
        """Return the addresses that are not in the directory and have had no link for long."""
        since_ms = {
            address: self._unlinked_since_ms.get(address, now_ms)
            for address in addresses
            if address not in self._published and not is_linked(address)
        }
        self._unlinked_since_ms = since_ms
        return [address for address, each_ms in since_ms.items() if now_ms - each_ms >= FORGET_MS]
