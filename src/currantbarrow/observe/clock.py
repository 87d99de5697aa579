"""Read the clocks: the system clock, and a hybrid logical clock for the timeline."""

from __future__ import annotations

import asyncio
import time

from currantbarrow.types import Clock

__all__ = ["HybridClock", "create_clock"]

# A stamp is the wall clock in milliseconds, shifted left by the bits of a logical counter.
COUNTER_BITS = 16


class SystemClock:
    """Read the clock of the operating system, and sleep on the event loop."""

    __slots__ = ()

    def monotonic_ms(self) -> float:
        """Return a monotonic time in milliseconds that advances while the host is suspended."""
        # CLOCK_MONOTONIC stops while a host is suspended, but leases must expire then too.
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000

    def steady_ms(self) -> float:
        """Return a monotonic time in milliseconds that stops while the host is suspended."""
        return time.monotonic() * 1000

    def wall_ms(self) -> int:
        """Return the time since the epoch in milliseconds."""
        return time.time_ns() // 1_000_000

    async def sleep_ms(self, delay_ms: float) -> None:
        """Sleep for a number of milliseconds."""
        await asyncio.sleep(delay_ms / 1000)


class HybridClock:
    """Stamp events with a hybrid logical clock: no effect gets a lower stamp than its cause."""

    __slots__ = ("_clock", "_last")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last = 0

    def tick(self) -> int:
        """Return a stamp greater than all stamps issued or merged so far."""
        self._last = max(self._last + 1, self._clock.wall_ms() << COUNTER_BITS)
        return self._last

    def merge(self, stamp: int) -> None:
        """Advance the clock to a peer's stamp."""
        self._last = max(self._last, stamp)


def create_clock() -> Clock:
    """Return the clock that the daemons use."""
    return SystemClock()
