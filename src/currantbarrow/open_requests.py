"""Count the requests that were read and not answered, so that a drain can wait for them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, NoReturn, TypeVar

from currantbarrow.exceptions import DrainCutShort
from currantbarrow.observe import logger

__all__ = ["OpenRequests", "raise_interrupted"]

ValueT = TypeVar("ValueT")
InterruptedT = TypeVar("InterruptedT")


class OpenRequests:
    """Track the tasks that answer requests."""

    __slots__ = ("_interrupted", "_open")

    def __init__(self) -> None:
        self._open: set[asyncio.Task[Any]] = set()
        self._interrupted: set[asyncio.Task[Any]] = set()

    def __len__(self) -> int:
        return len(self._open)

    async def answer(
        self, answering: Awaitable[ValueT], create_interrupted: Callable[[], InterruptedT]
    ) -> ValueT | InterruptedT:
        """Return the answer to a request, or another one if it is interrupted."""
        task = asyncio.current_task()
        assert task is not None
        if task in self._open:
            # This is part of a request that is counted.
            return await answering
        self._open.add(task)
        try:
            return await answering
        except asyncio.CancelledError:
            # The client may have closed its connection, too.
            if task not in self._interrupted or task.uncancel() > 0:
                raise
            return create_interrupted()
        finally:
            self._open.discard(task)
            self._interrupted.discard(task)

    def mark_answered(self) -> None:
        """Count the request of the current task as answered while its response is being sent."""
        task = asyncio.current_task()
        assert task is not None
        self._open.discard(task)

    def interrupt(self) -> int:
        """Answer the open requests at once, and return their number."""
        interrupting = self._open - self._interrupted
        for task in interrupting:
            self._interrupted.add(task)
            task.cancel()
        if interrupting:
            extra = {"requests": len(interrupting)}
            logger.warning("requests interrupted by the shutdown", extra=extra)
        return len(interrupting)


def raise_interrupted() -> NoReturn:
    """Raise DrainCutShort, which does not say whether the request has had an effect."""
    raise DrainCutShort("the process ended before the answer was known")
