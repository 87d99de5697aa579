"""Select the subset of links to side processes that an entry keeps warm.

Designed for many entries and many workers, where each worker runs a few tasks of each entry. A
warm link, over which orders may be sent, exchanges reports and acknowledgements several times a
second. With 14 entries and 75 workers, keeping all links warm costs more than the tasks
themselves. An entry therefore keeps a subset of the links warm, widens it when the workers in it
are fully used, and narrows it again later.

Opening a link takes some milliseconds of processor time. An entry that starts, as all do after a
loss of power, opens the links of its subset first and the others one after the other.
"""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Iterable

__all__ = ["Aperture", "connect_delays_ms", "order_links"]

# In a fleet of up to this size all links are warm. With 14 entries and 75 workers, each worker is
# in the subsets of about three entries.
WARM_LINKS = 16
# Links added at once when the workers of the warm links are fully used.
WIDEN_STEP_LINKS = 8
# An added link reports the free resources of its worker after a round trip.
WIDEN_INTERVAL_MS = 20.0
# Bursts follow each other within seconds, so added links stay warm for this long.
NARROW_DELAY_MS = 3000.0
# After the delay, the subset shrinks at this rate.
NARROW_LINKS_PER_S = 8.0
# Interval at which links beyond the subset are opened.
CONNECT_INTERVAL_MS = 10.0


class Aperture:
    """Adjust the number of links to keep warm to the demand."""

    __slots__ = ("_extra_links", "_last_needed_ms", "_updated_ms")

    def __init__(self) -> None:
        self._extra_links = 0.0
        # When `_extra_links` was last updated, and when more links were last needed.
        self._updated_ms = 0.0
        self._last_needed_ms = 0.0

    def width(self, now_ms: float) -> int:
        """Return the number of links to keep warm, which may exceed those that exist."""
        since_ms = max(self._updated_ms, self._last_needed_ms + NARROW_DELAY_MS)
        if now_ms > since_ms:
            self._extra_links = max(
                0.0, self._extra_links - (now_ms - since_ms) / 1000 * NARROW_LINKS_PER_S
            )
        self._updated_ms = now_ms
        return WARM_LINKS + round(self._extra_links)

    def widen(self, links: int, now_ms: float) -> bool:
        """Add links to the warm ones, out of a total; return whether any were added."""
        if self.width(now_ms) >= links:
            self._last_needed_ms = now_ms
            return False
        if now_ms - self._last_needed_ms < WIDEN_INTERVAL_MS:
            return False
        self._last_needed_ms = now_ms
        self._extra_links += WIDEN_STEP_LINKS
        return True


def order_links(own: str, entries: Iterable[str], sides: Iterable[str]) -> list[str]:
    """Return the side processes in the order in which an entry adds them to its subset.

    Entries with the same information start at evenly spaced positions of a common ring, so that
    each worker is in the subsets of about the same number of entries.
    """
    ring = sorted(sides, key=_hash_address)
    names = sorted({own, *entries})
    start = names.index(own) * len(ring) // len(names)
    return ring[start:] + ring[:start]


def connect_delays_ms(ring: list[str], new: set[str]) -> dict[str, float]:
    """Return when to connect to each new side process, given the order of all of them."""
    ordered = [address for address in ring if address in new]
    return {
        address: max(0, position - WARM_LINKS + 1) * CONNECT_INTERVAL_MS
        for position, address in enumerate(ordered)
    }


# Cached because entries sort the same addresses several times a second.
@functools.lru_cache(maxsize=4096)
def _hash_address(address: str) -> bytes:
    # Adjacent addresses are often in the same rack or data centre, so hashing spreads those.
    return hashlib.blake2b(address.encode(), digest_size=8).digest()
