"""Serve sanic applications in the current process and event loop."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import msgspec
from sanic import Sanic
from sanic.response import HTTPResponse

__all__ = ["HttpServer", "create_app", "json_response", "serve_app"]

JSON_CONTENT_TYPE = "application/json"
REQUEST_SIGNAL_PREFIX = "http."
CLOSE_POLL_INTERVAL_S = 0.01
CLOSE_TIMEOUT_S = 2.0


class _App(Sanic[Any, Any]):
    """Suppress sanic's signals for requests: about ten per request, and nothing handles them."""

    async def dispatch(self, event: str, **options: Any) -> Any:
        """Dispatch a signal unless it belongs to a request."""
        if event.startswith(REQUEST_SIGNAL_PREFIX):
            return None
        return await super().dispatch(event, **options)


class HttpServer:
    """Control a running HTTP server."""

    __slots__ = ("_server",)

    def __init__(self, server: Any) -> None:
        self._server = server

    async def stop(self) -> None:
        """Stop listening, wait up to CLOSE_TIMEOUT_S for open responses, and close connections."""
        self._server.close()
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


def create_app(name: str, max_body_bytes: int) -> Sanic[Any, Any]:
    """Return a sanic application with the common settings."""
    app = _App(name, configure_logging=False)
    app.config.REQUEST_MAX_SIZE = max_body_bytes
    app.config.FALLBACK_ERROR_FORMAT = "json"
    # Touchup rewrites methods of sanic's classes for one application, which breaks other
    # applications in the same process.
    app.config.TOUCHUP = False
    return app


async def serve_app(app: Sanic[Any, Any], listener: socket.socket) -> HttpServer:
    """Serve an application on a bound socket."""
    server: Any = await app.create_server(
        sock=listener, return_asyncio_server=True, access_log=False
    )
    if server is None:
        raise RuntimeError("the HTTP server did not start")
    await server.startup()
    await server.start_serving()
    return HttpServer(server)


def json_response(
    body: Any,
    status: int = 200,
    content_type: str = JSON_CONTENT_TYPE,
    headers: dict[str, str] | None = None,
) -> HTTPResponse:
    """Return a response with a body encoded as JSON."""
    return HTTPResponse(msgspec.json.encode(body), status, headers or {}, content_type)
