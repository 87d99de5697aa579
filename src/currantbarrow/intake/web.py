"""Serve applications of aiohttp within the limits on clients."""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections.abc import Callable
from typing import cast

from aiohttp import web

from currantbarrow.exceptions import ClientRefused
from currantbarrow.intake.acceptor import Acceptor
from currantbarrow.intake.body import BodyParts
from currantbarrow.intake.connection import connection_of
from currantbarrow.intake.intake import Intake
from currantbarrow.intake.policy import Refusal
from currantbarrow.types import Metrics

__all__ = [
    "GuardedSite",
    "create_server_logger",
    "receive_body",
    "take_body",
]

LOG_INTERVAL_S = 10.0

BODY: web.RequestKey[bytes] = web.RequestKey("body", bytes)


class GuardedSite(web.BaseSite):
    """Serve a runner's application on a bound socket."""

    __slots__ = ("_intake", "_listener")

    def __init__(self, runner: web.BaseRunner, listener: socket.socket, intake: Intake) -> None:
        super().__init__(runner)
        self._listener = listener
        self._intake = intake

    @property
    def name(self) -> str:
        """Return the URL of the site."""
        host, port = self._listener.getsockname()
        return f"http://{host}:{port}"

    async def start(self) -> None:
        """Start accepting connections."""
        await super().start()
        create_protocol = self._runner.server
        assert create_protocol is not None
        # The runner only closes it, and asks for its sockets.
        acceptor = Acceptor(self._listener, create_protocol, self._intake)
        self._server = cast(asyncio.AbstractServer, acceptor)


async def receive_body(request: web.Request, max_bytes: int) -> None:
    """Receive the body of a request; raise ClientRefused, or an HTTP error if it is too large."""
    connection = connection_of(request.transport)
    parts = BodyParts()
    try:
        if request.body_exists:
            if connection is not None:
                connection.begin_body(_refuse_body_of(request))
            async for part in request.content.iter_any():
                parts.append(part)
                if connection is not None:
                    connection.count_body(len(part))
                if parts.size_bytes > max_bytes:
                    raise web.HTTPRequestEntityTooLarge(
                        max_size=max_bytes, actual_size=parts.size_bytes
                    )
        request[BODY] = parts.join()
    finally:
        # The traceback of an error would keep the body until the next garbage collection.
        parts.clear()
    if connection is not None:
        connection.end_request()


async def take_body(request: web.Request) -> bytes:
    """Return the body of a request, which is not kept with the request if it was received."""
    body: bytes | None = request.pop(BODY, None)
    return await request.read() if body is None else body


def _refuse_body_of(request: web.Request) -> Callable[[Refusal], None]:
    def refuse(reason: Refusal) -> None:
        request.content.set_exception(ClientRefused(reason.value))

    return refuse


class _BadRequestLogger(logging.LoggerAdapter[logging.Logger]):
    """Count what the library reports of requests, and log only some of it."""

    def __init__(self, metrics: Metrics) -> None:
        super().__init__(logging.getLogger("aiohttp.server"), {})
        self._metrics = metrics
        self._logged_s = -LOG_INTERVAL_S

    def log(self, level: int, msg: object, *args: object, **kwargs: object) -> None:
        """Log a report unless there was one lately."""
        if level < logging.WARNING:
            return
        self._metrics.incr("intake.bad_request")
        now_s = time.monotonic()
        if now_s - self._logged_s >= LOG_INTERVAL_S:
            self._logged_s = now_s
            self.logger.log(level, msg, *args, **kwargs)  # type: ignore[arg-type]


def create_server_logger(metrics: Metrics) -> logging.LoggerAdapter[logging.Logger]:
    """Create the logger for what the library reports of requests that it cannot decode."""
    return _BadRequestLogger(metrics)
