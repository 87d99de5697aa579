"""Run the HTTP servers and handle the signals of the platform's programs."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web
from aiohttp.typedefs import Handler

from currantbarrow.exceptions import ClientRefused
from currantbarrow.intake import Intake, connection_of
from currantbarrow.intake.web import (
    GuardedSite,
    create_server_logger,
    receive_body,
)
from currantbarrow.listening import bind_address
from currantbarrow.observe import logger
from currantbarrow.open_requests import OpenRequests

__all__ = [
    "DRAIN_RESERVE_MS",
    "REFUSE_UNRECEIVED",
    "Closer",
    "close_all",
    "create_stop_event",
    "serve_app",
]

# Part of the grace period that is reserved for sending the last responses and closing connections.
DRAIN_RESERVE_MS = 500.0
# The part of it that remains for the interpreter to exit, which is slow on a busy host.
EXIT_RESERVE_MS = 150.0
SHUTDOWN_TIMEOUT_S = 0.1
INTERRUPTED_RETRY_S = 1
# What the library decodes before a handler has read it, in bytes.
READ_BUFFER_BYTES = 16 * 1024

Closer = Callable[[], Awaitable[None]]
# Returns the answer to a request that is not received whole, given the reason.
Refuse = Callable[[web.Request, str], web.Response]
# Set by applications that know more of their requests than that they were not received.
REFUSE_UNRECEIVED: web.AppKey[Refuse] = web.AppKey("refuse_unreceived")
# Callers reuse connections between requests; new ones cost both ends more.
KEEP_ALIVE_TIMEOUT_S = 75.0


async def serve_app(
    app: web.Application,
    address: str,
    setting: str,
    requests: OpenRequests,
    intake: Intake,
    cancel: bool = False,
) -> web.AppRunner:
    """Serve an application; with cancel, a handler is cancelled when its client disconnects.

    Handlers get the body of a request from `take_body`. Requests that have arrived whole and are
    still open once the server has stopped listening are answered with 502.
    """

    refuse = app.get(REFUSE_UNRECEIVED, _refuse_unreceived)

    @web.middleware
    async def serve(request: web.Request, handler: Handler) -> web.StreamResponse:
        connection = connection_of(request.transport)
        try:
            await receive_body(request, request.client_max_size)
        except ClientRefused as error:
            refused = refuse(request, str(error))
            refused.force_close()
            return refused
        except web.RequestPayloadError:
            return _create_unreadable_response()
        try:
            return await requests.answer(handler(request), _create_interrupted_response)
        finally:
            if connection is not None:
                connection.end_answer()

    async def interrupt(app: web.Application) -> None:
        requests.interrupt()

    app.middlewares.append(serve)
    app.on_shutdown.append(interrupt)
    runner = web.AppRunner(
        app,
        access_log=None,
        handler_cancellation=cancel,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        keepalive_timeout=KEEP_ALIVE_TIMEOUT_S,
        read_bufsize=READ_BUFFER_BYTES,
        # Bodies are not compressed, and may become any size if they are.
        auto_decompress=False,
        # The rest of a request that was refused is not waited for.
        lingering_time=0.0,
        logger=create_server_logger(intake.metrics),
    )
    await runner.setup()
    await GuardedSite(runner, bind_address(address, setting), intake).start()
    return runner


async def close_all(*stages: list[Closer]) -> None:
    """Close servers and connections, those of a stage at once, within the time reserved for it."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + (DRAIN_RESERVE_MS - EXIT_RESERVE_MS) / 1000
    for number, closers in enumerate(stages):
        # A stage leaves the others their part of the time.
        await _close_stage(closers, (until_s - loop.time()) / (len(stages) - number))


async def _close_stage(closers: list[Closer], limit_s: float) -> None:
    closing = [asyncio.ensure_future(close()) for close in closers]
    done, late = await asyncio.wait(closing, timeout=limit_s)
    for task in late:
        task.cancel()
    if late:
        logger.warning(
            "connections not closed in time",
            extra={"for_ms": round(limit_s * 1000), "late": len(late), "of": len(closing)},
        )
    for task in done:
        if task.exception() is not None:
            logger.error("connections not closed", exc_info=task.exception())


def create_stop_event() -> asyncio.Event:
    """Handle the signals sent to this process, and return the event that SIGTERM or SIGINT sets."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    # The settings of a process do not change during the lifetime of its host.
    loop.add_signal_handler(
        signal.SIGHUP, lambda: logger.info("reload", extra={"outcome": "nothing to change"})
    )
    return stop


class _ErrorBody(msgspec.Struct):
    code: str
    detail: str = ""


def _create_interrupted_response() -> web.StreamResponse:
    """Return a response that does not say whether the request has had an effect."""
    return _create_error_response(
        502, _ErrorBody("interrupted", "shutting down"), INTERRUPTED_RETRY_S
    )


def _refuse_unreceived(request: web.Request, reason: str) -> web.Response:
    return _create_error_response(503, _ErrorBody("not_received", reason), INTERRUPTED_RETRY_S)


def _create_unreadable_response() -> web.Response:
    response = _create_error_response(400, _ErrorBody("unreadable", "malformed body"))
    response.force_close()
    return response


def _create_error_response(
    status: int, body: _ErrorBody, retry_after_s: int | None = None
) -> web.Response:
    headers = {} if retry_after_s is None else {"Retry-After": str(retry_after_s)}
    return web.Response(
        status=status,
        body=msgspec.json.encode(body),
        content_type="application/json",
        headers=headers,
    )
