"""Run coroutines in virtual time, so that hours pass in seconds and runs repeat exactly."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

import looptime

__all__ = ["run_virtual"]

ValueT = TypeVar("ValueT")
LIMIT_S = 100_000.0


def run_virtual(coroutine: Coroutine[Any, Any, ValueT], limit_s: float = LIMIT_S) -> ValueT:
    """Run a coroutine on a loop of its own whose clock jumps from event to event."""
    base: Any = asyncio.new_event_loop()
    loop: Any = looptime.patch_event_loop(base)
    # Nothing here waits for real input, so no empty cycles are needed before time moves on.
    loop.setup_looptime(start=0, end=limit_s, noop_cycles=0)
    try:
        value: ValueT = loop.run_until_complete(coroutine)
        return value
    finally:
        _cancel_rest(loop)
        loop.close()


def _cancel_rest(loop: asyncio.AbstractEventLoop) -> None:
    rest = asyncio.all_tasks(loop)
    for task in rest:
        task.cancel()
    if rest:
        loop.run_until_complete(asyncio.wait(rest))
