"""Maintain links to the addresses of other processes."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from currantbarrow.background import BackgroundTasks
from currantbarrow.exceptions import LinkError
from currantbarrow.observe import logger
from currantbarrow.protocol import Hello
from currantbarrow.types import Clock, Link, Metrics, Network

__all__ = ["LinkConnector"]

# A restarting process is back within seconds and has to be reached soon after.
RECONNECT_BACKOFF_MIN_MS = 50.0
RECONNECT_BACKOFF_MAX_MS = 600.0


class LinkConnector:
    """Connect to addresses, serve each link until it ends, and reconnect."""

    def __init__(
        self,
        hello: Hello,
        serve: Callable[[str, Link], Awaitable[None]],
        *,
        network: Network,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self._hello = hello
        self._serve = serve
        self._network = network
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._background = BackgroundTasks(metrics)
        # The task that maintains the link to each address, connected or not.
        self._link_tasks: dict[str, asyncio.Task[None]] = {}
        # Set while a process is known to listen at an address since the last attempt.
        self._listening: dict[str, asyncio.Event] = {}

    @property
    def addresses(self) -> list[str]:
        """Return all addresses, connected or not."""
        return list(self._link_tasks)

    def add(self, address: str, delay_ms: float = 0.0) -> None:
        """Connect to an address after a delay, and keep reconnecting to it."""
        if address not in self._link_tasks:
            self._listening[address] = asyncio.Event()
            self._link_tasks[address] = self._background.spawn(self._maintain(address, delay_ms))

    def remove(self, address: str) -> None:
        """Close the link to an address and stop reconnecting to it."""
        self._listening.pop(address, None)
        task = self._link_tasks.pop(address, None)
        if task is not None:
            task.cancel()

    def connect_now(self, address: str) -> None:
        """Do not wait before the next attempt, since a process has started at an address."""
        if address in self._listening:
            self._listening[address].set()

    def stop(self) -> None:
        """Close all links and stop reconnecting."""
        self._background.cancel_all()

    async def _maintain(self, address: str, first_delay_ms: float) -> None:
        if first_delay_ms:
            await self._clock.sleep_ms(first_delay_ms)
        delay_ms = RECONNECT_BACKOFF_MIN_MS
        listening = self._listening[address]
        while True:
            listening.clear()
            try:
                link = await self._network.connect(address, self._hello)
            except Exception as error:
                if not isinstance(error, LinkError):
                    # An error of another kind must not end the reconnecting either.
                    self._metrics.incr("link.connect_failed")
                    logger.exception("connecting failed", extra={"address": address})
                await self._pause(self._rng.uniform(0.5, 1.0) * delay_ms, listening)
                delay_ms = min(delay_ms * 2, RECONNECT_BACKOFF_MAX_MS)
                continue
            delay_ms = RECONNECT_BACKOFF_MIN_MS
            try:
                await self._serve(address, link)
            except LinkError:
                # The handler has logged the end of the link.
                pass
            except Exception:
                # An error in the handling of one message must not end the reconnecting.
                self._metrics.incr("link.handler_failed")
                logger.exception("link handler failed", extra={"address": address})
            finally:
                link.abort()
            await self._pause(self._rng.uniform(0.5, 1.0) * delay_ms, listening)

    async def _pause(self, delay_ms: float, ended: asyncio.Event) -> None:
        """Wait for a time, or until an event."""
        waits = [
            asyncio.ensure_future(self._clock.sleep_ms(delay_ms)),
            asyncio.ensure_future(ended.wait()),
        ]
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for wait in waits:
                wait.cancel()
