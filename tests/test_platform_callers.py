"""Test how the callers' API treats calls whose callers are gone, over real connections."""

from __future__ import annotations

import asyncio
import socket
import struct
import zlib
from collections.abc import Callable
from typing import Any, cast

import pytest
import uvloop

from currantbarrow.direct.admission import Refusal
from currantbarrow.direct.entry import DirectEntry
from currantbarrow.direct.model import JobSpec, WorkQueue
from currantbarrow.direct.routing import Configuration
from currantbarrow.direct.submissions import Caller
from currantbarrow.intake import IntakeLimits, create_intake, create_limits
from currantbarrow.observe import MetricsRegistry
from currantbarrow.open_requests import OpenRequests
from currantbarrow.platform.callers import create_callers_app
from currantbarrow.platform.serving import serve_app

JOB = "0123456789abcdef"
BODY = b'{"spec": "s", "phases": [{"count": 1, "cpu": 500}], "best_effort": true}'
CALL = (
    f"POST /p/{JOB} HTTP/1.1\r\nHost: host\r\nX-Deadline-Ms: 3000\r\n"
    f"Content-Length: {len(BODY)}\r\n\r\n"
).encode() + BODY
QUEUE = WorkQueue("queue", "host", "/p/", "service", 0, 60.0, 1.6, 4, 0.0)
LIMIT_S = 5.0
# Iterations of the event loop until a handler has begun.
HANDLER_ITERATIONS = 10


class RecordingEntry:
    """Record for each submission whether its caller has left."""

    current_configuration = Configuration(1, [QUEUE], frozenset({"service"}), 1 << 18, b"")
    draining = False

    def __init__(self) -> None:
        self.left: list[bool] = []
        self.submitted = asyncio.Event()

        self.may_have_run = False

    def refuse_unreceived(self, job_id: str, reason: str) -> Refusal:
        return Refusal(reason, 1, 0.0, may_have_run=self.may_have_run)

    async def submit(
        self, spec: JobSpec, queue: WorkQueue, caller_timeout_ms: float, caller: Caller
    ) -> Refusal:
        self.left.append(caller.has_left())
        self.submitted.set()
        return Refusal("overload", 1, 0.0)


def reset(client: socket.socket) -> None:
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


def keep_open(client: socket.socket) -> None:
    pass


class TestBodies:
    @pytest.mark.parametrize(("may_have_run", "status"), [(False, b" 503 "), (True, b" 502 ")])
    def test_body_beyond_what_all_clients_may_hold_is_refused_with_the_truth(
        self, may_have_run: bool, status: bytes
    ) -> None:
        async def scenario() -> bytes:
            entry = RecordingEntry()
            entry.may_have_run = may_have_run
            app = create_callers_app(cast(DirectEntry, entry), MetricsRegistry())
            intake = create_intake("test", IntakeLimits(8000, 10), MetricsRegistry())
            runner = await serve_app(
                app, "127.0.0.1:0", "frontend", OpenRequests(), intake, cancel=True
            )
            reader, writer = await asyncio.open_connection(*runner.addresses[0][:2])
            head = CALL.partition(b"Content-Length")[0] + b"Content-Length: 20000\r\n\r\n"
            writer.write(head)
            await writer.drain()
            async with asyncio.timeout(LIMIT_S):
                while not any(each.held_bytes for each in intake.connections):
                    await asyncio.sleep(0)
                # The head is decoded, and a handler waits for the body.
                for _ in range(HANDLER_ITERATIONS):
                    await asyncio.sleep(0)
                writer.write(b" " * 10_000)
                answer = await reader.read()
            await runner.cleanup()
            assert not entry.left
            return answer

        answer = asyncio.run(scenario())
        assert status in answer.partition(b"\r\n")[0]
        assert b"Retry-After" in answer

    def test_compressed_body_is_rejected_as_it_is(self) -> None:
        """A body of the largest size could become a thousand times as large."""

        async def scenario() -> bytes:
            entry = RecordingEntry()
            app = create_callers_app(cast(DirectEntry, entry), MetricsRegistry())
            intake = create_intake("test", create_limits(100.0, 1000), MetricsRegistry())
            runner = await serve_app(
                app, "127.0.0.1:0", "frontend", OpenRequests(), intake, cancel=True
            )
            reader, writer = await asyncio.open_connection(*runner.addresses[0][:2])
            body = zlib.compress(BODY)
            head = CALL.partition(b"Content-Length")[0] + b"Content-Encoding: deflate\r\n"
            writer.write(head + f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
            async with asyncio.timeout(LIMIT_S):
                status = await reader.readline()
            writer.close()
            await runner.cleanup()
            assert not entry.left
            return status

        assert b" 400 " in asyncio.run(scenario())


class TestCallsReadLate:
    @pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
    @pytest.mark.parametrize(
        ("end", "left"), [(reset, True), (socket.socket.close, True), (keep_open, False)]
    )
    def test_call_whose_connection_has_ended_before_it_was_read_has_no_caller(
        self, run: Callable[[Any], None], end: Callable[[socket.socket], None], left: bool
    ) -> None:
        async def scenario() -> None:
            entry = RecordingEntry()
            app = create_callers_app(cast(DirectEntry, entry), MetricsRegistry())
            intake = create_intake("test", create_limits(100.0, 1000), MetricsRegistry())
            runner = await serve_app(
                app, "127.0.0.1:0", "frontend", OpenRequests(), intake, cancel=True
            )
            # The event loop does not run until the call is sent and its connection has ended.
            client = socket.create_connection(runner.addresses[0][:2])
            client.sendall(CALL)
            end(client)
            async with asyncio.timeout(LIMIT_S):
                await entry.submitted.wait()
            assert entry.left == [left]
            client.close()
            await runner.cleanup()

        run(scenario())
