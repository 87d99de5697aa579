"""Run the stand-in for the log service as a program."""

from __future__ import annotations

import random
import sys
from typing import Any

import msgspec
from aiohttp import web

from currantbarrow.exceptions import AppendUnknown, LogUnavailable, RecordsExpired
from currantbarrow.observe import create_clock
from currantbarrow.runtime import StopSignal, run_daemon
from currantbarrow.settings import LogStandinSettings
from currantbarrow.standins.memory_log import MemoryLog

__all__ = ["create_log_app", "create_log_standin", "main"]


def create_log_standin(settings: LogStandinSettings) -> MemoryLog:
    """Return the log that the stand-in serves."""
    log = MemoryLog(create_clock(), random.Random())
    log.faults.append_delay_ms = settings.append_delay_ms
    log.faults.appends_per_s = settings.appends_per_s
    log.faults.retention_ms = settings.retention_ms
    return log


def create_log_app(log: MemoryLog) -> web.Application:
    """Return the application that serves a log."""

    async def append(request: web.Request) -> web.Response:
        try:
            offset = await log.append(request.match_info["stream"], await request.read())
        except LogUnavailable as error:
            return _json({"detail": str(error)}, 503)
        except AppendUnknown as error:
            return _json({"detail": str(error)}, 500)
        return _json({"offset": offset})

    async def read(request: web.Request) -> web.Response:
        offset = int(request.query.get("from", "0"))
        wait_ms = int(request.query.get("wait_ms", "0"))
        try:
            records = await log.read(request.match_info["stream"], offset, wait_ms)
        except RecordsExpired as expired:
            return _json({"first_offset": expired.first_offset}, 410)
        except LogUnavailable as error:
            return _json({"detail": str(error)}, 503)
        return _json({"records": records})

    async def set_faults(request: web.Request) -> web.Response:
        for name, value in msgspec.json.decode(await request.read()).items():
            if name not in log.faults.__slots__:
                return _json({"detail": f"{name}: no such fault"}, 422)
            setattr(log.faults, name, value)
        return _json({"ok": True})

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
    runner = web.AppRunner(create_log_app(create_log_standin(settings)), access_log=None)
    await runner.setup()
    host, _, port = settings.address.rpartition(":")
    await web.TCPSite(runner, host, int(port)).start()
    await stop.drain.wait()
    await runner.cleanup()


def main() -> None:
    """Run the program."""
    sys.exit(run_daemon("currantbarrow-standin-log", LogStandinSettings, _serve))
