"""Serve HTTP, and wait for the order to stop, as the platform's programs do."""

from __future__ import annotations

import asyncio
import signal

from aiohttp import web

from currantbarrow.listening import bind_address
from currantbarrow.observe import logger

__all__ = ["DRAIN_RESERVE_MS", "serve_app", "wait_for_stop"]

# What is left of the grace period for the last answers to leave.
DRAIN_RESERVE_MS = 500.0
SHUTDOWN_S = 0.3
# Callers keep connections open between requests; new ones cost both ends more.
KEEP_ALIVE_S = 75.0


async def serve_app(
    app: web.Application, address: str, setting: str, cancel: bool = False
) -> web.AppRunner:
    """Serve an application; with cancel, handlers end when their client leaves."""
    runner = web.AppRunner(
        app,
        access_log=None,
        handler_cancellation=cancel,
        shutdown_timeout=SHUTDOWN_S,
        keepalive_timeout=KEEP_ALIVE_S,
    )
    await runner.setup()
    await web.SockSite(runner, bind_address(address, setting)).start()
    return runner


async def wait_for_stop() -> None:
    """Return once the process was told to stop."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    # The settings that a running process uses do not change while its host lives.
    loop.add_signal_handler(
        signal.SIGHUP, lambda: logger.info("reload", extra={"outcome": "nothing to change"})
    )
    await stop.wait()
