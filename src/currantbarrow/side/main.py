"""Start the side process."""

from __future__ import annotations

import asyncio
import random
import socket
import sys
from collections.abc import Awaitable, Callable

from aiohttp import web

from currantbarrow.listening import bind_address, bound_address
from currantbarrow.logservice.client import create_log_service
from currantbarrow.observe import (
    EventRing,
    HybridClock,
    MetricsRegistry,
    create_clock,
    flush_to_statsd,
    logger,
)
from currantbarrow.protocol.websocket import create_network
from currantbarrow.runtime import StopSignal, new_incarnation, run_daemon
from currantbarrow.settings import SideSettings, read_token
from currantbarrow.side.api import create_side_api
from currantbarrow.side.node import SideNode, SideOptions
from currantbarrow.side.upstream import create_upstream

__all__ = ["SideDaemon", "main", "start_side"]


class SideDaemon:
    """Run a side node together with its HTTP server."""

    __slots__ = ("_close_callbacks", "_listener", "_runner", "_tasks", "book", "events", "node")

    def __init__(
        self,
        node: SideNode,
        book: MetricsRegistry,
        events: EventRing,
        listener: socket.socket,
        close_callbacks: list[Callable[[], Awaitable[None]]],
    ) -> None:
        self.node = node
        self._listener = listener
        self._close_callbacks = close_callbacks
        self.book = book
        self.events = events
        self._runner: web.AppRunner | None = None
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def upstream_address(self) -> str:
        """Return the address that the upstream connects to, with the bound port."""
        return bound_address(self._listener)

    async def start(self, settings: SideSettings) -> None:
        """Start the node, then the HTTP server."""
        await self.node.start()
        self._runner = web.AppRunner(
            create_side_api(self.node, self.events, self.book), access_log=None
        )
        await self._runner.setup()
        await web.SockSite(self._runner, self._listener).start()
        if settings.statsd_address:
            flush = flush_to_statsd(
                self.book, settings.statsd_address, settings.name, create_clock()
            )
            self._tasks.append(asyncio.create_task(flush))

    async def drain(self) -> None:
        """Wait for running tasks, then stop."""
        await self.node.stop()
        if self._runner is not None:
            await self._runner.cleanup()
        for task in self._tasks:
            task.cancel()
        for close in self._close_callbacks:
            await close()


def start_side(settings: SideSettings, token: str) -> SideDaemon:
    """Create a side daemon without starting it; raise AddressUnavailable."""
    listener = bind_address(settings.upstream_address, "upstream_address")
    clock = create_clock()
    book = MetricsRegistry()
    hybrid = HybridClock(clock)
    events = EventRing(settings.name, hybrid)
    options = SideOptions(
        settings.name,
        new_incarnation(settings.name),
        settings.link_address,
        settings.data_centre,
        settings.rack,
        token,
        bound_address(listener),
        settings.queue_limit,
        settings.heartbeat_ms,
        settings.permission_ms,
        settings.announcement_ttl_ms,
        settings.window_ms,
    )
    log = create_log_service(settings.log_service_url)
    upstream = create_upstream(
        settings.upstream_url, settings.connections, settings.max_result_bytes
    )
    node = SideNode(
        options,
        clock=clock,
        network=create_network(token, hybrid, book),
        log=log,
        upstream=upstream,
        rng=random.Random(),
        metrics=book,
        events=events,
    )
    return SideDaemon(node, book, events, listener, [log.close, upstream.close])


async def _serve(settings: SideSettings) -> None:
    daemon = start_side(settings, read_token(settings.token_file))
    stop = StopSignal()
    await daemon.start(settings)
    logger.info("listening", extra={"upstream": daemon.upstream_address})
    await stop.drain.wait()
    await stop.wait_for_drain(daemon.drain(), settings.drain_ms)


def main() -> None:
    """Run the side daemon as a command-line program."""
    sys.exit(run_daemon("currantbarrow-side", SideSettings, _serve))
