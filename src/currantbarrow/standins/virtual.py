"""Run coroutines in virtual time, which is fast and exactly repeatable."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

import looptime

__all__ = ["VirtualLoop", "run_virtual"]

ValueT = TypeVar("ValueT")
LIMIT_S = 100_000.0


class VirtualLoop:
    """Run an event loop whose clock jumps from one event to the next."""

    __slots__ = ("_loop",)

    def __init__(self, limit_s: float = LIMIT_S) -> None:
        base: Any = asyncio.new_event_loop()
        self._loop: Any = looptime.patch_event_loop(base)
        # There is no real I/O, so the clock can advance without idle cycles that wait for it.
        self._loop.setup_looptime(start=0, end=limit_s, noop_cycles=0)

    def run(self, coroutine: Coroutine[Any, Any, ValueT]) -> ValueT:
        """Run a coroutine to its end, and other tasks until then."""
        value: ValueT = self._loop.run_until_complete(coroutine)
        return value

    def close(self) -> None:
        """Cancel the remaining tasks, and close the loop."""
        pending = asyncio.all_tasks(self._loop)
        for task in pending:
            task.cancel()
        if pending:
            self._loop.run_until_complete(asyncio.wait(pending))
        self._loop.close()


def run_virtual(coroutine: Coroutine[Any, Any, ValueT], limit_s: float = LIMIT_S) -> ValueT:
    """Run a coroutine on a virtual loop of its own."""
    loop = VirtualLoop(limit_s)
    try:
        return loop.run(coroutine)
    finally:
        loop.close()
