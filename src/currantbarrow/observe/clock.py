"""Tell the time: the loop's clock, and a hybrid logical clock for the time line."""

from __future__ import annotations

import asyncio
import time

from currantbarrow.types import Clock

__all__ = ["HybridClock", "create_clock"]

# A stamp holds wall milliseconds above 16 bits of logical counter.
COUNTER_BITS = 16


class SystemClock:
    """Read the machine's clocks and wait on the event loop."""

    __slots__ = ()

    def monotonic_ms(self) -> float:
        """Return a time in milliseconds that never goes back."""
        # The monotonic clock stands still while a host is suspended; leases must not.
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000

    def wall_ms(self) -> int:
        """Return the time since the epoch in milliseconds."""
        return time.time_ns() // 1_000_000

    async def sleep_ms(self, delay_ms: float) -> None:
        """Wait for a number of milliseconds."""
        await asyncio.sleep(delay_ms / 1000)


class HybridClock:
    """Stamp events so that an effect is never ordered before its cause."""

    __slots__ = ("_clock", "_last")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last = 0

    def tick(self) -> int:
        """Return a stamp later than every stamp seen so far."""
        self._last = max(self._last + 1, self._clock.wall_ms() << COUNTER_BITS)
        return self._last

    def merge(self, stamp: int) -> None:
        """Take note of a peer's stamp."""
        self._last = max(self._last, stamp)


def create_clock() -> Clock:
    """Return the clock that the daemons use."""
    return SystemClock()
