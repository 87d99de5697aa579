"""Serve a sanic application inside the running loop, in this one process."""

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
    """Leave out the signals that sanic sends ten times a request, since nothing listens."""

    async def dispatch(self, event: str, **options: Any) -> Any:
        """Pass on a signal unless it is about a request."""
        if event.startswith(REQUEST_SIGNAL_PREFIX):
            return None
        return await super().dispatch(event, **options)


class HttpServer:
    """Hold a running HTTP server."""

    __slots__ = ("_server",)

    def __init__(self, server: Any) -> None:
        self._server = server

    async def stop(self) -> None:
        """Stop listening, let responses under way go out, and close the connections."""
        self._server.close()
        polls = int(CLOSE_TIMEOUT_S / CLOSE_POLL_INTERVAL_S)
        for _ in range(polls):
            busy = [link for link in list(self._server.connections) if not link.close_if_idle()]
            if not busy:
                break
            await asyncio.sleep(CLOSE_POLL_INTERVAL_S)
        for link in list(self._server.connections):
            link.abort()


def create_app(name: str, max_body_bytes: int) -> Sanic[Any, Any]:
    """Return an application with the limits that all of ours share."""
    app = _App(name, configure_logging=False)
    app.config.REQUEST_MAX_SIZE = max_body_bytes
    app.config.FALLBACK_ERROR_FORMAT = "json"
    # Rewriting the server's classes for one application breaks the next one of the process.
    app.config.TOUCHUP = False
    return app


async def serve_app(app: Sanic[Any, Any], listener: socket.socket) -> HttpServer:
    """Serve an application on a listening socket."""
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
