"""Stand-ins of the platform for the scripts of the second review, and the programs under test.

The store, the workers and the clients run in the script's own process and speak what the users'
pages say. The programs are started by the commands of the deploy file, on loopback addresses.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import secrets
import shutil
import signal
import socket
import struct
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

# This file is used from target/review-2, where review/build-2.sh puts it.
ROOT = Path(__file__).resolve().parents[2]
CALLERS_PORT, CONTROL_PORT, READY_PORT, METRICS_PORT = 8161, 8166, 8167, 9464
LINK_PORT, STORE_PORT, WORKER_PORT = 7720, 7000, 8080
HOST = "jobs.example"
PREFIX = "/jobs/"
SERVICE = "engine"
# Bounds of the users' pages.
CANCEL_MS, DRAIN_MS, MAX_HOLD_MS, STOP_MS, GRACE_S = 3000, 2000, 1000, 20, 6
HEARTBEAT_MS = 1500
RETRANSMIT_S = 1.3
FAILED, HELD, NOT_RUN = 1, 0, 2


class CaseNotRun(Exception):
    """The case could not be brought about."""


class Record:
    """What was sent, answered and run, as clients, workers and the platform see it."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began_s = time.monotonic()
        self.broken: list[str] = []

    def write(self, text: str) -> float:
        """Write a line, and return its time in seconds."""
        now_s = time.monotonic() - self._began_s
        print(f"{now_s:8.3f} {text}", file=self._file, flush=True)
        return now_s

    def break_rule(self, text: str) -> None:
        """Record that the rule is broken."""
        self.broken.append(text)
        self.write(f"RULE BROKEN: {text}")


class Store:
    """The platform's store: topics of records, and the newest record of each key."""

    def __init__(self) -> None:
        self.topics: dict[str, list[bytes]] = {}

    def append(self, topic: str, record: bytes) -> int:
        """Append a record, and return its offset."""
        records = self.topics.setdefault(topic, [])
        records.append(record)
        return len(records) - 1

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append the newest record of a key."""
        self.append(topic, bytes([len(key)]) + key.encode() + value)

    async def handle(self, request: web.Request) -> web.Response:
        """Answer a call."""
        topic = request.query.get("topic", "")
        await asyncio.sleep(0.004)
        match request.path:
            case "/currantbarrow/log-append":
                body = await request.read()
                records = self.topics.setdefault(topic, [])
                first, position = len(records), 0
                while position < len(body):
                    (length,) = struct.unpack_from(">I", body, position)
                    records.append(body[position + 4 : position + 4 + length])
                    position += 4 + length
                return web.json_response({"offset": first, "end": len(records)})
            case "/currantbarrow/log-read":
                return await self._read(topic, request)
            case "/currantbarrow/log-newest":
                return self._newest(topic)
        return web.Response(status=404)

    async def _read(self, topic: str, request: web.Request) -> web.Response:
        offset = int(request.query["from"])
        until_s = time.monotonic() + int(request.query.get("wait_ms", 0)) / 1000
        records = self.topics.setdefault(topic, [])
        while len(records) <= offset and time.monotonic() < until_s:
            await asyncio.sleep(0.01)
        body = struct.pack(">QQ", len(records), 0)
        for record in records[offset:]:
            body += struct.pack(">I", len(record)) + record
        return web.Response(body=body)

    def _newest(self, topic: str) -> web.Response:
        newest: dict[str, tuple[int, bytes]] = {}
        records = self.topics.setdefault(topic, [])
        for offset, record in enumerate(records):
            key = record[1 : 1 + record[0]].decode()
            newest[key] = (offset, record[1 + record[0] :])
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in sorted(newest.items())
            if value
        ]
        return web.json_response({"items": items, "has_more": False, "end": len(records)})


class Run:
    """One run on a worker."""

    def __init__(self, task: str, number: int, spec: str) -> None:
        self.task, self.number, self.spec = task, number, spec
        self.stopping = False
        self.timers: list[asyncio.TimerHandle] = []


class Worker:
    """One life of a worker, as PROTOCOL.md describes it; `spec` is a task's run time in ms."""

    def __init__(
        self,
        record: Record,
        worker_id: str,
        address: str,
        control: str,
        *,
        labels: tuple[str, ...] = ("a", "r1-1"),
        cpu: int = 16000,
        on_start: Callable[[Worker, Run], None] | None = None,
    ) -> None:
        self.id, self.address, self.control = worker_id, address, control
        self.labels, self.cpu, self.state = labels, cpu, "ready"
        self.runs: dict[str, Run] = {}
        self.record = record
        self._on_start = on_start
        self._stopped: dict[str, int] = {}
        self._ends: list[list[Any]] = []
        self._position = self._token = self._sequence = 0
        self._lease_ms = 0.0
        self._began_s = time.monotonic()
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self.acknowledged = asyncio.Event()

    def _now_ms(self) -> float:
        return 1000 + (time.monotonic() - self._began_s) * 1000

    async def start(self) -> None:
        """Listen for calls, and send heartbeats."""
        app = web.Application()
        app.router.add_post("/currantbarrow/run-start", self._serve(self._start))
        app.router.add_post("/currantbarrow/run-stop", self._serve(self._stop))
        app.router.add_post("/currantbarrow/hold", self._serve(self._hold))
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.01)
        await self._runner.setup()
        ip, _, port = self.address.rpartition(":")
        await web.TCPSite(self._runner, ip, int(port), reuse_address=True).start()
        self.record.write(f"worker {self.id} is up, labels {','.join(self.labels)}")
        self._tasks = [asyncio.create_task(self._beat()), asyncio.create_task(self._watch())]

    async def crash(self) -> None:
        """End at once: all runs end, and connections are closed."""
        self.record.write(f"worker {self.id} crashes")
        for task in self._tasks:
            task.cancel()
        for run in list(self.runs.values()):
            self._end(run, "crashed")
        if self._runner is not None:
            await self._runner.cleanup()

    async def _beat(self) -> None:
        async with aiohttp.ClientSession() as session:
            while True:
                with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                    await self.announce(session)
                await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def announce(self, session: aiohttp.ClientSession) -> None:
        """Send one heartbeat."""
        self._sequence += 1
        body = {
            "service": SERVICE, "address": self.address, "zone": "zone-a", "version": "v1",
            "slots": 8, "state": self.state, "cold_remaining_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": 32768, "gpus": 0},
            "labels": list(self.labels), "clock_ms": int(self._now_ms()),
            "sequence": self._sequence,
        }  # fmt: skip
        url = f"http://{self.control}/currantbarrow/instances/{self.id}"
        timeout = aiohttp.ClientTimeout(total=1.0)
        async with session.put(url, json=body, timeout=timeout) as answer:
            if answer.status < 300 and not self.acknowledged.is_set():
                self.acknowledged.set()
                self.record.write(f"worker {self.id}: heartbeat ({self.state}) acknowledged")

    def _serve(self, call: Callable[[dict[str, Any]], Awaitable[web.Response]]) -> Any:
        async def handle(request: web.Request) -> web.Response:
            if request.headers.get("X-Expected-Instance", self.id) != self.id:
                return web.Response(status=421)
            return await call(await request.json())

        return handle

    def _reply(self, status: int = 200, **fields: Any) -> web.Response:
        return web.json_response({"clock_ms": int(self._now_ms()), **fields}, status=status)

    def _is_fenced(self, body: dict[str, Any]) -> bool:
        token = body.get("fencing_token", 0)
        if token < self._token:
            return True
        self._token = token
        return False

    def _extend(self, until_ms: float | None) -> None:
        if until_ms is not None:
            limit_ms = self._now_ms() + MAX_HOLD_MS
            self._lease_ms = max(self._lease_ms, min(until_ms, limit_ms))

    async def _start(self, body: dict[str, Any]) -> web.Response:
        if self._is_fenced(body):
            return self._reply(409, reason="fence")
        task, number = body["task"], body["run"]
        if body["until_ms"] <= self._now_ms():
            return self._reply(409, reason="late")
        self._extend(body["until_ms"])
        if number <= self._stopped.get(task, 0):
            return self._reply(409, reason="old")
        if task not in self.runs:
            run = self.runs[task] = Run(task, number, body["spec"])
            self.record.write(f"worker {self.id} starts {task} run {number}")
            loop = asyncio.get_running_loop()
            run.timers.append(loop.call_later(float(run.spec) / 1000, self._end, run, "done"))
            if self._on_start is not None:
                self._on_start(self, run)
        return self._reply()

    async def _stop(self, body: dict[str, Any]) -> web.Response:
        if self._is_fenced(body):
            return self._reply(409, reason="fence")
        task, number = body["task"], body["run"]
        self._stopped[task] = max(number, self._stopped.get(task, 0))
        run = self.runs.get(task)
        if run is not None and run.number <= number and not run.stopping:
            run.stopping = True
            loop = asyncio.get_running_loop()
            run.timers.append(loop.call_later(STOP_MS / 1000, self._end, run, "stopped"))
        return self._reply()

    async def _hold(self, body: dict[str, Any]) -> web.Response:
        if self._is_fenced(body):
            return self._reply(409, reason="fence")
        observed = body.get("observed", 0)
        self._ends = [end for end in self._ends if end[0] > observed]
        self._extend(body.get("until_ms"))
        if body.get("wait_ms") and not self._ends:
            self._changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), body["wait_ms"] / 1000)
        running = [[run.task, run.number, "", 100, 0] for run in self.runs.values()]
        return self._reply(running=running, finished=self._ends[:500])

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(0.005)
            if self._now_ms() >= self._lease_ms:
                for run in list(self.runs.values()):
                    self._end(run, "lapsed")

    def _end(self, run: Run, how: str) -> None:
        if self.runs.get(run.task) is not run:
            return
        for timer in run.timers:
            timer.cancel()
        del self.runs[run.task]
        self._stopped[run.task] = max(run.number, self._stopped.get(run.task, 0))
        self._position += 1
        self._ends.append([self._position, run.task, run.number, how, ""])
        self.record.write(f"worker {self.id}: {run.task} run {run.number} ends {how}")
        self._changed.set()


class Cut:
    """A forwarder that holds the bytes of all its connections during a cut."""

    def __init__(self, address: str, target: str) -> None:
        self.address, self._target = address, target
        self._open = asyncio.Event()
        self._open.set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()

    async def start(self) -> None:
        """Listen."""
        ip, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, ip, int(port))

    def begin(self) -> None:
        """Hold all bytes from now on, and let no new connection through."""
        self._open.clear()

    def end(self) -> None:
        """Pass on what was held, and all that follows."""
        self._open.set()

    def close(self) -> None:
        """Stop listening, and close all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        ip, _, port = self._target.rpartition(":")
        try:
            await self._open.wait()
            there, back = await asyncio.open_connection(ip, int(port))
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
            return
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(self._pump(reader, back), self._pump(there, writer))
        writer.transport.abort()
        back.transport.abort()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                await self._open.wait()
                writer.write(data)
                await writer.drain()
        await self._open.wait()
        with contextlib.suppress(OSError, RuntimeError):
            writer.close()


class Program:
    """One of the programs under test, on addresses of its own."""

    def __init__(self, system: System, role: str, number: int) -> None:
        self.role, self.name = role, f"{role}-{number}"
        self.ip = f"{system.network}.1.{number}"
        self.linked_ip = f"{system.network}.2.{number}" if role == "side" else self.ip
        self.worker_address = f"{system.network}.5.{number}:{WORKER_PORT}"
        self.control = f"{self.ip}:{CONTROL_PORT}"
        self.url = f"http://{self.ip}:{CALLERS_PORT}"
        # Other processes reach a side process through this forwarder.
        self.cut = Cut(f"{self.linked_ip}:{LINK_PORT}", f"{self.ip}:{LINK_PORT}")
        self.process: asyncio.subprocess.Process | None = None
        self._system = system
        self._settings = system.folder / f"{self.name}.json"

    async def start(self) -> None:
        """Start the process by the command of the deploy file."""
        self._settings.write_text(json.dumps(self._system.settings(self)))
        with (self._system.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self._system.commands[self.role],
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": "C.UTF-8",
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "SSL_CERT_FILE": "/dev/null",
                    "SSL_CERT_DIR": "/dev/null",
                    "CURRANTBARROW_SETTINGS": str(self._settings),
                },
                stdout=log,
                stderr=log,
            )
        self._system.record.write(f"{self.name} is started")

    async def kill(self, number: signal.Signals = signal.SIGKILL) -> None:
        """Send a signal, and wait for the end if it ends the process."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(number)
        self._system.record.write(f"{self.name} gets {number.name}")
        if number is signal.SIGKILL:
            await self.process.wait()


class System:
    """A small deployment: entries, side processes with their workers, and the store."""

    def __init__(self, record: Record, entries: int, sides: int) -> None:
        self.record = record
        self.network = _free_network()
        self.folder = Path(tempfile.mkdtemp(prefix="currantbarrow-review-"))
        roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        self.commands = {role: roles[role]["run"].split() for role in roles}
        self.store = Store()
        self.entries = [Program(self, "entry", number) for number in range(1, entries + 1)]
        self.sides = [Program(self, "side", number) for number in range(11, 11 + sides)]
        self.workers: list[Worker] = []
        self._runners: list[web.AppRunner] = []

    def settings(self, program: Program) -> dict[str, Any]:
        """Return a settings file as DEPLOY.md shows it."""
        is_entry = program.role == "entry"
        listen = {"control": program.control}
        if is_entry:
            listen |= {
                "frontend": f"{program.ip}:{CALLERS_PORT}",
                "readiness": f"{program.ip}:{READY_PORT}",
            }
        settings = {
            "node_name": program.name, "role": program.role,
            "machine_class": "frontend" if is_entry else "side",
            "serves": ["frontend", "control_plane"] if is_entry else ["side"],
            "ip": program.linked_ip, "zone": "zone-a", "region": "region",
            "zones": {"zone-a": "region"}, "listen_addrs": listen,
            "internal_port_range": [LINK_PORT, LINK_PORT + 15],
            "seeds": [entry.control for entry in self.entries[:3]],
            "bootstrap": True, "loss_counts": False,
            "limits": {"cpu_share": 0.5, "cpu_cores": 2, "memory_mb": 300, "max_fds": 4100,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "local", "entry": "vip", "heartbeat_ms": HEARTBEAT_MS,
            "policies": ["base", "drain", "config", "cost", "recover", "sched", "platform"],
            "bounds": {"drain_ms": DRAIN_MS, "grace_s": GRACE_S, "max_hold_ms": MAX_HOLD_MS,
                       "cancel_ms": CANCEL_MS, "contact_ms": 3000, "far_factor": 1.5},
            "commands": "request", "advice": "",
            "platform": {"address": f"{self.network}.3.1:{STORE_PORT}", "form": "log"},
        }  # fmt: skip
        if not is_entry:
            settings |= {
                "app": program.worker_address, "service": SERVICE,
                # Other processes connect through the forwarder.
                "link_listener": f"{program.ip}:{LINK_PORT}",
            }  # fmt: skip
        return settings

    async def start(self, workers: list[Worker]) -> None:
        """Start everything, and wait until every entry is ready and knows all workers."""
        self.workers = workers
        app = web.Application(client_max_size=4 * 1024 * 1024)
        app.router.add_route("*", "/{path:.*}", self.store.handle)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.01)
        self._runners.append(runner)
        await runner.setup()
        await web.TCPSite(runner, f"{self.network}.3.1", STORE_PORT).start()
        self.configure()
        for side in self.sides:
            await side.cut.start()
        for program in [*self.entries, *self.sides]:
            await program.start()
        for worker in workers:
            await worker.start()
        async with asyncio.timeout(30):
            for entry in self.entries:
                await self.wait_ready(entry)
            for worker in workers:
                await worker.acknowledged.wait()
        # Entries learn of all workers, and of one another.
        await asyncio.sleep(4.0)

    def configure(self) -> None:
        """Publish the configuration."""
        route = {
            "name": "queue", "host": HOST, "path_prefix": PREFIX, "service": SERVICE,
            "priority": 0, "max_attempts": 3, "stretch": 1.6, "target_latency_ms": 3000,
        }  # fmt: skip
        document = {"version": 3, "routes": [route], "services": [{"name": SERVICE}], "limits": {}}
        self.store.put("keyed.op", "config", json.dumps(document).encode())

    async def wait_ready(self, entry: Program, limit_s: float = 25.0) -> None:
        """Wait until an entry reports itself ready."""
        until_s = time.monotonic() + limit_s
        url = f"http://{entry.ip}:{READY_PORT}/currantbarrow/readiness"
        async with aiohttp.ClientSession() as session:
            while time.monotonic() < until_s:
                with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                    timeout = aiohttp.ClientTimeout(total=0.5)
                    async with session.get(url, timeout=timeout) as answer:
                        if answer.status == 200:
                            return
                await asyncio.sleep(0.05)
        raise CaseNotRun(f"{entry.name} is not ready")

    async def wait_listening(self, entry: Program, limit_s: float = 25.0) -> None:
        """Wait until an entry accepts connections of clients."""
        until_s = time.monotonic() + limit_s
        while time.monotonic() < until_s:
            with contextlib.suppress(OSError):
                socket.create_connection((entry.ip, CALLERS_PORT), 0.5).close()
                return
            await asyncio.sleep(0.01)
        raise CaseNotRun(f"{entry.name} does not listen")

    async def stop(self) -> None:
        """End all processes and servers that were started."""
        for program in [*self.entries, *self.sides]:
            if program.process is not None and program.process.returncode is None:
                program.process.kill()
                await program.process.wait()
            program.cut.close()
        for worker in self.workers:
            for task in worker._tasks:
                task.cancel()
            if worker._runner is not None:
                await worker._runner.cleanup()
        for runner in self._runners:
            await runner.cleanup()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Client:
    """A client with connections that stay open, as the pages' clients have."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=60)
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def send(
        self, method: str, entry: Program, job: str, body: Any = None, deadline_ms: int = 10_000
    ) -> tuple[int, str]:
        """Send a request, and return its status (0 without an answer) and the state in it."""
        label = f"{method} {job} at {entry.name}"
        self._record.write(f"client sends {label}")
        headers = {"Host": HOST, "X-Deadline-Ms": str(deadline_ms)}
        try:
            async with self._session.request(
                method,
                f"{entry.url}{PREFIX}{job}",
                json=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=deadline_ms / 1000),
            ) as answer:
                text = (await answer.read()).decode()
                status = answer.status
        except (aiohttp.ClientError, TimeoutError) as error:
            self._record.write(f"client has no answer to {label}: {type(error).__name__}")
            return 0, ""
        self._record.write(f"client is answered {status} {text} to {label}")
        with contextlib.suppress(ValueError):
            return status, json.loads(text).get("state", "")
        return status, ""


def new_job_id() -> str:
    """Return the id of a new job."""
    return secrets.token_hex(8)


def job_body(run_ms: int, count: int = 1, cpu: int = 1000, **fields: Any) -> dict[str, Any]:
    """Return the body of a job of one step that needn't be kept."""
    phase = {"count": count, "cpu": cpu, "mem_mb": 64, "estimate_ms": run_ms, **fields}
    return {"spec": str(run_ms), "best_effort": True, "phases": [phase]}


def run_case(
    case: Callable[[Record, bool], Awaitable[None]], record_path: Path, *, trouble: bool
) -> int:
    """Run a case, and return the exit status of its script."""
    record = Record(record_path)
    record.write(f"begins, {'with' if trouble else 'without'} the disruption")

    async def limited() -> None:
        async with asyncio.timeout(110):
            await case(record, trouble)

    try:
        asyncio.run(limited())
    except Exception as error:
        # Whatever went wrong in the script itself says nothing about the rule.
        record.write(f"the case could not run: {error!r}")
        return NOT_RUN
    if record.broken:
        return FAILED
    record.write("the rule held")
    return HELD


def _free_network() -> str:
    """Return a loopback network on which nobody listens."""
    for number in random.sample(range(130, 250), 100):
        network = f"127.{number}"
        try:
            for address in ((f"{network}.3.1", STORE_PORT), (f"{network}.1.1", CALLERS_PORT)):
                socket.create_server(address).close()
        except OSError:
            continue
        return network
    raise CaseNotRun("no free loopback network")
