"""Keep the loops of a process running after unexpected errors."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterable, Mapping
from typing import Any, TypeVar

from currantbarrow.observe import logger
from currantbarrow.types import Clock, Metrics

__all__ = ["Loop", "apply_each", "keep_running", "start_loops"]

# An error that occurs in each round must not occupy the process or fill the log.
RESTART_DELAY_MS = 100.0

ItemT = TypeVar("ItemT")
Loop = Callable[[], Coroutine[Any, Any, None]]


def start_loops(
    loops: Mapping[str, Loop], *, clock: Clock, metrics: Metrics
) -> list[asyncio.Task[None]]:
    """Start loops that are kept running, and return their tasks."""
    return [
        asyncio.create_task(keep_running(name, loop, clock=clock, metrics=metrics), name=name)
        for name, loop in loops.items()
    ]


async def keep_running(name: str, loop: Loop, *, clock: Clock, metrics: Metrics) -> None:
    """Run a loop until it returns or is cancelled; after any error, log it and run it again."""
    while True:
        try:
            await loop()
        except Exception:
            # Without the loop the process would go on without timers, polls or known processes.
            metrics.incr("background.restarted")
            logger.exception("loop failed, starting it again", extra={"loop": name})
            await clock.sleep_ms(RESTART_DELAY_MS)
        else:
            return


def apply_each(
    items: Iterable[ItemT], apply: Callable[[ItemT], None], *, kind: str, metrics: Metrics
) -> None:
    """Apply items one by one; after any error, log it and go on with the next item."""
    for item in items:
        try:
            apply(item)
        except Exception:
            # The items after it would otherwise never be applied.
            metrics.incr("background.item_failed")
            logger.exception("item not applied", extra={"kind": kind, "item": str(item)[:200]})
