"""Run the stand-in for a worker's upstream as a program."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import sys
from typing import Any

import aiohttp
import msgspec
from aiohttp import web

from currantbarrow.exceptions import UpstreamError, UpstreamLost
from currantbarrow.jobs import TaskRun
from currantbarrow.listening import bind_address, bound_address
from currantbarrow.observe import create_clock, logger
from currantbarrow.runtime import StopSignal, run_daemon
from currantbarrow.settings import WorkerStandinSettings
from currantbarrow.standins.faults import change_faults
from currantbarrow.standins.upstream import MemoryUpstream, StartCounter

__all__ = ["WorkerStandin", "main"]


class _TaskBody(msgspec.Struct):
    job: str
    index: int
    job_class: str
    customer: str
    payload: Any


class WorkerStandin:
    """Serve an upstream over HTTP, and announce it to its side process."""

    def __init__(
        self, settings: WorkerStandinSettings, start_counter: StartCounter, listener: socket.socket
    ) -> None:
        self.upstream = MemoryUpstream(
            settings.name, create_clock(), random.Random(), start_counter
        )
        self._settings = settings
        self._start_counter = start_counter
        self._listener = listener
        self._runner: web.AppRunner | None = None
        self._announcing: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Serve tasks and announce the upstream."""
        app = web.Application()
        app.router.add_post("/tasks", self._run)
        app.router.add_delete("/tasks/{job}/{index}", self._stop)
        app.router.add_put("/faults", self._set_faults)
        app.router.add_get("/starts", self._show_starts)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        await web.SockSite(self._runner, self._listener).start()
        self._announcing = asyncio.create_task(self._announce())

    async def leave(self) -> None:
        """Announce to the side process that this upstream leaves."""
        if self._announcing is not None:
            self._announcing.cancel()
        async with aiohttp.ClientSession() as session:
            with contextlib.suppress(aiohttp.ClientError):
                await session.delete(f"{self._settings.side_url}/announcement")

    async def stop(self) -> None:
        """Stop announcing and serving."""
        if self._announcing is not None:
            self._announcing.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    async def _announce(self) -> None:
        body = msgspec.json.encode({"slots": self._settings.slots})
        async with aiohttp.ClientSession() as session:
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    url = f"{self._settings.side_url}/announcement"
                    async with session.put(url, data=body) as response:
                        await response.read()
                await asyncio.sleep(self._settings.announce_ms / 1000)

    async def _run(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read(), type=_TaskBody)
        task = TaskRun(
            bytes.fromhex(body.job),
            body.index,
            0,
            body.job_class,
            body.customer,
            body.payload,
            0,
            0,
        )
        try:
            result = await self.upstream.run(task)
        except UpstreamLost:
            if request.transport is not None:
                request.transport.close()
            return web.Response(status=500)
        except UpstreamError as error:
            return web.Response(status=500, text=str(error))
        return web.Response(body=msgspec.json.encode(result.value), content_type="application/json")

    async def _stop(self, request: web.Request) -> web.Response:
        return web.Response(status=202)

    async def _set_faults(self, request: web.Request) -> web.Response:
        mistakes = change_faults(self.upstream.faults, await request.read())
        status = 422 if mistakes else 200
        body = msgspec.json.encode({"mistakes": mistakes})
        return web.Response(body=body, status=status, content_type="application/json")

    async def _show_starts(self, request: web.Request) -> web.Response:
        starts = {
            f"{job.hex()}/{index}": n for (job, index), n in self._start_counter.starts.items()
        }
        return web.Response(body=msgspec.json.encode(starts), content_type="application/json")


async def _serve(settings: WorkerStandinSettings) -> None:
    stop = StopSignal()
    listener = bind_address(settings.address, "address")
    worker = WorkerStandin(settings, StartCounter(), listener)
    await worker.start()
    logger.info("listening", extra={"address": bound_address(listener)})
    await stop.drain.wait()
    await worker.leave()
    await worker.stop()


def main() -> None:
    """Run the program."""
    sys.exit(run_daemon("currantbarrow-standin-worker", WorkerStandinSettings, _serve))
