"""Run the entry daemon."""

from __future__ import annotations

import asyncio
import random
import sys

from currantbarrow.entry.api import HttpServer, create_api, serve_app
from currantbarrow.entry.node import EntryNode, EntryOptions
from currantbarrow.entry.operator_api import create_operator_api
from currantbarrow.logservice.client import HttpLogService, create_log_service
from currantbarrow.observe import (
    EventRing,
    HybridClock,
    MetricsBook,
    create_clock,
    flush_to_statsd,
)
from currantbarrow.policy import create_policies
from currantbarrow.protocol.websocket import create_network
from currantbarrow.runtime import StopSignal, new_incarnation, run_daemon
from currantbarrow.settings import EntrySettings, read_token

__all__ = ["EntryDaemon", "main", "start_entry"]


class EntryDaemon:
    """Hold a running entry node and its HTTP servers."""

    __slots__ = ("_log", "_tasks", "book", "node", "servers")

    def __init__(self, node: EntryNode, book: MetricsBook, log: HttpLogService) -> None:
        self.node = node
        self._log = log
        self.book = book
        self.servers: list[HttpServer] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, settings: EntrySettings) -> None:
        """Start the node, then the servers of callers and operators."""
        await self.node.start()
        app_name = settings.name.replace(".", "_")
        callers = create_api(
            self.node, settings.max_tasks, settings.max_body_bytes, f"callers-{app_name}"
        )
        operators = create_operator_api(self.node, self.book, f"operators-{app_name}")
        self.servers = [
            await serve_app(callers, settings.callers_address),
            await serve_app(operators, settings.operator_address),
        ]
        if settings.statsd_address:
            flush = flush_to_statsd(
                self.book, settings.statsd_address, settings.name, create_clock()
            )
            self._tasks.append(asyncio.create_task(flush))

    async def drain(self) -> None:
        """Give the shards away, deliver the last answers and stop."""
        await self.node.drain()
        await self._stop_servers()

    async def stop(self) -> None:
        """End at once."""
        await self.node.kill()
        await self._stop_servers()

    async def _stop_servers(self) -> None:
        for task in self._tasks:
            task.cancel()
        for server in self.servers:
            await server.stop()
        await self._log.close()


def start_entry(settings: EntrySettings, token: str) -> EntryDaemon:
    """Return an entry daemon that is not started yet."""
    clock = create_clock()
    book = MetricsBook()
    hybrid = HybridClock(clock)
    rng = random.Random()
    options = EntryOptions(
        settings.name,
        new_incarnation(settings.name),
        settings.link_address,
        settings.data_centre,
        settings.rack,
        token,
        settings.operator_address,
        settings.lease_ms,
        settings.permission_ms,
        settings.skew_ms,
        settings.window_ms,
        settings.drain_ms,
        tuple(settings.peers),
        settings.log_retention_ms,
    )
    log = create_log_service(settings.log_service_url)
    node = EntryNode(
        options,
        clock=clock,
        network=create_network(token, hybrid, book),
        log=log,
        rng=rng,
        metrics=book,
        events=EventRing(settings.name, hybrid),
        policies=create_policies(rng, settings.data_centre),
    )
    return EntryDaemon(node, book, log)


async def _serve(settings: EntrySettings) -> None:
    daemon = start_entry(settings, read_token(settings.token_file))
    stop = StopSignal()
    await daemon.start(settings)
    await stop.drain.wait()
    await stop.drain_unless_ended(daemon.drain())


def main() -> None:
    """Run the program."""
    sys.exit(run_daemon("currantbarrow-entry", EntrySettings, _serve))
