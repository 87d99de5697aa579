"""Choose the links to side processes that an entry keeps warm.

Load pattern: many entries beside many workers, each worker serving a few tasks of each entry. A
link over which orders may go needs reports and proofs several times a second, which at fourteen
entries and 75 workers costs more than the work itself. So an entry keeps a slice of the workers
warm, takes in more as soon as that slice is full, and lets go of them again later.
"""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Iterable

__all__ = ["Aperture", "order_links"]

# A fleet up to this size is warm as a whole; beyond, it is some three entries for each worker.
WARM_LINKS = 16
# How many links are taken in at once when the warm ones are full.
WIDEN_STEP_LINKS = 8
# A link that was taken in shows its room after the way there and back.
WIDEN_INTERVAL_MS = 20.0
# Bursts come in seconds, and a link that is needed again soon had better stay.
NARROW_DELAY_MS = 3000.0
# From then on, so many links are let go of each second.
NARROW_LINKS_PER_S = 8.0


class Aperture:
    """Say how many links to keep warm."""

    __slots__ = ("_extra", "_extra_ms", "_widened_ms")

    def __init__(self) -> None:
        self._extra = 0.0
        # When the figure was last brought up to date, and when more links were last needed.
        self._extra_ms = 0.0
        self._widened_ms = 0.0

    def width(self, now_ms: float) -> int:
        """Return the number of links to keep warm."""
        since_ms = max(self._extra_ms, self._widened_ms + NARROW_DELAY_MS)
        if now_ms > since_ms:
            self._extra = max(0.0, self._extra - (now_ms - since_ms) / 1000 * NARROW_LINKS_PER_S)
        self._extra_ms = now_ms
        return WARM_LINKS + round(self._extra)

    def widen(self, links: int, now_ms: float) -> bool:
        """Take in more links out of a number; tell whether there are more."""
        if self.width(now_ms) >= links:
            self._widened_ms = now_ms
            return False
        if now_ms - self._widened_ms < WIDEN_INTERVAL_MS:
            return False
        self._widened_ms = now_ms
        self._extra += WIDEN_STEP_LINKS
        return True


def order_links(own: str, entries: Iterable[str], sides: Iterable[str]) -> list[str]:
    """Return the side processes in the order in which an entry takes them in.

    Entries that know the same begin at evenly spaced places of one ring, so that each worker is
    in the slices of about as many entries as any other.
    """
    ring = sorted(sides, key=_hash_address)
    names = sorted({own, *entries})
    first = names.index(own) * len(ring) // len(names)
    return ring[first:] + ring[:first]


# Entries order their links several times a second, always the same ones.
@functools.lru_cache(maxsize=4096)
def _hash_address(address: str) -> bytes:
    # Neighbours in the order of addresses are often in one rack and data centre.
    return hashlib.blake2b(address.encode(), digest_size=8).digest()
