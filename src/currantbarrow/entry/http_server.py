"""Serve sanic applications in the current process and event loop."""

from __future__ import annotations

import asyncio
import socket
from typing import Any, cast

import msgspec
from sanic import Request, Sanic
from sanic.exceptions import SanicException
from sanic.response import BaseHTTPResponse, HTTPResponse
from sanic.server.protocols.http_protocol import HttpProtocol

from currantbarrow.exceptions import DrainCutShort
from currantbarrow.intake import BodyParts, GuardedConnection, Intake, connection_of
from currantbarrow.open_requests import OpenRequests, raise_interrupted

__all__ = ["HttpServer", "create_app", "json_response", "serve_app"]

JSON_CONTENT_TYPE = "application/json"
REQUEST_SIGNAL_PREFIX = "http."
CLOSE_POLL_INTERVAL_S = 0.01
CLOSE_TIMEOUT_S = 2.0


class _App(Sanic[Any, Any]):
    """Count the open requests, and suppress sanic's signals for them, which nothing handles."""

    async def dispatch(self, event: str, **options: Any) -> Any:
        """Dispatch a signal unless it belongs to a request."""
        if event.startswith(REQUEST_SIGNAL_PREFIX):
            return None
        return await super().dispatch(event, **options)

    async def handle_request(self, request: Request) -> None:
        """Receive and handle a request, and answer it with an error if it is interrupted."""
        requests: OpenRequests = self.ctx.requests
        connection = connection_of(request.transport)
        try:
            await _receive_body(request, connection)
        except SanicException as error:
            await self.handle_exception(request, error)
            return
        try:
            await requests.answer(super().handle_request(request), raise_interrupted)
        except DrainCutShort as error:
            await self.handle_exception(request, error)
        finally:
            if connection is not None:
                connection.end_answer()


class HttpServer:
    """Control a running HTTP server."""

    __slots__ = ("_requests", "_server")

    def __init__(self, server: Any, requests: OpenRequests) -> None:
        self._server = server
        self._requests = requests

    async def stop(self) -> None:
        """Stop listening, wait up to CLOSE_TIMEOUT_S for open responses, and close connections."""
        self._server.close()
        self._requests.interrupt()
        polls = int(CLOSE_TIMEOUT_S / CLOSE_POLL_INTERVAL_S)
        for _ in range(polls):
            busy = [
                connection
                for connection in list(self._server.connections)
                if not connection.close_if_idle()
            ]
            if not busy:
                break
            await asyncio.sleep(CLOSE_POLL_INTERVAL_S)
        for connection in list(self._server.connections):
            connection.abort()


def create_app(name: str, max_body_bytes: int, requests: OpenRequests) -> Sanic[Any, Any]:
    """Return a sanic application with the common settings."""
    app = _App(name, configure_logging=False)
    app.ctx.requests = requests
    app.config.REQUEST_MAX_SIZE = max_body_bytes
    app.config.FALLBACK_ERROR_FORMAT = "json"
    # Touchup rewrites methods of sanic's classes for one application, which breaks other
    # applications in the same process.
    app.config.TOUCHUP = False

    async def mark_answered(request: Request, response: BaseHTTPResponse) -> None:
        requests.mark_answered()

    app.register_middleware(mark_answered, "response")
    return app


async def serve_app(app: Sanic[Any, Any], listener: socket.socket, intake: Intake) -> HttpServer:
    """Serve an application on a bound socket, within the limits on clients."""

    def create_protocol(**options: Any) -> GuardedConnection:
        return intake.guard(HttpProtocol(**options))

    server: Any = await app.create_server(
        sock=listener,
        return_asyncio_server=True,
        access_log=False,
        protocol=cast(type[asyncio.Protocol], create_protocol),
    )
    if server is None:
        raise RuntimeError("the HTTP server did not start")
    await server.startup()
    await server.start_serving()
    return HttpServer(server, app.ctx.requests)


async def _receive_body(request: Request, connection: GuardedConnection | None) -> None:
    """Receive the body of a request; raise SanicException if it is malformed or too large."""
    parts = BodyParts()
    stream: Any = request.stream
    try:
        async for part in stream:
            parts.append(part)
            if connection is not None:
                connection.count_body(len(part))
        request.body = parts.join()
    finally:
        # The traceback of an error would keep the body until the next garbage collection.
        parts.clear()
    if connection is not None:
        connection.end_request()


def json_response(
    body: Any,
    status: int = 200,
    content_type: str = JSON_CONTENT_TYPE,
    headers: dict[str, str] | None = None,
) -> HTTPResponse:
    """Return a response with a body encoded as JSON."""
    return HTTPResponse(msgspec.json.encode(body), status, headers or {}, content_type)
