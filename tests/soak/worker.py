"""Serve an in-memory worker over HTTP, with the calls of the platform's workers."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import time
from collections.abc import Callable

import aiohttp
import msgspec
from aiohttp import web

from currantbarrow.direct.model import Resources
from currantbarrow.direct.worker import RunName, RunSpec, StartVerdict
from currantbarrow.exceptions import WorkerAbsent, WorkerReplaced, WorkerSilent
from currantbarrow.protocol.direct import RunEnd
from currantbarrow.standins.direct_worker import MemoryWorker, RunRecorder, Task, WorkerFaults
from soak.site import RunEvent, Site

__all__ = [
    "CRASHED",
    "CRASHED_BY_TASK",
    "RESOURCES",
    "SERVICE",
    "HttpWorker",
    "RemoteWorker",
    "RunReporter",
    "create_worker",
]

ANNOUNCE_INTERVAL_S = 0.5
LEASE_LIMIT_MS = 1000.0
# Time without an answer to a lost call; the caller's own time-out is much shorter.
NO_ANSWER_MS = 10_000.0
REFUSAL_REASONS = {
    StartVerdict.FENCED: "fence",
    StartVerdict.OUTDATED: "old",
    StartVerdict.LEASE_EXPIRED: "late",
    StartVerdict.INSUFFICIENT_RESOURCES: "room",
}
END_NAMES = {
    RunEnd.DONE: "done",
    RunEnd.FAILED: "failed",
    RunEnd.STOPPED: "stopped",
    RunEnd.LOST: "lapsed",
}
# Ends of runs by a crash of their worker, in events, and of the one that has caused it.
CRASHED = "crashed"
CRASHED_BY_TASK = "crashed_by_task"
LISTEN_CHECK_S = 0.002
SERVICE = "work"
MAX_ENDS_PER_ANSWER = 500
RESOURCES = Resources(8000, 65536, 0)


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


class HttpWorker:
    """HTTP server of one worker, which also announces it to its side process."""

    def __init__(self, worker: MemoryWorker, announce_address: str) -> None:
        self.worker = worker
        self._announce_address = announce_address
        self._announce_url = f"http://{announce_address}/currantbarrow/instances/"
        self._announce_task: asyncio.Task[None] | None = None
        self._listening: asyncio.Task[None] | None = None
        # Number of announcements to precede with an invalid one under another worker's name.
        self.invalid_announcements = 0

    def create_app(self) -> web.Application:
        """Return the application that serves the worker's calls."""
        app = web.Application()
        app.router.add_post("/currantbarrow/run-start", self._handle_start)
        app.router.add_post("/currantbarrow/run-stop", self._handle_stop)
        app.router.add_post("/currantbarrow/hold", self._handle_poll)
        return app

    def start(self) -> None:
        """Start the worker's clock and its announcements; without an address, neither is needed."""
        if self._announce_address:
            self.worker.start_clock()
            self._announce_task = asyncio.create_task(self._announce())

    def set_fault(self, field: str, value: object) -> None:
        """Set a field of the worker's faults."""
        setattr(self.worker.faults, field, value)

    def add_faults(self, late_starts: int, lost_answers: int, invalid_announcements: int) -> None:
        """Let further starts be late, answers be lost, and announcements be preceded."""
        self.worker.faults.late_starts += late_starts
        self.worker.faults.lost_answers += lost_answers
        self.invalid_announcements = invalid_announcements

    async def listen(self, ip: str, port: int) -> None:
        """Listen for calls, but not while the worker is away."""
        runner = web.AppRunner(self.create_app(), access_log=None)
        await runner.setup()
        site = web.TCPSite(runner, ip, port)
        await site.start()
        self._listening = asyncio.create_task(self._keep_listening(runner, site, ip, port))

    async def _keep_listening(
        self, runner: web.AppRunner, site: web.TCPSite, ip: str, port: int
    ) -> None:
        while True:
            await asyncio.sleep(LISTEN_CHECK_S)
            if self.worker.is_away:
                await site.stop()
                while self.worker.is_away:
                    await asyncio.sleep(LISTEN_CHECK_S)
                site = web.TCPSite(runner, ip, port)
                await site.start()

    def crash(self) -> None:
        """Crash the worker."""
        self.worker.crash()

    def crash_for(self, away_ms: float) -> None:
        """Crash the worker, and refuse connections for a time."""
        self.worker.crash_for(away_ms)

    def resize(self, cpu_millis: int) -> None:
        """Change the cores of the worker."""
        self.worker.resize(Resources(cpu_millis, 65536, 0))

    def restart(self) -> None:
        """Restart the worker under its id."""
        self.worker.restart()

    def count_unacknowledged_ends(self) -> int:
        """Return how many run ends are not yet acknowledged."""
        return self.worker.unacknowledged_ends

    async def report_departure(self) -> None:
        """Report a shutdown, as a delayed message of a former instance does."""
        timeout = aiohttp.ClientTimeout(total=1.0)
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with aiohttp.ClientSession(timeout=timeout) as session:
                await session.delete(self._announce_url + self.worker.worker)

    async def _handle_start(self, request: web.Request) -> web.StreamResponse:
        body = msgspec.json.decode(await request.read(), type=_Start)
        run = RunSpec(_run_name(body.task, body.run), body.spec)
        try:
            answer = await self.worker.start(
                _instance(request), run, body.until_ms, body.fencing_token, NO_ANSWER_MS
            )
        except WorkerReplaced:
            return web.Response(status=421)
        except (WorkerAbsent, WorkerSilent):
            return _drop_connection(request)
        if answer.verdict is StartVerdict.STARTED:
            return web.json_response({"clock_ms": answer.clock_ms})
        reply = {"clock_ms": answer.clock_ms, "reason": REFUSAL_REASONS[answer.verdict]}
        return web.json_response(reply, status=409)

    async def _handle_stop(self, request: web.Request) -> web.StreamResponse:
        body = msgspec.json.decode(await request.read(), type=_Stop)
        name = _run_name(body.task, body.run)
        try:
            done = await self.worker.stop(
                _instance(request), name, body.fencing_token, NO_ANSWER_MS
            )
        except WorkerReplaced:
            return web.Response(status=421)
        except (WorkerAbsent, WorkerSilent):
            return _drop_connection(request)
        return web.json_response({}, status=200 if done else 409)

    async def _handle_poll(self, request: web.Request) -> web.StreamResponse:
        body = msgspec.json.decode(await request.read(), type=_Poll)
        try:
            result = await self.worker.poll(
                _instance(request),
                body.fencing_token,
                acknowledged_end=body.observed,
                lease_until_ms=body.until_ms,
                wait_ms=body.wait_ms,
                timeout_ms=NO_ANSWER_MS,
            )
        except WorkerReplaced:
            return web.Response(status=421)
        except (WorkerAbsent, WorkerSilent):
            return _drop_connection(request)
        if result is None:
            return web.json_response({"reason": "fence"}, status=409)
        running = [[_task_id(name), name.number, "", 50, 0] for name in result.running]
        finished = [
            [end.position, _task_id(end.name), end.name.number, END_NAMES[end.end], ""]
            for end in result.ends
        ]
        return web.json_response(
            {
                "clock_ms": result.clock_ms,
                "running": running,
                "finished": finished[:MAX_ENDS_PER_ANSWER],
                **_birth(result.born_ms),
            }
        )

    async def _announce(self) -> None:
        async with aiohttp.ClientSession() as session:
            while True:
                if not self.worker.is_away:
                    with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                        await self._send_announcement(session)
                await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def _send_announcement(self, session: aiohttp.ClientSession) -> None:
        announcement = self.worker.announcement()
        body = {
            "service": SERVICE,
            "state": "draining" if announcement.leaving else "ready",
            "capacity": {"cpu": announcement.capacity.cpu_millis, "mem_mb": 65536, "gpus": 0},
            "labels": sorted(announcement.labels),
            "sequence": announcement.sequence,
            **_birth(announcement.born_ms),
            "slots": 8,
        }
        timeout = aiohttp.ClientTimeout(total=1.0)
        if self.invalid_announcements > 0:
            self.invalid_announcements -= 1
            invalid = {**body, "state": 7, "capacity": "much"}
            url = self._announce_url + "i-of-another-writer"
            await session.put(url, json=invalid, timeout=timeout)
        await session.put(self._announce_url + announcement.worker, json=body, timeout=timeout)


def _birth(born_ms: int) -> dict[str, int]:
    return {"born": born_ms} if born_ms else {}


def _instance(request: web.Request) -> str:
    return request.headers.get("X-Expected-Instance", "")


def _drop_connection(request: web.Request) -> web.StreamResponse:
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


def _task_id(name: RunName) -> str:
    return f"{name.job}.0.{name.step}.{name.index}"


def _run_name(task: str, number: int) -> RunName:
    job, _, step, index = task.split(".")
    return RunName(job, int(step), int(index), number)


class RunReporter(RunRecorder):
    """Report the starts and ends of runs to the run's process."""

    def __init__(self, send: Callable[[RunEvent], None]) -> None:
        super().__init__()
        self._send = send

    def record_start(self, task: Task, worker: str) -> None:
        """Report a start."""
        self._send(RunEvent(time.monotonic(), worker, task))

    def record_end(self, task: Task, worker: str, end: RunEnd = RunEnd.LOST) -> None:
        """Report an end."""
        self._send(RunEvent(time.monotonic(), worker, task, end))

    def record_crash(self, task: Task, worker: str) -> None:
        """Report that a task has crashed its worker."""
        self._send(RunEvent(time.monotonic(), worker, task, CRASHED_BY_TASK))

    def record_crash_end(self, task: Task, worker: str) -> None:
        """Report an end by a crash of the worker."""
        self._send(RunEvent(time.monotonic(), worker, task, CRASHED))


async def create_worker(
    recorder: RunReporter,
    name: str,
    address: str,
    announce_address: str,
    clock_rate: float,
    clock_start_ms: float,
    born_ms: int,
) -> HttpWorker:
    """Create, serve and start a worker; without an address, it announces itself to nobody."""
    worker = MemoryWorker(
        name,
        RESOURCES,
        recorder,
        LEASE_LIMIT_MS,
        clock_rate=clock_rate,
        clock_start_ms=clock_start_ms,
        born_ms=born_ms,
    )
    server = HttpWorker(worker, announce_address)
    ip, _, port = address.rpartition(":")
    await server.listen(ip, int(port))
    server.start()
    return server


class RemoteFaults:
    """Faults of a worker in another process: fields are set there as here."""

    def __init__(self, site: Site, worker: str) -> None:
        object.__setattr__(self, "_set", functools.partial(site.post, worker, "set_fault"))
        object.__setattr__(self, "_faults", WorkerFaults())

    def __getattr__(self, field: str) -> object:
        return getattr(self._faults, field)

    def __setattr__(self, field: str, value: object) -> None:
        setattr(self._faults, field, value)
        self._set(field=field, value=value)  # type: ignore[operator]


class RemoteWorker:
    """A worker in another process."""

    def __init__(self, site: Site, name: str) -> None:
        self.faults = RemoteFaults(site, name)
        self.name = name
        self._site = site

    async def start(
        self,
        address: str,
        announce_address: str = "",
        clock_rate: float = 1.0,
        clock_start_ms: float = 0.0,
        born_ms: int = 0,
    ) -> None:
        """Create and start the worker; without an address, it announces itself to nobody."""
        await self._site.call(
            "",
            "add_worker",
            name=self.name,
            address=address,
            announce_address=announce_address,
            clock_rate=clock_rate,
            clock_start_ms=clock_start_ms,
            born_ms=born_ms,
        )

    def add_faults(self, **counts: int) -> None:
        """Let further starts be late, answers be lost, and announcements be preceded."""
        self._site.post(self.name, "add_faults", **counts)

    def crash(self) -> None:
        """Crash the worker."""
        self._site.post(self.name, "crash")

    def crash_for(self, away_ms: float) -> None:
        """Crash the worker, and refuse connections for a time."""
        self._site.post(self.name, "crash_for", away_ms=away_ms)

    def resize(self, cpu_millis: int) -> None:
        """Change the cores of the worker."""
        self._site.post(self.name, "resize", cpu_millis=cpu_millis)

    def restart(self) -> None:
        """Restart the worker under its id."""
        self._site.post(self.name, "restart")

    async def report_departure(self) -> None:
        """Report a shutdown, as a delayed message of a former instance does."""
        await self._site.call(self.name, "report_departure")

    async def count_unacknowledged_ends(self) -> int:
        """Return how many run ends are not yet acknowledged."""
        return int(await self._site.call(self.name, "count_unacknowledged_ends"))
