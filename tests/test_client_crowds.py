"""Test that clients outside all limits neither end nor block a process, however many there are.

Each test lowers the limits of the processes, so that a small crowd is enough to exceed them.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import resource
import zlib
from collections.abc import Awaitable, Callable
from pathlib import Path

import aiohttp
import msgspec
import pytest

from crowds import Client, Crowd, ProcessUse, read_use
from loopback import make_body
from processes import Processes
from soak.fleet import CALLERS_PORT, CONTROL_PORT, HOST_NAME, Fleet, Host, Plan
from soak.oracle import Oracle

MEMORY_MB = 96
# Enough for a crowd that exceeds the memory, and few enough for one that uses all descriptors.
MANY_DESCRIPTORS, FEW_DESCRIPTORS = 1024, 256
# Descriptors that clients leave to links, the store and the other ports.
RESERVED_DESCRIPTORS = 32
# Descriptors in use may differ by so many from those before a crowd: idle connections to the store
# and to workers.
DESCRIPTOR_MARGIN = 16
HOLD_S = 6.0
TIMEOUT_S = 60.0
POLL_S = 0.1

# Bytes that a body of the largest size lacks at its end.
MISSING = 10
BODY_BYTES = 262_144 - MISSING
JOB = {
    "spec": "20/1000",
    "phases": [{"count": 1, "cpu": 500, "estimate_ms": 20}],
    "best_effort": True,
}
HEAD = f"POST /quick/0123456789abcdef HTTP/1.1\r\nHost: {HOST_NAME}\r\n".encode()
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


def sized_head(head: bytes, length: int) -> bytes:
    return head + f"Content-Length: {length}\r\n\r\n".encode()


def chunk(content: bytes) -> bytes:
    return f"{len(content):x}\r\n".encode() + content + b"\r\n"


def chunked_body(chunk_bytes: int) -> bytes:
    """Return a body in chunks of a size, without its end."""
    return chunk(b" " * chunk_bytes) * (BODY_BYTES // chunk_bytes)


WHOLE = Client((sized_head(HEAD, BODY_BYTES + MISSING), b" " * BODY_BYTES))
PIECES = Client(
    (sized_head(HEAD, BODY_BYTES + MISSING), *[b" " * 16_384] * (BODY_BYTES // 16_384)),
    pauses=True,
)
LARGE_CHUNKS = Client((CHUNKED, chunked_body(60_000)))
SMALL_CHUNKS = Client((CHUNKED, chunked_body(1)))
ENDLESS_TRAILERS = Client((CHUNKED + chunk(b"{}") + b"0\r\n", b"X-Trailer: x\r\n" * 64), True)
ENDLESS_FIELD = Client((HEAD + b"X-Field: ", b"x" * 4096), True)
ENDLESS_FIELDS = Client((HEAD, b"X-Field: x\r\n" * 64), True)
EMPTY_LINES = Client((b"\r\n" * 512,), True)
UNREAD_ANSWERS = Client(
    (f"GET /quick/0123456789abcdef HTTP/1.1\r\nHost: {HOST_NAME}\r\n\r\n".encode() * 32,),
    True,
    reads=False,
)
IDLE = Client(())


def compressed_body() -> Client:
    """Return a client whose body becomes a thousand times as large."""
    content = zlib.compress(b" " * (200 * 1024 * 1024), 9)
    return Client((sized_head(HEAD + b"Content-Encoding: deflate\r\n", len(content)), content))


def checked_use(pid: int, memory_mb: int, descriptors: int) -> ProcessUse:
    """Return what a process uses, and check that it lives and keeps its limits."""
    use = read_use(pid)
    assert use is not None, "the process has ended"
    assert use.peak_memory_mb <= memory_mb
    assert use.descriptors <= descriptors - RESERVED_DESCRIPTORS
    return use


class SmallFleet:
    """An entry and a side process with low limits."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.entry, self.side = fleet.entries[0], fleet.sides[0]
        # Each job is a new one, since the outcome of an earlier one is answered from memory.
        self._job_numbers = itertools.count(1)

    def use(self, host: Host) -> ProcessUse:
        """Return what a process uses, and check that it lives and keeps its limits."""
        assert host.process is not None
        assert host.starts == 1, "the process has ended"
        return checked_use(host.process.pid, *self.fleet.limits(host))

    def limit_descriptors(self, host: Host) -> None:
        """Let the system enforce the limit of a process."""
        assert host.process is not None
        descriptors = self.fleet.limits(host)[1]
        resource.prlimit(host.process.pid, resource.RLIMIT_NOFILE, (descriptors, descriptors))

    async def submit(self) -> bool:
        """Submit an ordinary job, and return whether it was completed."""
        timeout = aiohttp.ClientTimeout(total=5.0)
        url = f"{self.entry.direct_url}/quick/{next(self._job_numbers):016x}"
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.post(url, json=JOB, headers={"Host": HOST_NAME}) as answer,
            ):
                return answer.status == 200 and b"completed" in await answer.read()
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def check_served(self) -> None:
        """Check that an ordinary job is completed, if need be after some tries."""
        async with asyncio.timeout(TIMEOUT_S):
            while not await self.submit():
                await asyncio.sleep(POLL_S)


async def face(
    crowd: Crowd, measure: Callable[[], ProcessUse], check_served: Callable[[], Awaitable[None]]
) -> None:
    """Let a process face a crowd, and check what it uses meanwhile and afterwards."""
    before = measure()
    running = asyncio.create_task(crowd.run(HOLD_S))
    while not running.done():
        measure()
        await asyncio.sleep(POLL_S)
    await running
    await check_served()
    async with asyncio.timeout(TIMEOUT_S):
        while measure().descriptors > before.descriptors + DESCRIPTOR_MARGIN:
            await asyncio.sleep(POLL_S)


async def meet(fleet: SmallFleet, host: Host, port: int, client: Client, count: int) -> None:
    """Let a crowd call a port of a process of the fleet."""
    crowd = Crowd(host.listen_ip, port, client, count)
    await face(crowd, lambda: fleet.use(host), fleet.check_served)


Scenario = Callable[[SmallFleet], Awaitable[None]]


def run_scenario(scenario: Scenario, folder: Path, descriptors: int = MANY_DESCRIPTORS) -> None:
    async def run() -> None:
        oracle = Oracle()
        plan = Plan(1, entries=1, sides=1, memory_mb=MEMORY_MB, descriptors=descriptors)
        fleet = Fleet(plan, oracle, folder, random.Random(plan.seed))
        try:
            await fleet.start()
            assert not oracle.violations
            small = SmallFleet(fleet)
            small.limit_descriptors(small.entry)
            small.limit_descriptors(small.side)
            await small.check_served()
            await scenario(small)
        finally:
            await fleet.stop()

    asyncio.run(run())


class TestCallersPort:
    @pytest.mark.parametrize(
        ("client", "count"),
        [
            pytest.param(WHOLE, 400, id="whole"),
            pytest.param(PIECES, 400, id="pieces"),
            pytest.param(LARGE_CHUNKS, 400, id="large chunks"),
        ],
    )
    def test_many_bodies_that_stop_short_of_their_end(
        self, client: Client, count: int, tmp_path: Path
    ) -> None:
        async def scenario(fleet: SmallFleet) -> None:
            await meet(fleet, fleet.entry, CALLERS_PORT, client, count)

        run_scenario(scenario, tmp_path)

    def test_many_bodies_in_chunks_of_one_byte(self, tmp_path: Path) -> None:
        async def scenario(fleet: SmallFleet) -> None:
            await meet(fleet, fleet.entry, CALLERS_PORT, SMALL_CHUNKS, 100)

        run_scenario(scenario, tmp_path)

    @pytest.mark.parametrize(
        "client",
        [
            pytest.param(ENDLESS_TRAILERS, id="trailers"),
            pytest.param(ENDLESS_FIELD, id="field"),
        ],
    )
    def test_many_requests_with_a_field_or_trailers_without_end(
        self, client: Client, tmp_path: Path
    ) -> None:
        async def scenario(fleet: SmallFleet) -> None:
            await meet(fleet, fleet.entry, CALLERS_PORT, client, 400)

        run_scenario(scenario, tmp_path)

    @pytest.mark.parametrize(
        "client",
        [
            pytest.param(ENDLESS_FIELDS, id="fields"),
            pytest.param(EMPTY_LINES, id="empty lines"),
        ],
    )
    def test_many_requests_whose_head_does_not_end(self, client: Client, tmp_path: Path) -> None:
        async def scenario(fleet: SmallFleet) -> None:
            await meet(fleet, fleet.entry, CALLERS_PORT, client, 400)

        run_scenario(scenario, tmp_path)

    def test_many_clients_that_read_no_answers(self, tmp_path: Path) -> None:
        async def scenario(fleet: SmallFleet) -> None:
            await meet(fleet, fleet.entry, CALLERS_PORT, UNREAD_ANSWERS, 300)

        run_scenario(scenario, tmp_path)

    def test_more_idle_connections_than_descriptors(self, tmp_path: Path) -> None:
        async def scenario(fleet: SmallFleet) -> None:
            await meet(fleet, fleet.entry, CALLERS_PORT, IDLE, 2 * FEW_DESCRIPTORS)

        run_scenario(scenario, tmp_path, FEW_DESCRIPTORS)

    def test_bodies_that_are_small_only_while_compressed(self, tmp_path: Path) -> None:
        async def scenario(fleet: SmallFleet) -> None:
            await meet(fleet, fleet.entry, CALLERS_PORT, compressed_body(), 20)

        run_scenario(scenario, tmp_path)

    def test_drain_does_not_wait_for_a_body_without_end(self, tmp_path: Path) -> None:
        async def scenario(fleet: SmallFleet) -> None:
            crowd = Crowd(fleet.entry.listen_ip, CALLERS_PORT, WHOLE, 1)
            task = asyncio.create_task(crowd.run(TIMEOUT_S))
            await asyncio.sleep(1.0)
            fleet.fleet.terminate(fleet.entry)
            process = fleet.entry.process
            assert process is not None
            async with asyncio.timeout(TIMEOUT_S):
                assert await process.wait() == 0
            task.cancel()
            assert "interrupted by the shutdown" not in fleet.entry.log_path.read_text()

        run_scenario(scenario, tmp_path)

    def test_single_body_of_the_largest_size_in_chunks_of_one_byte_is_served(
        self, tmp_path: Path
    ) -> None:
        async def scenario(fleet: SmallFleet) -> None:
            body = msgspec.json.encode(JOB).ljust(BODY_BYTES)
            request = CHUNKED + b"".join(chunk(body[n : n + 1]) for n in range(len(body)))
            reader, writer = await asyncio.open_connection(fleet.entry.listen_ip, CALLERS_PORT)
            async with asyncio.timeout(TIMEOUT_S):
                writer.write(request + b"0\r\n\r\n")
                answer = await reader.readuntil(b"\r\n")
            writer.close()
            assert b" 200 " in answer

        run_scenario(scenario, tmp_path)


class TestAnnouncementPort:
    def test_many_bodies_that_stop_short_of_their_end(self, tmp_path: Path) -> None:
        async def scenario(fleet: SmallFleet) -> None:
            head = b"PUT /currantbarrow/instances/other HTTP/1.1\r\nHost: side\r\n"
            length = 1_000_000
            client = Client((sized_head(head, length), b" " * (length - MISSING)))
            await meet(fleet, fleet.side, CONTROL_PORT, client, 200)

        run_scenario(scenario, tmp_path)


class TestOwnApi:
    """The callers' API of the product itself."""

    MEMORY_MB, DESCRIPTORS = 300, 1024
    CALLERS_PORT, OPERATOR_PORT = 7101, 7102
    HEAD = b"POST /v1/jobs HTTP/1.1\r\nHost: entry\r\nContent-Type: application/json\r\n"
    BODY_BYTES = 3_900_000

    @classmethod
    def run(cls, client: Client, count: int, folder: Path) -> None:
        async def run() -> None:
            processes = Processes("vaja", folder)
            for path in processes.folder.glob("*.yaml"):
                if path.stem not in ("log", "entry-0", "side-00", "worker-00", "operator"):
                    path.unlink()
            settings = processes.folder / "entry-0.yaml"
            limits = f"memory_mb: {cls.MEMORY_MB}\ndescriptors: {cls.DESCRIPTORS}\n"
            settings.write_text(settings.read_text() + limits)
            try:
                await processes.start_all()
                await cls.face(processes, Crowd("127.0.0.1", 0, client, count))
            finally:
                await processes.kill_all()

        asyncio.run(run())

    @classmethod
    async def face(cls, processes: Processes, crowd: Crowd) -> None:
        pid = processes.running["entry-0"].pid
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (cls.DESCRIPTORS, cls.DESCRIPTORS))
        url = processes.url("entry-0", cls.CALLERS_PORT)
        crowd.port = int(url.rpartition(":")[2])

        async def check_served() -> None:
            timeout = aiohttp.ClientTimeout(total=5.0)
            async with (
                asyncio.timeout(TIMEOUT_S),
                aiohttp.ClientSession(timeout=timeout) as session,
            ):
                while not await is_job_completed(session, f"{url}/v1/jobs"):
                    await asyncio.sleep(POLL_S)

        code, _, error = 1, "", ""
        async with asyncio.timeout(TIMEOUT_S):
            while code:
                code, _, error = await processes.run_client(
                    "class", "create", "hold", "--target-ms", "400", "--wait"
                )
        assert not code, error
        await check_served()
        await face(crowd, lambda: checked_use(pid, cls.MEMORY_MB, cls.DESCRIPTORS), check_served)

    def test_many_bodies_that_stop_short_of_their_end(self, tmp_path: Path) -> None:
        length = self.BODY_BYTES
        self.run(Client((sized_head(self.HEAD, length), b" " * (length - MISSING))), 150, tmp_path)

    def test_many_bodies_in_chunks_of_one_byte(self, tmp_path: Path) -> None:
        head = self.HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        self.run(Client((head, chunk(b" ") * self.BODY_BYTES)), 100, tmp_path)

    def test_more_idle_connections_than_descriptors(self, tmp_path: Path) -> None:
        self.run(IDLE, 2 * self.DESCRIPTORS, tmp_path)


async def is_job_completed(session: aiohttp.ClientSession, url: str) -> bool:
    """Submit an ordinary job to the product's own API, and return whether it was completed."""
    try:
        async with session.post(url, json=make_body(1, 20.0)) as answer:
            return answer.status == 200 and b"complete" in await answer.read()
    except (aiohttp.ClientError, TimeoutError):
        return False
