"""Run coroutines in virtual time, so that hours pass in seconds and runs repeat exactly."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

import looptime

__all__ = ["VirtualLoop", "run_virtual"]

ValueT = TypeVar("ValueT")
LIMIT_S = 100_000.0


class VirtualLoop:
    """Run coroutines one after the other on one loop whose clock jumps from event to event."""

    __slots__ = ("_loop",)

    def __init__(self, limit_s: float = LIMIT_S) -> None:
        base: Any = asyncio.new_event_loop()
        self._loop: Any = looptime.patch_event_loop(base)
        # Nothing here waits for real input, so no empty cycles are needed before time moves on.
        self._loop.setup_looptime(start=0, end=limit_s, noop_cycles=0)

    def run(self, coroutine: Coroutine[Any, Any, ValueT]) -> ValueT:
        """Run a coroutine to its end, and all that goes on beside it until then."""
        value: ValueT = self._loop.run_until_complete(coroutine)
        return value

    def close(self) -> None:
        """Cancel what still goes on, and end the loop."""
        rest = asyncio.all_tasks(self._loop)
        for task in rest:
            task.cancel()
        if rest:
            self._loop.run_until_complete(asyncio.wait(rest))
        self._loop.close()


def run_virtual(coroutine: Coroutine[Any, Any, ValueT], limit_s: float = LIMIT_S) -> ValueT:
    """Run a coroutine on a virtual loop of its own."""
    loop = VirtualLoop(limit_s)
    try:
        return loop.run(coroutine)
    finally:
        loop.close()
