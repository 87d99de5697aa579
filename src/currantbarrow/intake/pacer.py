"""Pace the decoding of large and costly reads, so that small requests are served beside them."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import time
from typing import Protocol

__all__ = ["Pacer", "Reader"]

# The share of a core for decoding while it is costly.
PACED_SHARE = 0.25
# A read that takes less is not followed by a pause.
COSTLY_READ_S = 0.001
# Reads that do not wait for their turn take at most this much between two looks at other events.
DIRECT_S = 0.01
# The time of a read counts up to this much: the process may have been suspended meanwhile.
MAX_READ_COST_S = 0.02


class Reader(Protocol):
    """Decode what was received on a connection."""

    # Processor time for the unanswered requests of the connection.
    cost_s: float
    # Whether a request has arrived whole and is not answered.
    is_answering: bool

    def decode(self, data: bytes) -> None:
        """Decode a part of a request."""

    def end_read(self) -> None:
        """Go on receiving."""


class Pacer:
    """Decode one read after the other, those of the cheapest connections first."""

    __slots__ = ("_direct_s", "_is_running", "_loop", "_numbers", "_waiting")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._waiting: list[tuple[float, int, Reader, bytes]] = []
        self._numbers = itertools.count()
        self._is_running = False
        # The time taken by reads that did not wait, since the last look at other events.
        self._direct_s = 0.0

    def try_now(self, reader: Reader, data: bytes) -> bool:
        """Decode a read at once, or return False if such reads have taken their time."""
        if self._direct_s >= DIRECT_S:
            return False
        if not self._direct_s:
            self._loop.call_soon(self._reset_direct)
        began_s = time.perf_counter()
        reader.decode(data)
        cost_s = time.perf_counter() - began_s
        reader.cost_s += cost_s
        self._direct_s += cost_s
        return True

    def submit(self, reader: Reader, data: bytes) -> None:
        """Decode a read in its turn; nothing more may be received on the connection until then."""
        heapq.heappush(self._waiting, (reader.cost_s, next(self._numbers), reader, data))
        if not self._is_running:
            self._is_running = True
            self._decode_next()

    def _decode_next(self) -> None:
        _, _, reader, data = heapq.heappop(self._waiting)
        began_s = time.perf_counter()
        reader.decode(data)
        decoded_s = time.perf_counter()
        # After the tasks that receive what was decoded.
        self._loop.call_soon(self._end_read, reader, began_s, decoded_s)

    def _end_read(self, reader: Reader, began_s: float, decoded_s: float) -> None:
        # What the request itself costs is no part of it.
        ended_s = decoded_s if reader.is_answering else time.perf_counter()
        cost_s = min(ended_s - began_s, MAX_READ_COST_S)
        reader.cost_s += cost_s
        if cost_s < COSTLY_READ_S:
            self._go_on()
        else:
            self._loop.call_later(cost_s * (1 / PACED_SHARE - 1), self._go_on)
        reader.end_read()

    def _reset_direct(self) -> None:
        self._direct_s = 0.0

    def _go_on(self) -> None:
        if self._waiting:
            self._decode_next()
        else:
            self._is_running = False
