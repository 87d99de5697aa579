"""Let a worker in memory take its orders over HTTP, as the platform's workers do."""

from __future__ import annotations

import asyncio
import contextlib

import aiohttp
import msgspec
from aiohttp import web

from currantbarrow.direct.model import Resources
from currantbarrow.direct.worker import RunName, RunSpec, StartVerdict
from currantbarrow.exceptions import WorkerReplaced, WorkerSilent
from currantbarrow.protocol.direct import RunEnd
from currantbarrow.standins.direct_worker import MemoryWorker, RunRecorder

__all__ = ["HttpWorker", "SkewedWorker"]

ANNOUNCE_S = 0.5
LEASE_LIMIT_MS = 1000.0
# An order without an answer is left by its sender long before this.
SILENCE_MS = 10_000.0
REASONS = {
    StartVerdict.FENCED: "fence",
    StartVerdict.OUTDATED: "old",
    StartVerdict.LEASE_EXPIRED: "late",
    StartVerdict.INSUFFICIENT_RESOURCES: "room",
}
HOWS = {
    RunEnd.DONE: "done",
    RunEnd.FAILED: "failed",
    RunEnd.STOPPED: "stopped",
    RunEnd.LOST: "lapsed",
}
SERVICE = "work"
ANSWERED_ENDS = 500


class _Start(msgspec.Struct):
    task: str
    run: int
    spec: str
    until_ms: float
    fencing_token: int = 0


class _Stop(msgspec.Struct):
    task: str
    run: int
    fencing_token: int = 0


class _Poll(msgspec.Struct):
    fencing_token: int = 0
    observed: int = 0
    until_ms: float | None = None
    wait_ms: float = 0.0


class SkewedWorker(MemoryWorker):
    """Be a worker whose steady clock began elsewhere and runs a little slow or fast."""

    def __init__(
        self, name: str, capacity: Resources, book: RunRecorder, *, rate: float, begin_ms: float
    ) -> None:
        super().__init__(name, capacity, book, LEASE_LIMIT_MS)
        self._rate = rate
        self._begin_ms = begin_ms

    def _now_ms(self) -> float:  # type: ignore[override]
        return self._begin_ms + asyncio.get_running_loop().time() * 1000 * self._rate


class HttpWorker:
    """Serve one worker's calls, and announce it to the process beside it."""

    def __init__(self, worker: SkewedWorker, announce_to: str) -> None:
        self.worker = worker
        self._announce_url = f"http://{announce_to}/currantbarrow/instances/"
        self._task: asyncio.Task[None] | None = None
        # An announcement that arrives out of turn, or that another writer made.
        self.odd_beats = 0

    def create_app(self) -> web.Application:
        """Return the application that takes orders."""
        app = web.Application()
        app.router.add_post("/currantbarrow/run-start", self._start)
        app.router.add_post("/currantbarrow/run-stop", self._stop)
        app.router.add_post("/currantbarrow/hold", self._poll)
        return app

    def begin(self) -> None:
        """Let runs end, and announce the worker."""
        self.worker.start_clock()
        self._task = asyncio.create_task(self._announce())

    def end(self) -> None:
        """Stop the worker."""
        self.worker.stop_clock()
        if self._task is not None:
            self._task.cancel()

    async def _start(self, request: web.Request) -> web.StreamResponse:
        body = msgspec.json.decode(await request.read(), type=_Start)
        run = RunSpec(_run_name(body.task, body.run), body.spec)
        try:
            answer = await self.worker.start(
                _instance(request), run, body.until_ms, body.fencing_token, SILENCE_MS
            )
        except WorkerReplaced:
            return web.Response(status=421)
        except WorkerSilent:
            return _lose(request)
        if answer.verdict is StartVerdict.STARTED:
            return web.json_response({"clock_ms": answer.clock_ms})
        reply = {"clock_ms": answer.clock_ms, "reason": REASONS[answer.verdict]}
        return web.json_response(reply, status=409)

    async def _stop(self, request: web.Request) -> web.StreamResponse:
        body = msgspec.json.decode(await request.read(), type=_Stop)
        name = _run_name(body.task, body.run)
        try:
            done = await self.worker.stop(_instance(request), name, body.fencing_token, SILENCE_MS)
        except WorkerReplaced:
            return web.Response(status=421)
        except WorkerSilent:
            return _lose(request)
        return web.json_response({}, status=200 if done else 409)

    async def _poll(self, request: web.Request) -> web.StreamResponse:
        body = msgspec.json.decode(await request.read(), type=_Poll)
        try:
            result = await self.worker.poll(
                _instance(request),
                body.fencing_token,
                acknowledged_end=body.observed,
                lease_until_ms=body.until_ms,
                wait_ms=body.wait_ms,
                timeout_ms=SILENCE_MS,
            )
        except WorkerReplaced:
            return web.Response(status=421)
        except WorkerSilent:
            return _lose(request)
        if result is None:
            return web.json_response({"reason": "fence"}, status=409)
        running = [[_task(name), name.number, "", 50, 0] for name in result.running]
        finished = [
            [end.position, _task(end.name), end.name.number, HOWS[end.end], ""]
            for end in result.ends
        ]
        return web.json_response(
            {
                "clock_ms": result.clock_ms,
                "running": running,
                "finished": finished[:ANSWERED_ENDS],
            }
        )

    async def _announce(self) -> None:
        async with aiohttp.ClientSession() as session:
            while True:
                with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                    await self._beat(session)
                await asyncio.sleep(ANNOUNCE_S)

    async def _beat(self, session: aiohttp.ClientSession) -> None:
        said = self.worker.announcement()
        body = {
            "service": SERVICE,
            "state": "draining" if said.leaving else "ready",
            "capacity": {"cpu": said.capacity.cpu_millis, "mem_mb": 65536, "gpus": 0},
            "labels": sorted(said.labels),
            "sequence": said.sequence,
            "slots": 8,
        }
        limit = aiohttp.ClientTimeout(total=1.0)
        if self.odd_beats > 0:
            self.odd_beats -= 1
            odd = {**body, "state": 7, "capacity": "much"}
            url = self._announce_url + "i-of-another-writer"
            await session.put(url, json=odd, timeout=limit)
        await session.put(self._announce_url + said.worker, json=body, timeout=limit)


def _instance(request: web.Request) -> str:
    return request.headers.get("X-Expected-Instance", "")


def _lose(request: web.Request) -> web.StreamResponse:
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


def _task(name: RunName) -> str:
    return f"{name.job}.0.{name.step}.{name.index}"


def _run_name(task: str, number: int) -> RunName:
    job, _, step, index = task.split(".")
    return RunName(job, int(step), int(index), number)
