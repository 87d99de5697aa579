"""Run the entry daemon: the node and its HTTP servers."""

from __future__ import annotations

import asyncio
import random
import socket
import sys

from currantbarrow.entry.api import create_api
from currantbarrow.entry.http_server import HttpServer, serve_app
from currantbarrow.entry.node import EntryNode, EntryOptions
from currantbarrow.entry.operator_api import create_operator_api
from currantbarrow.intake import create_intake, create_internal_limits, create_limits
from currantbarrow.listening import bind_address, bound_address
from currantbarrow.logservice.client import HttpLogService, create_log_service
from currantbarrow.observe import (
    EventRing,
    HybridClock,
    MetricsRegistry,
    create_clock,
    flush_to_statsd,
    logger,
)
from currantbarrow.policy import create_policies
from currantbarrow.protocol.websocket import create_network
from currantbarrow.runtime import StopSignal, new_incarnation, run_daemon
from currantbarrow.settings import EntrySettings, read_token

__all__ = ["EntryDaemon", "main", "start_entry"]

SHUTDOWN_MARGIN_MS = 10_000.0


class EntryDaemon:
    """Run an entry node with its HTTP servers for callers and operators."""

    __slots__ = ("_listeners", "_log", "_servers", "_tasks", "metrics", "node")

    def __init__(
        self,
        node: EntryNode,
        metrics: MetricsRegistry,
        log: HttpLogService,
        listeners: tuple[socket.socket, socket.socket],
    ) -> None:
        self.node = node
        self._log = log
        self._listeners = listeners
        self.metrics = metrics
        self._servers: list[HttpServer] = []
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def callers_address(self) -> str:
        """Return the address of the callers' API, with the port that is bound."""
        return bound_address(self._listeners[0])

    @property
    def operator_address(self) -> str:
        """Return the address of the operators' API, with the port that is bound."""
        return bound_address(self._listeners[1])

    async def start(self, settings: EntrySettings) -> None:
        """Start the node, the HTTP servers and, if configured, the statsd export."""
        await self.node.start()
        app_name = self.node.options.incarnation.replace(".", "_")
        callers = create_api(
            self.node, settings.max_tasks, settings.max_body_bytes, f"callers-{app_name}"
        )
        operators = create_operator_api(self.node, self.metrics, f"operators-{app_name}")
        limits = create_limits(settings.memory_mb, settings.descriptors)
        intakes = (
            create_intake("callers", limits, self.metrics),
            create_intake("internal", create_internal_limits(settings.memory_mb), self.metrics),
        )
        for app, listener, intake in zip(
            (callers, operators), self._listeners, intakes, strict=True
        ):
            self._servers.append(await serve_app(app, listener, intake))
        if settings.statsd_address:
            statsd_flush = flush_to_statsd(
                self.metrics, settings.statsd_address, settings.name, create_clock()
            )
            self._tasks.append(asyncio.create_task(statsd_flush))

    async def drain(self) -> None:
        """Hand over the shards, deliver the remaining answers and stop."""
        await self.node.drain()
        await self._stop_servers()

    async def stop(self) -> None:
        """Stop at once."""
        await self.node.kill()
        await self._stop_servers()

    async def _stop_servers(self) -> None:
        for task in self._tasks:
            task.cancel()
        for server in self._servers:
            await server.stop()
        for listener in self._listeners:
            listener.close()
        await self._log.close()


def start_entry(settings: EntrySettings, token: str) -> EntryDaemon:
    """Return an entry daemon that has not been started; raise AddressUnavailable."""
    listeners = (
        bind_address(settings.callers_address, "callers_address"),
        bind_address(settings.operator_address, "operator_address"),
    )
    clock = create_clock()
    metrics = MetricsRegistry()
    hybrid_clock = HybridClock(clock)
    rng = random.Random()
    options = EntryOptions(
        settings.name,
        new_incarnation(settings.name),
        settings.link_address,
        settings.data_centre,
        settings.rack,
        token,
        bound_address(listeners[1]),
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
        network=create_network(token, hybrid_clock, metrics),
        log=log,
        rng=rng,
        metrics=metrics,
        events=EventRing(settings.name, hybrid_clock),
        policies=create_policies(rng, settings.data_centre),
    )
    return EntryDaemon(node, metrics, log, listeners)


async def _serve(settings: EntrySettings) -> None:
    daemon = start_entry(settings, read_token(settings.token_file))
    stop = StopSignal()
    await daemon.start(settings)
    logger.info(
        "listening",
        extra={"callers": daemon.callers_address, "operators": daemon.operator_address},
    )
    await stop.drain.wait()
    # The node limits its own drain; the record of its departure and the servers come after it.
    limit_ms = settings.drain_ms + SHUTDOWN_MARGIN_MS
    await stop.wait_for_drain(daemon.drain(), limit_ms)


def main() -> None:
    """Run the entry daemon as a program."""
    sys.exit(run_daemon("currantbarrow-entry", EntrySettings, _serve))
