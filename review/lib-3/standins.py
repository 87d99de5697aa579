"""Stand-ins for the platform's store, the workers and the callers, over HTTP on loopback.

They follow the users' pages, and use the standard library only.
"""

from __future__ import annotations

import asyncio
import base64
import json
import struct
import time
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qsl, urlsplit

MAX_LEASE_MS = 1000.0
STOP_MS = 10.0
BEAT_S = 1.5
BEAT_TIMEOUT_S = 1.0
APPEND_S = 0.002
PAGE_ITEMS = 500
ENDS_PER_ANSWER = 500

Answer = tuple[int, bytes]
Handler = Callable[[str, str, dict[str, str], bytes], Awaitable["Answer | None"]]


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Return the first line, the headers and the body of a message, or None at the end."""
    line = await reader.readline()
    if not line.strip():
        return None
    headers: dict[str, str] = {}
    while (header := await reader.readline()).strip():
        name, _, value = header.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readline()
        await reader.readline()
        return line.decode("latin-1").strip(), headers, b"".join(parts)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return line.decode("latin-1").strip(), headers, body


class HttpServer:
    """Serve requests one after the other on each connection; no answer closes the connection."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, ip: str, port: int) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, ip, port, limit=1 << 22)

    def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                answer = await self._handler(method, target, headers, body)
                if answer is None:
                    return
                status, content = answer
                writer.write(
                    f"HTTP/1.1 {status} Status\r\nContent-Length: {len(content)}\r\n"
                    "Content-Type: application/json\r\n\r\n".encode() + content
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def request(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 10.0,
) -> Answer | None:
    """Send a request on a connection of its own; return its answer, or None if there is none."""
    ip, _, port = address.rpartition(":")
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            if "Host" not in (headers or {}):
                lines.append(f"Host: {address}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            message = await read_message(reader)
            return None if message is None else (int(message[0].split()[1]), message[2])
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Store:
    """Keep topics in memory, one partition each."""

    def __init__(self) -> None:
        self._topics: dict[str, list[bytes]] = {}
        self._changed = asyncio.Event()
        # Calls are answered with 503, and nothing is done, while this is set.
        self.is_down = False

    def append(self, topic: str, records: list[bytes]) -> int:
        """Append records and return the offset of the first one."""
        kept = self._topics.setdefault(topic, [])
        kept.extend(records)
        self._changed.set()
        self._changed = asyncio.Event()
        return len(kept) - len(records)

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append the record of a key."""
        self.append(topic, [bytes([len(key)]) + key.encode() + value])

    async def handle(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> Answer | None:
        """Answer a call."""
        if self.is_down:
            return 503, b"{}"
        url = urlsplit(target)
        query = dict(parse_qsl(url.query))
        topic = query.get("topic", "")
        records = self._topics.setdefault(topic, [])
        call = url.path.rpartition("/")[2]
        if call == "log-append":
            await asyncio.sleep(APPEND_S)
            offset = self.append(topic, _split(body))
            return 200, json.dumps({"offset": offset, "end": len(records)}).encode()
        if call == "log-read":
            return await self._read(records, query)
        if call == "log-newest":
            return 200, json.dumps(_newest(records, query.get("after", ""))).encode()
        return 404, b"{}"

    async def _read(self, records: list[bytes], query: dict[str, str]) -> Answer:
        offset = int(query["from"])
        until_s = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while len(records) <= offset and (left_s := until_s - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                break
        if self.is_down:
            return 503, b"{}"
        parts = [struct.pack(">QQ", len(records), 0)]
        parts += [struct.pack(">I", len(each)) + each for each in records[offset:]]
        return 200, b"".join(parts)


def _split(body: bytes) -> list[bytes]:
    records, position = [], 0
    while position < len(body):
        (size,) = struct.unpack_from(">I", body, position)
        records.append(body[position + 4 : position + 4 + size])
        position += 4 + size
    return records


def _newest(records: list[bytes], after: str) -> dict[str, object]:
    newest: dict[str, tuple[bytes, int]] = {}
    for offset, record in enumerate(records):
        if not record:
            continue
        size = record[0]
        newest[record[1 : 1 + size].decode()] = (record[1 + size :], offset)
    keys = sorted(key for key, (value, _) in newest.items() if value and key > after)
    items = [
        {"key": key, "value": base64.b64encode(newest[key][0]).decode(), "offset": newest[key][1]}
        for key in keys[:PAGE_ITEMS]
    ]
    return {"items": items, "has_more": len(keys) > PAGE_ITEMS, "end": len(records)}


class _Run:
    def __init__(self, number: int, work_ms: float) -> None:
        self.number = number
        self.work_ms = work_ms
        self.timer: asyncio.TimerHandle | None = None


class Worker:
    """Run tasks for the time that their spec says, under one lease, as the pages describe.

    A spec is the JSON object {"ms": N}.
    """

    def __init__(
        self, name: str, address: str, control: str, service: str, note: Callable[..., None]
    ) -> None:
        self.id = name
        self.address = address
        self._control = control
        self._service = service
        self._note = note
        self.capacity = {"cpu": 16000, "mem_mb": 32768, "gpus": 0}
        self.labels = ["a", "r1-1"]
        self.state = "ready"
        self._sequence = 0
        self._token = 0
        self._lease_ms = 0.0
        self._runs: dict[str, _Run] = {}
        # The highest run of each task that was stopped or ended here.
        self._over: dict[str, int] = {}
        self._ends: list[list[object]] = []
        self._count = 0
        self._ended = asyncio.Event()
        self._began_s = time.monotonic()
        self._server = HttpServer(self.handle)
        self._tasks: list[asyncio.Task[None]] = []
        # Called with the name of a call; a call for which it returns True is lost.
        self.loses: Callable[[str, dict[str, object]], bool] = lambda call, body: False

    def clock_ms(self) -> float:
        """Return the time on the worker's steady clock."""
        return (time.monotonic() - self._began_s) * 1000

    async def start(self) -> None:
        """Serve, and report to the side process."""
        ip, _, port = self.address.rpartition(":")
        await self._server.start(ip, int(port))
        self._tasks = [asyncio.create_task(self._beat()), asyncio.create_task(self._watch_lease())]

    def stop(self) -> None:
        """End the worker."""
        for task in self._tasks:
            task.cancel()
        self._server.stop()

    async def handle(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> Answer | None:
        """Answer a call of the side process."""
        call = target.rpartition("/")[2]
        if method == "GET":
            return 200, b"{}"
        decoded = json.loads(body)
        if self.loses(call, decoded):
            # No answer; the caller gives up by itself.
            await asyncio.sleep(10.0)
            return None
        if headers.get("x-expected-instance", self.id) != self.id:
            return 421, b"{}"
        token = decoded.get("fencing_token", 0)
        if token < self._token:
            return self._answer(409, reason="fence")
        self._token = token
        if call == "run-start":
            return self._start(decoded)
        if call == "run-stop":
            self._stop(decoded["task"], decoded["run"])
            return self._answer(200)
        if call == "hold":
            return await self._hold(decoded)
        return 404, b"{}"

    def _answer(self, status: int, **fields: object) -> Answer:
        return status, json.dumps({"clock_ms": int(self.clock_ms()), **fields}).encode()

    def _renew(self, until_ms: float | None) -> None:
        if until_ms is not None:
            limit_ms = self.clock_ms() + MAX_LEASE_MS
            self._lease_ms = max(self._lease_ms, min(until_ms, limit_ms))

    def _start(self, body: dict[str, object]) -> Answer:
        task, number = str(body["task"]), int(str(body["run"]))
        present = self._runs.get(task)
        if present is not None and present.number == number:
            self._renew(float(str(body["until_ms"])))
            return self._answer(200)
        if float(str(body["until_ms"])) <= self.clock_ms():
            return self._answer(409, reason="late")
        self._renew(float(str(body["until_ms"])))
        if number <= self._over.get(task, 0) or present is not None:
            return self._answer(409, reason="old")
        run = _Run(number, float(json.loads(str(body["spec"]))["ms"]))
        self._runs[task] = run
        self._note("start", worker=self.id, task=task, run=number)
        loop = asyncio.get_running_loop()
        run.timer = loop.call_later(run.work_ms / 1000, self._end, task, number, "done")
        return self._answer(200)

    def _stop(self, task: str, number: int) -> None:
        self._over[task] = max(number, self._over.get(task, 0))
        run = self._runs.get(task)
        if run is not None and run.number <= number:
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_MS / 1000, self._end, task, run.number, "stopped")

    def _end(self, task: str, number: int, how: str) -> None:
        run = self._runs.get(task)
        if run is None or run.number != number:
            return
        del self._runs[task]
        if run.timer is not None:
            run.timer.cancel()
        self._over[task] = max(number, self._over.get(task, 0))
        self._count += 1
        self._ends.append([self._count, task, number, how, ""])
        self._note("end", worker=self.id, task=task, run=number, how=how)
        self._ended.set()

    async def _hold(self, body: dict[str, object]) -> Answer:
        observed = int(str(body.get("observed", 0)))
        self._ends = [end for end in self._ends if int(str(end[0])) > observed]
        until_ms = body.get("until_ms")
        self._renew(None if until_ms is None else float(str(until_ms)))
        wait_s = min(int(str(body.get("wait_ms", 0))), 2000) / 1000
        if wait_s and not self._ends:
            self._ended.clear()
            try:
                await asyncio.wait_for(self._ended.wait(), wait_s)
            except TimeoutError:
                pass
        running = [[task, run.number, "", 100, 1.0] for task, run in self._runs.items()]
        return self._answer(200, running=running, finished=self._ends[:ENDS_PER_ANSWER])

    async def _watch_lease(self) -> None:
        while True:
            await asyncio.sleep(0.005)
            if self._runs and self.clock_ms() > self._lease_ms:
                for task, run in list(self._runs.items()):
                    self._end(task, run.number, "lapsed")

    async def _beat(self) -> None:
        while True:
            await self.report()
            await asyncio.sleep(BEAT_S)

    async def report(self) -> bool:
        """Send one heartbeat; return whether it was acknowledged."""
        self._sequence += 1
        body = {
            "service": self._service,
            "address": self.address,
            "zone": "",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "clock_ms": int(self.clock_ms()),
            "sequence": self._sequence,
        }
        answer = await request(
            self._control,
            "PUT",
            f"/currantbarrow/instances/{self.id}",
            json.dumps(body).encode(),
            {"Content-Type": "application/json"},
            BEAT_TIMEOUT_S,
        )
        return answer is not None and answer[0] < 300
