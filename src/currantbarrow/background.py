"""Run coroutines in the background and report their errors."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from currantbarrow.observe import logger
from currantbarrow.types import Metrics

__all__ = ["BackgroundTasks"]

ValueT = TypeVar("ValueT")


class BackgroundTasks:
    """Hold references to background tasks until they end, and cancel them all on shutdown."""

    __slots__ = ("_metrics", "_tasks")

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, ValueT]) -> asyncio.Task[ValueT]:
        """Start a coroutine and return its task."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._handle_done)
        return task

    def cancel_all(self) -> None:
        """Cancel all tasks that are still running."""
        for task in self._tasks:
            task.cancel()

    def _handle_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        # No caller awaits these tasks, so their errors would otherwise go unnoticed.
        self._metrics.incr("background.failed")
        logger.error("background task failed", exc_info=task.exception())
