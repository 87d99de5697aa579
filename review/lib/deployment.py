"""Run a small deployment: the project's programs as processes, and stand-ins for all the rest.

The stand-ins (store, workers, callers) run in the process of the script, use the standard library
only, and follow the users' pages. Every process has a loopback address of its own.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import struct
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
LINK_PORT, FRONTEND_PORT, CONTROL_PORT, READY_PORT, APP_PORT, STORE_PORT = (
    7720,
    8161,
    8166,
    8167,
    8080,
    8169,
)
SERVICE, HOST, PREFIX = "termini", "nony24.example", "/lohu930/"
ZONES = ("moste", "siska", "vic")
# The bounds of the sheet of vaja-ljubljana, which the programs get as their settings.
BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "contact_ms": 3000,
    "ack_timeout_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_skew_ms": 5000,
    "recovery_s": 12,
    "max_hold_ms": 1000,
    "stop_timeout_ms": 50,
    "gang_timeout_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "far_factor": 1.5,
    "checkpoint_s": 1,
    "restore_ms": 100,
    "notice_ms": 4500,
    "move_s": 1.5,
    "maintenance_s": 2,
    "fencing_enforced": True,
    "lease_ttl_ms": 3000,
    "thaw_slack_ms": 300,
    "pace_ms": 100,
    "harm_ms": 4000,
    "retransmit_ms": 1300,
}
CONTACT_S = BOUNDS["contact_ms"] / 1000
CANCEL_S = BOUNDS["cancel_ms"] / 1000
STOP_S = BOUNDS["stop_timeout_ms"] / 1000
CONFIG_APPLY_S = BOUNDS["config_apply_ms"] / 1000
RETRANSMIT_S = BOUNDS["retransmit_ms"] / 1000
GRACE_S = float(BOUNDS["grace_s"])
HEARTBEAT_S = 1.5
LIMIT_S = 115.0

Answer = tuple[int, bytes]


class CaseError(Exception):
    """The case could not be run."""


class Record:
    """Write down what was sent, answered and run, with the time since the start of the script."""

    def __init__(self, path: Path) -> None:
        self._began_s = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def now_s(self) -> float:
        return time.monotonic() - self._began_s

    def write(self, text: str) -> float:
        now_s = self.now_s()
        self._file.write(f"{now_s:8.3f}  {text}\n")
        self._file.flush()
        return now_s


# HTTP/1.1 with bodies of a given length, as all interfaces of the pages use it.


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    first = (await reader.readline()).decode("latin-1").strip()
    if not first:
        raise ConnectionError("closed")
    headers: dict[str, str] = {}
    while line := (await reader.readline()).decode("latin-1").strip():
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


_kept_tasks: set[asyncio.Task[Any]] = set()


def keep_task(task: asyncio.Task[Any] | None) -> None:
    """Keep a reference to a task: one that waits for ever would otherwise be collected."""
    if task is not None:
        _kept_tasks.add(task)
        task.add_done_callback(_kept_tasks.discard)


Handler = Callable[[str, str, dict[str, str], bytes], Awaitable[Answer | None]]


class HttpServer:
    """Serve calls; None from the handler leaves a call without an answer."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self.connections: set[asyncio.StreamWriter] = set()
        # Connections that have gone silent for good: nothing more is read or written on them.
        self._silent: set[asyncio.StreamWriter] = set()
        self._never = asyncio.Event()

    async def listen(self, ip: str, port: int) -> None:
        self._server = await asyncio.start_server(self._serve, ip, port)

    def silence_open(self) -> int:
        """Let all open connections go silent for good, without a reset; new ones work."""
        self._silent |= self.connections
        return len(self._silent)

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(writer)
        keep_task(asyncio.current_task())
        try:
            while True:
                first, headers, body = await read_message(reader)
                if writer in self._silent:
                    await self._never.wait()
                method, path, _ = first.split(" ", 2)
                answer = await self._handler(method, path, headers, body)
                if answer is None or writer in self._silent:
                    await self._never.wait()
                    return
                status, content = answer
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n".encode() + content
                )
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class CallerConnection:
    """One request of a caller on a connection of its own."""

    def __init__(self, ip: str, port: int = FRONTEND_PORT) -> None:
        self._ip, self._port = ip, port
        self._writer: asyncio.StreamWriter | None = None

    async def request(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        *,
        deadline_ms: int = 30_000,
        host: str = HOST,
    ) -> Answer | None:
        """Return the answer, or None if the connection broke or the deadline passed."""
        content = b"" if body is None else json.dumps(body).encode()
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                reader, self._writer = await asyncio.open_connection(self._ip, self._port)
                self._writer.write(
                    f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
                    f"Content-Type: application/json\r\nX-Deadline-Ms: {deadline_ms}\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n".encode() + content
                )
                first, _, answer = await read_message(reader)
                return int(first.split(" ")[1]), answer
        except (OSError, EOFError, TimeoutError):
            return None
        finally:
            if self._writer is not None:
                self._writer.close()

    def break_off(self) -> None:
        """Reset the connection, as a broken path between caller and entry does at both ends."""
        if self._writer is not None:
            opened = self._writer.get_extra_info("socket")
            if opened is not None:
                opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self._writer.transport.abort()


class LinkProxy:
    """Forward the connections between processes to one of them."""

    def __init__(
        self, ip: str, target_ip: str, name: str, port: int = LINK_PORT, source: str = ""
    ) -> None:
        self._ip, self._target_ip, self._port = ip, target_ip, port
        # The only process that connects, if it is known beforehand.
        self._source = source
        # The process that is connected to.
        self.name = name
        # The processes that connected, as their greeting names them.
        self._sources: dict[asyncio.StreamWriter, str] = {}
        self._partition: Partition | None = None
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()
        self._silent: set[asyncio.StreamWriter] = set()
        self._never = asyncio.Event()

    async def listen(self) -> None:
        self._server = await asyncio.start_server(self._serve, self._ip, self._port)

    def silence_open(self) -> int:
        """Let all open connections go silent for good, without a reset; new ones work."""
        self._silent |= self._open
        return len(self._silent)

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._open):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        keep_task(asyncio.current_task())
        if self._partition is not None and (
            not self._source or self._partition.divides(self._source, self.name)
        ):
            # A connection that is opened meanwhile hangs, also one between links' processes on
            # the same side, since its dialer is not known yet.
            await self._partition.ended.wait()
        try:
            far_reader, far_writer = await asyncio.open_connection(self._target_ip, self._port)
        except OSError:
            writer.transport.abort()
            return
        self._open |= {writer, far_writer}
        try:
            copying = {
                asyncio.create_task(self._copy(reader, far_writer, far_writer)),
                asyncio.create_task(self._copy(far_reader, writer, far_writer)),
            }
            await asyncio.wait(copying, return_when=asyncio.FIRST_COMPLETED)
            for task in copying:
                task.cancel()
        finally:
            self._open -= {writer, far_writer}
            self._sources.pop(far_writer, None)
            writer.transport.abort()
            far_writer.transport.abort()

    def divide(self, partition: Partition) -> None:
        """Hold back what passes from one side of a partition to the other until it ends."""
        self._partition = partition

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection: asyncio.StreamWriter,
    ) -> None:
        greeting = b""
        try:
            while data := await reader.read(65536):
                if writer is connection and connection not in self._sources:
                    greeting += data
                    name = find_dialer(greeting)
                    if name:
                        self._sources[connection] = name
                await self._wait_for_passage(connection)
                if writer in self._silent:
                    await self._never.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        # The end of a connection does not reach the other side, either.
        await self._wait_for_passage(connection)
        if writer in self._silent:
            await self._never.wait()

    async def _wait_for_passage(self, connection: asyncio.StreamWriter) -> None:
        if self._partition is not None:
            source = self._source or self._sources.get(connection, "")
            if self._partition.divides(source, self.name):
                await self._partition.ended.wait()


class Partition:
    """Divide some machines from all others for a time; those on one side reach each other."""

    def __init__(self, names: set[str]) -> None:
        self._names = names
        self.ended = asyncio.Event()

    def divides(self, one: str, other: str) -> bool:
        return not self.ended.is_set() and (one in self._names) != (other in self._names)


def find_dialer(data: bytes) -> str:
    """Return the name in the first message of a link, or an empty string before it has come."""
    frame = data.partition(b"\r\n\r\n")[2]
    if len(frame) < 8:
        return ""
    start = 2 if frame[1] & 127 < 126 else 4
    length = frame[1] & 127 if start == 2 else int.from_bytes(frame[2:4])
    mask = frame[start : start + 4]
    payload = frame[start + 4 : start + 4 + length]
    text = bytes(byte ^ mask[position % 4] for position, byte in enumerate(payload))
    found = re.search(rb"(?:frontend|side)-[a-z]+-\d+", text)
    return found[0].decode() if found else ""


class Store:
    """The platform's store: a log with keyed topics, of which each has one partition."""

    def __init__(self) -> None:
        self._topics: dict[str, list[bytes]] = {}
        self._changed = asyncio.Condition()
        self.server = HttpServer(self._handle)

    async def append(self, topic: str, record: bytes) -> int:
        records = self._topics.setdefault(topic, [])
        records.append(record)
        async with self._changed:
            self._changed.notify_all()
        return len(records) - 1

    async def put(self, topic: str, key: str, value: bytes) -> int:
        return await self.append(topic, bytes([len(key)]) + key.encode() + value)

    async def _handle(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Answer | None:
        name, _, text = path.partition("?")
        query = dict(each.split("=", 1) for each in text.split("&") if each)
        topic = query["topic"]
        await asyncio.sleep(0.004)
        if name.endswith("log-append"):
            offset = first = len(self._topics.get(topic, []))
            while body:
                (length,) = struct.unpack_from(">I", body)
                offset = await self.append(topic, body[4 : 4 + length])
                body = body[4 + length :]
            return 200, json.dumps({"offset": first, "end": offset + 1}).encode()
        if name.endswith("log-read"):
            return await self._read(topic, int(query["from"]), int(query.get("wait_ms", 0)))
        return self._newest(topic, query.get("after", ""))

    async def _read(self, topic: str, start: int, wait_ms: int) -> Answer:
        until_s = time.monotonic() + wait_ms / 1000
        while len(self._topics.get(topic, [])) <= start and time.monotonic() < until_s:
            async with self._changed:
                try:
                    async with asyncio.timeout(until_s - time.monotonic()):
                        await self._changed.wait()
                except TimeoutError:
                    break
        records = self._topics.get(topic, [])
        content = struct.pack(">QQ", len(records), 0)
        for record in records[start:]:
            content += struct.pack(">I", len(record)) + record
        return 200, content

    def _newest(self, topic: str, after: str) -> Answer:
        records = self._topics.get(topic, [])
        newest: dict[str, tuple[bytes, int]] = {}
        for offset, record in enumerate(records):
            key = record[1 : 1 + record[0]].decode()
            newest[key] = (record[1 + record[0] :], offset)
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in sorted(newest.items())
            if value and key > after
        ]
        reply = {"items": items[:500], "has_more": len(items) > 500, "end": len(records)}
        return 200, json.dumps(reply).encode()


class Run:
    """A run of a task on a worker."""

    def __init__(self, task: str, number: int, work_s: float, now_s: float) -> None:
        self.task, self.number, self.work_s = task, number, work_s
        self.left_s = work_s
        self.advanced_s = now_s
        self.stops_s = 0.0


class Worker:
    """A sound worker that starts whatever it is told to start, under leases and fencing.

    The spec of a job holds the seconds of work of each step: "7,1".
    """

    def __init__(self, number: int, ip: str, zone: str, record: Record) -> None:
        self.number, self.ip, self.zone = number, ip, zone
        self._record = record
        self._labels = ["ab"[number % 2], f"r{number}"]
        # Starts and ends of runs: time, task, run, how it ended or "start", and the worker's life.
        self.events: list[tuple[float, str, int, str, str]] = []
        self._begin(with_birth=False)

    def _begin(self, *, with_birth: bool) -> None:
        """Begin a life of the worker, which knows nothing of the ones before."""
        self.id = f"i-{random.randrange(16**8):08x}"
        # The Unix millisecond of the start, if the version of the worker says it; else 0.
        self.born = int(time.time() * 1000) if with_birth else 0
        self.server = HttpServer(self._handle)
        self._state = "ready"
        self._is_up = True
        self._sequence = 0
        self._began_s = time.monotonic() - random.uniform(0, 500)
        self._token = 0
        self._until_ms = 0.0
        self._runs: dict[str, Run] = {}
        self._highest: dict[str, int] = {}
        self._finished: list[list[Any]] = []
        self._ends = 0
        self._ended = asyncio.Event()

    def clock_ms(self) -> float:
        return (time.monotonic() - self._began_s) * 1000

    def running(self) -> list[str]:
        return list(self._runs)

    async def announce(self, control: str) -> None:
        """Send heartbeats to the control address of the worker's machine."""
        while True:
            if self._is_up:
                await self._announce(control)
            await asyncio.sleep(HEARTBEAT_S if self._sequence > 1 else 0.3)

    async def release(self, control: str, *, with_birth: bool) -> None:
        """End as planned, and come back as a new worker of another version."""
        self._state = "draining"
        await self._announce(control)
        await asyncio.sleep(BOUNDS["drain_ms"] / 1000 + 0.2)
        ip, _, port = control.rpartition(":")
        await CallerConnection(ip, int(port)).request(
            "DELETE", f"/currantbarrow/instances/{self.id}", deadline_ms=1000
        )
        self._is_up = False
        for run in list(self._runs.values()):
            self._end(run, "ended with the worker")
        self.server.close()
        self._record.write(f"worker {self.number}: life {self.id} has ended as planned")
        await asyncio.sleep(0.5)
        self._begin(with_birth=with_birth)
        await self.server.listen(self.ip, APP_PORT)
        self._record.write(f"worker {self.number}: life {self.id} begins, born {self.born}")
        await self._announce(control)

    async def _announce(self, control: str) -> None:
        ip, _, port = control.rpartition(":")
        self._sequence += 1
        beat = {
            "service": SERVICE,
            "address": f"{self.ip}:{APP_PORT}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self._state,
            "cold_remaining_ms": 0,
            "capacity": {"cpu": 64000, "mem_mb": 262144, "gpus": 0},
            "labels": self._labels,
            "clock_ms": int(self.clock_ms()),
            "sequence": self._sequence,
        }
        if self._state == "draining":
            beat["remaining_ms"] = BOUNDS["drain_ms"]
        if self.born:
            beat["born"] = self.born
        path = f"/currantbarrow/instances/{self.id}"
        await CallerConnection(ip, int(port)).request("PUT", path, beat, deadline_ms=1000)

    async def advance(self) -> None:
        while True:
            await asyncio.sleep(0.005)
            self._advance()

    def _advance(self) -> None:
        now_s = time.monotonic()
        for run in list(self._runs.values()):
            run.left_s -= now_s - run.advanced_s
            run.advanced_s = now_s
            if run.stops_s and now_s >= run.stops_s:
                self._end(run, "stopped")
            elif self.clock_ms() >= self._until_ms:
                self._end(run, "lapsed")
            elif run.left_s <= 0:
                self._end(run, "done")

    def _end(self, run: Run, how: str) -> None:
        del self._runs[run.task]
        self._highest[run.task] = max(run.number, self._highest.get(run.task, 0))
        self._ends += 1
        self._finished.append([self._ends, run.task, run.number, how, ""])
        self._note(run.task, run.number, how)
        self._ended.set()

    def _note(self, task: str, number: int, what: str) -> None:
        now_s = self._record.write(f"worker {self.number}: task {task} run {number}: {what}")
        self.events.append((now_s, task, number, what, self.id))

    async def _handle(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Answer | None:
        if headers.get("x-expected-instance", self.id) != self.id:
            return 421, b"{}"
        call = json.loads(body)
        self._advance()
        token = call.get("fencing_token", 0)
        if token < self._token:
            return self._reply(409, reason="fence")
        self._token = token
        name = path.rpartition("/")[2]
        if name == "run-start":
            return self._start(call)
        if name == "run-stop":
            return self._stop(call)
        return await self._hold(call)

    def _reply(self, status: int, **fields: Any) -> Answer:
        return status, json.dumps({"clock_ms": int(self.clock_ms()), **fields}).encode()

    def _extend(self, until_ms: float) -> None:
        limit_ms = self.clock_ms() + BOUNDS["max_hold_ms"]
        self._until_ms = max(self._until_ms, min(until_ms, limit_ms))

    def _start(self, call: dict[str, Any]) -> Answer:
        task, number = call["task"], call["run"]
        if call["until_ms"] <= self.clock_ms():
            return self._reply(409, reason="late")
        self._extend(call["until_ms"])
        active = self._runs.get(task)
        if active is not None and active.number == number:
            return self._reply(200)
        if active is not None or number <= self._highest.get(task, 0):
            return self._reply(409, reason="old")
        step = int(task.split(".")[2])
        work_s = float(call["spec"].split(",")[step])
        self._runs[task] = Run(task, number, work_s, time.monotonic())
        self._note(task, number, "start")
        return self._reply(200)

    def _stop(self, call: dict[str, Any]) -> Answer:
        task, number = call["task"], call["run"]
        self._highest[task] = max(number, self._highest.get(task, 0))
        run = self._runs.get(task)
        if run is not None and run.number <= number and not run.stops_s:
            run.stops_s = time.monotonic() + 0.02
        return self._reply(200)

    async def _hold(self, call: dict[str, Any]) -> Answer:
        observed = call.get("observed", 0)
        self._finished = [row for row in self._finished if row[0] > observed]
        if call.get("until_ms") is not None:
            self._extend(call["until_ms"])
        until_s = time.monotonic() + min(call.get("wait_ms") or 0, 2000) / 1000
        while not self._finished and time.monotonic() < until_s:
            self._ended.clear()
            try:
                async with asyncio.timeout(until_s - time.monotonic()):
                    await self._ended.wait()
            except TimeoutError:
                break
        running = [
            [run.task, run.number, "", round(100 * (1 - max(0.0, run.left_s) / run.work_s))]
            for run in self._runs.values()
        ]
        lists = {"running": running, "finished": self._finished[:500]}
        return self._reply(200, **lists, **({"born": self.born} if self.born else {}))


class Program:
    """One of the project's programs, started with the command of the deploy file."""

    def __init__(self, role: str, number: int, ip: str, settings: dict[str, Any]) -> None:
        self.role, self.number, self.ip = role, number, ip
        self.name = settings["node_name"]
        self.settings = settings
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, folder: Path) -> None:
        path = folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": os.environ.get("LANG", "C"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "SSL_CERT_FILE": "/dev/null",
            "SSL_CERT_DIR": "/dev/null",
            "CURRANTBARROW_SETTINGS": str(path),
        }
        with (folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *("python3", "-S", "deploy/currantbarrow.py", self.role),
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


class Deployment:
    """Entries, side processes, workers and the store on loopback addresses."""

    def __init__(
        self,
        record: Record,
        folder: Path,
        entries: int = 3,
        sides: int = 3,
        *,
        proxied: bool = False,
        lost_zones: int = 0,
    ) -> None:
        self.record = record
        self.folder = folder
        # The zones whose loss is to be borne.
        self._lost_zones = lost_zones
        network = _free_network()
        self._store_ip = f"{network}.3.1"
        self.store = Store()
        self.version = 0
        self.entries: list[Program] = []
        self.sides: list[Program] = []
        self.workers: list[Worker] = []
        # In front of the link address of each process, if the case needs them.
        self.proxies: list[LinkProxy] = []
        self._tasks: list[asyncio.Task[None]] = []
        seeds = [f"{network}.1.{number + 1}:{CONTROL_PORT}" for number in range(min(3, entries))]
        for number in range(entries):
            ip = f"{network}.1.{number + 1}"
            settings = self._settings("entry", "frontend", number, ip, seeds)
            self.entries.append(Program("entry", number, ip, settings))
        for number in range(sides):
            ip = f"{network}.2.{number + 1}"
            settings = self._settings("side", "side", number, ip, seeds)
            settings["app"] = f"{ip}:{APP_PORT}"
            settings["service"] = SERVICE
            self.sides.append(Program("side", number, ip, settings))
            self.workers.append(Worker(number, ip, settings["zone"], record))
        for number, program in enumerate([*self.entries, *self.sides] if proxied else []):
            target_ip = f"{network}.4.{number + 1}"
            program.settings["link_listener"] = f"{target_ip}:{LINK_PORT}"
            self.proxies.append(LinkProxy(program.ip, target_ip, program.name))
            store_ip = f"{network}.6.{number + 1}"
            program.settings["platform"]["address"] = f"{store_ip}:{STORE_PORT}"
            self.proxies.append(
                LinkProxy(store_ip, self._store_ip, "store", STORE_PORT, program.name)
            )
        # In front of the address for callers of the first entry.
        self.callers_ip = f"{network}.5.1"
        if proxied:
            first = self.entries[0]
            self.proxies.append(
                LinkProxy(self.callers_ip, first.ip, first.name, FRONTEND_PORT, "callers")
            )

    def cut_off(self, programs: list[Program]) -> Partition:
        """Put machines behind a partition from all others, their callers and the store."""
        partition = Partition({program.name for program in programs})
        for proxy in self.proxies:
            proxy.divide(partition)
        self.record.write(f"{[program.name for program in programs]} are behind a partition")
        return partition

    def silence_connections(self) -> None:
        """Let all open connections between machines, to the store and to workers go silent."""
        servers = [self.store.server, *(worker.server for worker in self.workers)]
        count = sum(each.silence_open() for each in [*servers, *self.proxies])
        self.record.write(f"open connections go silent, new ones work ({count} ends)")

    def _settings(
        self, role: str, machine_class: str, number: int, ip: str, seeds: list[str]
    ) -> dict[str, Any]:
        zone = ZONES[number % len(ZONES)]
        listeners = {"control": f"{ip}:{CONTROL_PORT}"}
        if machine_class == "frontend":
            listeners["frontend"] = f"{ip}:{FRONTEND_PORT}"
            listeners["readiness"] = f"{ip}:{READY_PORT}"
        return {
            "node_name": f"{machine_class}-{zone}-{number + 1}",
            "role": role,
            "machine_class": machine_class,
            "serves": ["frontend", "control_plane"] if role == "entry" else ["side"],
            "ip": ip,
            "zone": zone,
            "region": "ljubljana",
            "zones": dict.fromkeys(ZONES, "ljubljana"),
            "listen_addrs": listeners,
            "internal_port_range": [LINK_PORT, LINK_PORT + 15],
            "seeds": seeds,
            "bootstrap": True,
            "loss_counts": False,
            "limits": {
                "cpu_share": 0.537,
                "cpu_cores": 2,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "local",
            "entry": "vip",
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "policies": [
                *("base", "drain", "config", "cost", "recover"),
                *("sched", "platform", "advice", "upkeep", "sharing"),
            ],
            "fault_tolerance": {"machines": 2, "zones": self._lost_zones, "regions": 0},
            "bounds": BOUNDS,
            "commands": "request",
            "platform": {
                "address": f"{self._store_ip}:{STORE_PORT}",
                "form": "log",
                "writes_per_s": 800,
                "reads_per_s": 2000,
                "parts": 32,
                "append_ms": 2.0,
                "part_mb_s": 20.0,
                "read_mb_s": 80.0,
                "record_bytes": 262144,
                "request_bytes": 2097152,
                "keep_s": 300,
                "partition_mb": 200,
                "min_ttl_ms": 1000,
            },
        }

    async def start(self) -> None:
        """Start everything, and wait until it has been calm for `contact_ms`."""
        await self.store.server.listen(self._store_ip, STORE_PORT)
        await self.configure([PREFIX])
        for proxy in self.proxies:
            await proxy.listen()
        for worker, side in zip(self.workers, self.sides, strict=True):
            await worker.server.listen(worker.ip, APP_PORT)
            control = side.settings["listen_addrs"]["control"]
            for loop in (worker.announce(control), worker.advance()):
                self._tasks.append(asyncio.create_task(loop))
        for program in [*self.entries, *self.sides]:
            await program.start(self.folder)
        await self.wait_until_ready()
        await asyncio.sleep(CONTACT_S + 1.0)
        self.record.write("all entries ready and calm")

    async def wait_until_ready(self) -> None:
        until_s = time.monotonic() + 20
        for entry in self.entries:
            while time.monotonic() < until_s:
                answer = await CallerConnection(entry.ip, READY_PORT).request(
                    "GET", "/currantbarrow/readiness", deadline_ms=1000
                )
                if answer is not None and answer[0] == 200:
                    break
                await asyncio.sleep(0.05)
            else:
                raise CaseError(f"{entry.name} is not ready; see {self.folder}")

    async def configure(self, prefixes: list[str], priority: int = 0) -> float:
        """Write a configuration as the operator does, and return when it was acknowledged."""
        self.version += random.randint(1, 5)
        routes = [
            {
                "name": f"route{position}",
                "host": HOST,
                "path_prefix": prefix,
                "service": SERVICE,
                "timeout_ms": 30000,
                "priority": priority,
                "max_attempts": 4,
                "stretch": 1.6,
                "target_latency_ms": 60,
            }
            for position, prefix in enumerate(prefixes)
        ]
        document = {
            "version": self.version,
            "routes": routes,
            "services": [{"name": SERVICE, "rejects_overload": False}],
            "limits": {"max_body_bytes": 262144},
        }
        await self.store.put("keyed.op", "config", json.dumps(document).encode())
        return self.record.write(f"operator: version {self.version} acknowledged: {prefixes}")

    def events(self, job: str) -> list[tuple[float, str, int, str, str]]:
        """Return starts and ends of the runs of a job on all workers, in order of time."""
        return sorted(
            event
            for worker in self.workers
            for event in worker.events
            if event[1].startswith(job + ".")
        )

    def is_running(self, job: str) -> bool:
        return any(task.startswith(job + ".") for each in self.workers for task in each.running())

    async def wait_for_start(self, job: str, limit_s: float = 5.0) -> None:
        until_s = time.monotonic() + limit_s
        while not self.is_running(job):
            if time.monotonic() > until_s:
                raise CaseError(f"job {job} was not started")
            await asyncio.sleep(0.01)

    def check_alive(self) -> None:
        """Raise CaseError if a program has ended."""
        for program in [*self.entries, *self.sides]:
            if program.process is not None and program.process.returncode is not None:
                raise CaseError(f"{program.name} ended; see its log")

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*(program.kill() for program in [*self.entries, *self.sides]))
        servers = [self.store.server, *(worker.server for worker in self.workers)]
        for server in [*servers, *self.proxies]:
            server.close()


class Caller:
    """A caller that writes down what it sent and what it was answered."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._record = deployment.record

    async def call(
        self,
        entry: int,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        *,
        connection: CallerConnection | None = None,
        deadline_ms: int = 30_000,
    ) -> tuple[float, Answer | None]:
        """Send a request to an entry; return the time of its answer, and the answer."""
        program = self._deployment.entries[entry]
        connection = connection or CallerConnection(program.ip)
        self._record.write(
            f"caller -> {program.name}: {method} {path} {json.dumps(body) if body else ''}"
        )
        answer = await connection.request(method, path, body, deadline_ms=deadline_ms)
        text = "no answer" if answer is None else f"{answer[0]} {answer[1].decode()}"
        now_s = self._record.write(f"caller <- {program.name}: {method} {path}: {text}")
        return now_s, answer


def new_job_id() -> str:
    return f"{random.randrange(16**16):016x}"


def job_body(work_s: list[float], count: int = 2, **fields: Any) -> dict[str, Any]:
    """Return a job whose steps follow each other, with its true run times as estimates."""
    phases: list[dict[str, Any]] = []
    for step, each_s in enumerate(work_s):
        phase = {"count": count, "cpu": 6200, "mem_mb": 64, "estimate_ms": round(each_s * 1000)}
        if step:
            phase["after"] = [step - 1]
        phase.update(fields)
        phases.append(phase)
    return {"spec": ",".join(map(str, work_s)), "phases": phases, "best_effort": True}


Scenario = Callable[[Deployment, bool], Awaitable[bool]]


def run_case(path: Path, scenario: Scenario, **options: Any) -> None:
    """Run a scenario, which returns whether the rule held, and exit with the case's status."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(path)
    record.write(f"trouble: {trouble}")
    try:
        held = asyncio.run(_run(record, scenario, trouble, options))
    except Exception as error:
        record.write(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}", file=sys.stderr)
        sys.exit(NOT_RUN)
    record.write("the rule held" if held else "the rule was broken")
    print("the rule held" if held else "the rule was broken")
    sys.exit(HELD if held else BROKEN)


async def _run(record: Record, scenario: Scenario, trouble: bool, options: dict[str, Any]) -> bool:
    keep = os.environ.get("KEEP_LOGS")
    with tempfile.TemporaryDirectory() as name:
        deployment = Deployment(record, Path(keep or name), **options)
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopping.set)
        try:
            async with asyncio.timeout(LIMIT_S):
                playing = asyncio.ensure_future(_play(deployment, scenario, trouble))
                stopped = asyncio.ensure_future(stopping.wait())
                await asyncio.wait({playing, stopped}, return_when=asyncio.FIRST_COMPLETED)
                stopped.cancel()
                if not playing.done():
                    playing.cancel()
                    raise CaseError("stopped by a signal")
                return playing.result()
        finally:
            await deployment.stop()


async def _play(deployment: Deployment, scenario: Scenario, trouble: bool) -> bool:
    await deployment.start()
    held = await scenario(deployment, trouble)
    deployment.check_alive()
    return held


def _free_network() -> str:
    """Return the first two numbers of loopback addresses on which the fixed ports are free."""
    for _ in range(50):
        network = f"127.{random.randrange(20, 250)}"
        try:
            for part in ("1.1", "2.1", "3.1"):
                for port in (LINK_PORT, FRONTEND_PORT, CONTROL_PORT, STORE_PORT, APP_PORT, 9464):
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind((f"{network}.{part}", port))
        except OSError:
            continue
        return network
    raise CaseError("no free loopback addresses")
