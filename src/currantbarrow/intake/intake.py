"""Keep the limits that all clients of a process share."""

from __future__ import annotations

import asyncio
import gc
import math

from currantbarrow.intake.connection import GuardedConnection
from currantbarrow.intake.limits import IntakeLimits
from currantbarrow.intake.pacer import Pacer
from currantbarrow.intake.policy import (
    Refusal,
    choose_for_connections,
    choose_for_memory,
    find_overdue,
)
from currantbarrow.observe import logger
from currantbarrow.types import Metrics

__all__ = ["Intake", "create_intake"]

# What a connection reads at a time. The larger it is, the longer others wait for its decoding.
READ_BYTES = 16 * 1024
CHECK_INTERVAL_S = 1.0
# Refusals for one reason are logged together at this interval.
LOG_INTERVAL_S = 10.0
COLLECT_DELAY_S = 0.01


class Intake:
    """Track the connections of a process's clients, and refuse those that take too much."""

    __slots__ = (
        "_checking",
        "_discarded_bytes",
        "_held_bytes",
        "_loop",
        "_refused",
        "buffer",
        "connections",
        "limits",
        "metrics",
        "pacer",
        "port",
    )

    def __init__(self, port: str, limits: IntakeLimits, metrics: Metrics) -> None:
        # What the connections are for, in metrics and log lines.
        self.port = port
        self.limits = limits
        self.metrics = metrics
        self._loop = asyncio.get_running_loop()
        self.pacer = Pacer(self._loop)
        # Connections read one after the other, and leave nothing in it.
        self.buffer = memoryview(bytearray(READ_BYTES))
        self.connections: set[GuardedConnection] = set()
        self._held_bytes = 0
        # Bytes of refused requests since the last garbage collection.
        self._discarded_bytes = 0
        self._refused = {reason: _RefusedClients() for reason in Refusal}
        self._checking: asyncio.TimerHandle | None = None

    def now_s(self) -> float:
        """Return the time of the event loop."""
        return self._loop.time()

    def guard(self, protocol: asyncio.Protocol) -> GuardedConnection:
        """Return a connection that passes on to a library's protocol."""
        return GuardedConnection(protocol, self)

    def register(self, connection: GuardedConnection) -> None:
        """Track a connection, in place of another one if there are too many.

        Only servers that accept connections by themselves exceed the limit.
        """
        if not self.make_room(0):
            self.refuse(connection, Refusal.CONNECTIONS)
        self.connections.add(connection)
        if self._checking is None:
            self._checking = self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def unregister(self, connection: GuardedConnection) -> None:
        """Forget a connection that has ended."""
        self.connections.discard(connection)

    def hold(self, count: int) -> None:
        """Count received bytes, and refuse clients until all hold no more than they may."""
        self._held_bytes += count
        while self._held_bytes > self.limits.held_bytes:
            client = choose_for_memory(self.connections, self.now_s())
            if client is None:
                return
            self.refuse(client, Refusal.MEMORY)

    def release(self, count: int) -> None:
        """Count bytes as answered or discarded."""
        self._held_bytes -= count

    def make_room(self, accepted: int) -> bool:
        """Return whether a connection can be accepted, if need be in place of another one.

        Those that are accepted and not registered yet count as well.
        """
        if len(self.connections) + accepted < self.limits.connections:
            return True
        client = choose_for_connections(self.connections)
        if client is not None:
            # Its descriptor is free again in the next iteration of the event loop.
            self.unregister(client)
            self.refuse(client, Refusal.CONNECTIONS)
        return client is not None

    def _check(self) -> None:
        """Close connections whose clients take too long or have left unnoticed."""
        now_s = self.now_s()
        for client in list(self.connections):
            reason = find_overdue(
                client, now_s, self.limits.request_timeout_s, self.limits.write_timeout_s
            )
            if reason is not None:
                self.refuse(client, reason)
            elif client.is_stuck():
                self.refuse(client, Refusal.UNDECODABLE)
            else:
                client.close_if_gone()
        self.metrics.gauge(f"intake.{self.port}.connections", len(self.connections))
        self.metrics.gauge(f"intake.{self.port}.held_bytes", self._held_bytes)
        for reason in Refusal:
            self._log(reason)
        self._checking = None
        if self.connections or any(each.count for each in self._refused.values()):
            self._checking = self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def refuse(self, client: GuardedConnection, reason: Refusal) -> None:
        """Refuse a client, and count and log it."""
        refused = self._refused[reason]
        refused.count += 1
        refused.last_peer = client.peer
        self.metrics.incr(f"intake.{self.port}.refused.{reason.value}")
        self._discard(client.held_bytes)
        client.refuse(reason)
        self._log(reason)

    def _discard(self, count: int) -> None:
        """Count bytes of a refused request, and collect garbage once there is much of it.

        Errors of the library refer to what they arose from in cycles, which would stay until
        enough other objects have been created.
        """
        self._discarded_bytes += count
        if self._discarded_bytes >= self.limits.held_bytes / 2:
            self._discarded_bytes = 0
            # After the end of the connections.
            self._loop.call_later(COLLECT_DELAY_S, gc.collect)

    def _log(self, reason: Refusal) -> None:
        """Log the clients refused for a reason, unless there are none or some were lately."""
        refused, now_s = self._refused[reason], self.now_s()
        if not refused.count or now_s - refused.logged_s < LOG_INTERVAL_S:
            return
        logger.warning(
            "clients refused",
            extra={
                "port": self.port,
                "reason": reason.value,
                "clients": refused.count,
                "last": refused.last_peer,
                "connections": len(self.connections),
                "held_bytes": self._held_bytes,
            },
        )
        refused.count = 0
        refused.logged_s = now_s


class _RefusedClients:
    """Count the clients refused for one reason since the last log line."""

    __slots__ = ("count", "last_peer", "logged_s")

    def __init__(self) -> None:
        self.count = 0
        self.last_peer = ""
        self.logged_s = -math.inf


def create_intake(port: str, limits: IntakeLimits, metrics: Metrics) -> Intake:
    """Create the intake of the connections to a port, or to several, in the running event loop."""
    return Intake(port, limits, metrics)
