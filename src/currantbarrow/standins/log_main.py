"""Run the stand-in for the log service as a program."""

from __future__ import annotations

import random
import socket
import sys
from typing import Any

import msgspec
from aiohttp import web

from currantbarrow.exceptions import AppendUnknown, LogUnavailable, RecordsExpired
from currantbarrow.listening import bind_address, bound_address
from currantbarrow.observe import create_clock, logger
from currantbarrow.runtime import StopSignal, run_daemon
from currantbarrow.settings import LogStandinSettings
from currantbarrow.standins.faults import change_faults
from currantbarrow.standins.memory_log import MemoryLog

__all__ = ["LogStandin", "main"]

SHUTDOWN_TIMEOUT_S = 0.2


class LogStandin:
    """Serve an in-memory log over HTTP on a listening socket."""

    def __init__(self, settings: LogStandinSettings, listener: socket.socket) -> None:
        self.log = MemoryLog(create_clock(), random.Random())
        self.log.faults.append_delay_ms = settings.append_delay_ms
        self.log.faults.appends_per_s = settings.appends_per_s
        self.log.faults.retention_ms = settings.retention_ms
        self._listener = listener
        self._runner = web.AppRunner(
            _create_app(self.log), access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )

    async def start(self) -> None:
        """Serve the log."""
        await self._runner.setup()
        await web.SockSite(self._runner, self._listener).start()

    async def stop(self) -> None:
        """Stop serving."""
        await self._runner.cleanup()


def _create_app(log: MemoryLog) -> web.Application:
    async def append(request: web.Request) -> web.Response:
        try:
            offset = await log.append(request.match_info["stream"], await request.read())
        except LogUnavailable as error:
            return _json({"detail": str(error)}, 503)
        except AppendUnknown as error:
            return _json({"detail": str(error)}, 500)
        return _json({"offset": offset})

    async def read(request: web.Request) -> web.Response:
        try:
            offset = int(request.query.get("from", "0"))
            wait_ms = int(request.query.get("wait_ms", "0"))
        except ValueError as error:
            return _json({"detail": str(error)}, 422)
        try:
            records = await log.read(request.match_info["stream"], offset, wait_ms)
        except RecordsExpired as expired:
            return _json({"first_offset": expired.first_offset}, 410)
        except LogUnavailable as error:
            return _json({"detail": str(error)}, 503)
        return _json({"records": records})

    async def set_faults(request: web.Request) -> web.Response:
        mistakes = change_faults(log.faults, await request.read())
        return _json({"mistakes": mistakes}, 422 if mistakes else 200)

    app = web.Application()
    app.router.add_post("/streams/{stream}/records", append)
    app.router.add_get("/streams/{stream}/records", read)
    app.router.add_put("/faults", set_faults)
    return app


def _json(body: Any, status: int = 200) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(body), status=status, content_type="application/json"
    )


async def _serve(settings: LogStandinSettings) -> None:
    stop = StopSignal()
    listener = bind_address(settings.address, "address")
    standin = LogStandin(settings, listener)
    await standin.start()
    logger.info("listening", extra={"address": bound_address(listener)})
    await stop.drain.wait()
    await standin.stop()


def main() -> None:
    """Run the program."""
    sys.exit(run_daemon("currantbarrow-standin-log", LogStandinSettings, _serve))
