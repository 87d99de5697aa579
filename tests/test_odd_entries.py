"""Test that one odd entry of another writer ends no process, and stops nobody from following."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from typing import Any, cast

import aiohttp
import msgspec
import pytest
import uvloop
from aiohttp import web

from currantbarrow.classes import ClassState
from currantbarrow.direct.hosts import HostDirectory
from currantbarrow.direct.model import JobState
from currantbarrow.exceptions import BadFrame, CurrantbarrowError
from currantbarrow.logservice import (
    CLASS_STREAM,
    ClassChanged,
    ClassDefinition,
    LogFollower,
    decode_record,
    encode_record,
)
from currantbarrow.logservice.client import StoredRecord as LogEntry
from currantbarrow.observe import MetricsRegistry
from currantbarrow.platform.announcements import parse_announcement
from currantbarrow.platform.configuration import parse_configuration
from currantbarrow.platform.http import HttpResponse
from currantbarrow.platform.jobs import parse_job
from currantbarrow.platform.store import KeyedRecord, KeyedRecords, StoreClient
from currantbarrow.platform.topics import (
    READ_WAIT_MS,
    TopicAnnouncementStore,
    TopicHostDirectory,
    create_configuration_source,
)
from currantbarrow.platform.worker import HttpWorkerControl
from currantbarrow.protocol import Hello, Role
from currantbarrow.protocol.codec import decode_frame, encode_frame
from currantbarrow.protocol.direct import (
    DemandRow,
    EntryPing,
    HostRow,
    ShareHosts,
    SideReport,
    WorkerState,
)
from currantbarrow.standins.direct_fleet import DirectFleet, DirectPlan
from currantbarrow.standins.fleet import LoopClock
from currantbarrow.standins.virtual import run_virtual
from currantbarrow.types import Link
from direct_scenarios import run_fleet
from soak.fleet import HOST_NAME, Fleet, Plan
from soak.oracle import Oracle

DEPTH = 100_000
JOB_TIMEOUT_S = 10.0
ODD = {
    "deep list": b"[" * DEPTH + b"]" * DEPTH,
    "deep object": b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
    "integer beyond 64 bits": str(2**64).encode(),
    "integer beyond a float": b"1" + b"0" * 400,
    "negative integer beyond 64 bits": str(-(2**64)).encode(),
    "number beyond a float": b"1e400",
    "largest float": b"1.7e308",
    "lone surrogate": b'"\\ud800"',
    "no UTF-8": b'"\xff"',
    "null": b"null",
}


class OneAnswer:
    """Answer each call with the same body."""

    def __init__(self, body: bytes) -> None:
        self._body = body

    async def call(self, *args: object, **kwargs: object) -> HttpResponse:
        return HttpResponse(200, self._body)


class OneRecord(StoreClient):
    """List one record."""

    def __init__(self, record: KeyedRecord) -> None:
        super().__init__("store:1")
        self._record = record

    async def newest(self, topic: str) -> KeyedRecords:
        return KeyedRecords([self._record], 1, complete=True)

    async def read_keyed(self, topic: str, offset: int, wait_ms: int) -> KeyedRecords:
        await asyncio.sleep(wait_ms / 1000)
        return KeyedRecords([], offset)


class Pages:
    """Answer each call with the next of some bodies, and then with the last one again."""

    def __init__(self, *bodies: bytes) -> None:
        self._bodies = list(bodies)

    async def call(self, *args: object, **kwargs: object) -> HttpResponse:
        await asyncio.sleep(0.001)
        body = self._bodies.pop(0) if len(self._bodies) > 1 else self._bodies[0]
        return HttpResponse(200, body)


def list_pages(*bodies: bytes) -> KeyedRecords:
    store = StoreClient("store:1")
    store._http = cast(Any, Pages(*bodies))

    async def read() -> KeyedRecords:
        async with asyncio.timeout(1.0):
            return await store.newest("keyed.hosts")

    return run_virtual(read())


class OneStream:
    """Return the records of one stream."""

    def __init__(self, records: list[LogEntry]) -> None:
        self._records = records

    async def append(self, stream: str, data: bytes) -> int:
        raise NotImplementedError

    async def read(self, stream: str, offset: int, wait_ms: int) -> Sequence[LogEntry]:
        await asyncio.sleep(wait_ms / 1000)
        return self._records[offset:]


def read_later_announcement(data: bytes) -> object:
    known = parse_announcement("w", msgspec.json.encode(ANNOUNCEMENT), "", None)
    return parse_announcement("w", data, "", known)


def read_stored_announcement(data: bytes) -> object:
    store = TopicAnnouncementStore("side-0", OneRecord(KeyedRecord("side-0", data)), METRICS)
    return run_virtual(store.load())


def read_host(data: bytes) -> object:
    rows: list[HostRow] = []
    store = OneRecord(KeyedRecord("side-0:1", data))
    directory: HostDirectory = TopicHostDirectory(store, LoopClock(), random.Random(1), METRICS)

    async def follow() -> None:
        async with asyncio.timeout(1.0):
            await directory.follow(rows.append, lambda _: None, lambda _: None)

    with pytest.raises(TimeoutError):
        run_virtual(follow())
    return rows


def read_listing(data: bytes) -> object:
    store = StoreClient("store:1")
    store._http = cast(Any, OneAnswer(data))
    return run_virtual(store.newest("keyed.hosts"))


def read_poll(data: bytes) -> object:
    control = HttpWorkerControl("worker:1")
    control._http = cast(Any, OneAnswer(data))
    return run_virtual(
        control.poll("w", 1, acknowledged_end=0, lease_until_ms=None, wait_ms=0.0, timeout_ms=100.0)
    )


CHANGE = ClassChanged("id-1", "quote", 0, ClassDefinition(300.0))
MAX_INTEGER = 2**63
METRICS = MetricsRegistry()
ANNOUNCEMENT = {
    "service": "work",
    "state": "ready",
    "capacity": {"cpu": 8000, "mem_mb": 1024, "gpus": 0},
    "sequence": 4,
    "labels": ["a"],
    "born": 1,
    "cold_remaining_ms": 0.0,
    "other": 1,
}
STORED = {
    "announcement": {
        "worker": "w",
        "service": "work",
        "capacity": {"cpu_millis": 8000, "memory_mb": 1024, "gpus": 0},
        "labels": ["a"],
        "leaving": False,
        "sequence": 4,
        "born_ms": 1,
        "cold_remaining_ms": 0.0,
    },
    "other": 1,
}
ROUTE = {
    "name": "r",
    "host": "h",
    "path_prefix": "/",
    "service": "work",
    "timeout_ms": 100.0,
    "priority": 1,
    "max_attempts": 2,
    "stretch": 1.5,
    "target_latency_ms": 60.0,
    "other": 1,
}
DOCUMENT = {
    "version": 7,
    "routes": [ROUTE],
    "services": [{"name": "work"}],
    "limits": {"max_body_bytes": 1},
    "other": 1,
}
PHASE = {"count": 1, "cpu": 1, "mem_mb": 1, "gpus": 0, "estimate_ms": 1.0, "anti_affinity": 0}
JOB = {"spec": "s", "phases": [{**PHASE, "other": 1}], "best_effort": True, "other": 1}
POLL = {
    "clock_ms": 1.0,
    "born": 1,
    "running": [["a.0.0.0", 1, "", 50]],
    "finished": [[1, "a.0.0.1", 1, "done", ""]],
    "other": 1,
}
LISTING = {"items": [{"key": "k", "value": "AA==", "offset": 0}], "end": 1, "other": 1}
LOG_RECORD = {
    "type": "AssignmentChanged",
    "record_id": "r",
    "based_on": 1,
    "owners": ["a"],
    "shards": [0],
    "panel": ["a"],
    "at_ms": 1,
    "other": 1,
}
READERS: dict[str, tuple[Callable[[bytes], object], object]] = {
    "announcement": (lambda data: parse_announcement("w", data, "", None), ANNOUNCEMENT),
    "later announcement": (read_later_announcement, ANNOUNCEMENT),
    "stored announcement": (read_stored_announcement, STORED),
    "host": (read_host, ["side", "side-0:1", "side-0.1", "one", "other"]),
    "configuration": (parse_configuration, DOCUMENT),
    "job": (lambda data: parse_job("a" * 16, data), JOB),
    "poll answer": (read_poll, POLL),
    "store listing": (read_listing, LISTING),
    "log record": (decode_record, LOG_RECORD),
}


def replace_each(value: object, odd: msgspec.Raw) -> Iterator[object]:
    """Return copies of a value in each of which one part is odd, and the odd part alone."""
    yield odd
    if isinstance(value, dict):
        for key, child in value.items():
            for changed in replace_each(child, odd):
                yield {**value, key: changed}
    elif isinstance(value, list):
        for index, child in enumerate(value):
            for changed in replace_each(child, odd):
                yield [*value[:index], changed, *value[index + 1 :]]


def check_numbers(value: object) -> None:
    """Check that all numbers of a value fit in 64 bits and leave room for sums and products."""
    if isinstance(value, int):
        assert -MAX_INTEGER <= value < MAX_INTEGER
    elif isinstance(value, float):
        assert math.isfinite(value * MAX_INTEGER)
    elif isinstance(value, dict):
        for child in value.values():
            check_numbers(child)
    elif isinstance(value, list | tuple | set | frozenset):
        for child in value:
            check_numbers(child)
    elif hasattr(value, "__struct_fields__"):
        check_numbers(msgspec.structs.asdict(cast(msgspec.Struct, value)))
    elif hasattr(value, "__slots__"):
        check_numbers([getattr(value, name) for name in cast(Any, value).__slots__])


@pytest.mark.parametrize("reader", READERS)
@pytest.mark.parametrize("kind", ODD)
def test_odd_entry_ended_its_reader(reader: str, kind: str) -> None:
    read, usual = READERS[reader]
    for value in replace_each(usual, msgspec.Raw(ODD[kind])):
        try:
            check_numbers(read(msgspec.json.encode(value)))
        except CurrantbarrowError:
            # The reader's own error, which its callers expect.
            continue


def test_odd_record_ended_the_following_of_a_stream() -> None:
    records = [LogEntry(0, ODD["deep object"]), LogEntry(1, encode_record(CHANGE))]
    state = ClassState()
    follower = LogFollower(
        CLASS_STREAM, state, OneStream(records), LoopClock(), random.Random(1), METRICS
    )

    async def follow() -> None:
        following = asyncio.create_task(follower.run())
        async with asyncio.timeout(10.0):
            await follower.wait_for_offset(1)
        following.cancel()

    run_virtual(follow())
    assert state.names() == ["quote"]


ODD_ROWS = [
    *(
        HostRow(role, address, f"odd-{number}.1", "one")
        for role in ("entry", "side")
        for number, address in enumerate(
            (
                "",
                "odd",
                "odd:",
                ":1",
                "odd:0",
                "odd:-1",
                "odd:65536",
                "odd:" + "9" * 99,
                "odd:٣",
                "od d:1",
                "odd\n:1",
                "[odd:1",
                "odd:1/path",
                "o" * 300 + ":1",
            )
        )
    ),
    HostRow("entry", "odd:1", "x" * 200_000, "one"),
    HostRow("entry", "odd:2", "odd.1", "x" * 200_000),
    HostRow("x" * 200_000, "odd:3", "odd.1", "one"),
]


class CountingStore:
    """Count the listings that the processes request of a store."""

    def __init__(self, fleet: Fleet) -> None:
        self.listings = 0
        self._answer = fleet.store.handle
        fleet.store.handle = self.handle  # type: ignore[method-assign]

    async def handle(self, request: web.Request) -> web.StreamResponse:
        self.listings += request.path.endswith("log-newest")
        return await self._answer(request)


def put(fleet: Fleet, topic: str, key: bytes, value: bytes) -> None:
    fleet.store.append(topic, bytes([len(key)]) + key + value)


async def complete_job(fleet: Fleet, number: int, path: str) -> None:
    timeout = aiohttp.ClientTimeout(total=JOB_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        for host in fleet.entries:
            url = f"{host.direct_url}{path}/{number:015x}{host.number:x}"
            body = {"spec": "50/500", "phases": [{"count": 2, "cpu": 500, "estimate_ms": 50}]}
            async with session.post(
                url, json={**body, "best_effort": True}, headers={"Host": HOST_NAME}
            ) as answer:
                assert (answer.status, await answer.json()) == (200, {"state": "completed"})


def test_programs_stopped_following_after_odd_records(tmp_path: Path) -> None:
    async def scenario() -> None:
        oracle = Oracle()
        fleet = Fleet(Plan(1, entries=2, sides=2), oracle, tmp_path, random.Random(1))
        store = CountingStore(fleet)
        try:
            await fleet.start()
            # The deep ones come last, since a listing has the newest record of each key only.
            for number, odd in enumerate(reversed(ODD.values())):
                put(fleet, "keyed.hosts", f"odd-{number}:1".encode(), odd)
                value = b'["side","odd:1","odd.1","one",%s]' % odd
                put(fleet, "keyed.hosts", b"odd:1", value)
                for host in fleet.sides:
                    put(fleet, "keyed.workers", host.name.encode(), b'{"other":%s}' % odd)
                put(fleet, "keyed.op", b"config", b'{"version":0,"other":%s}' % odd)
            for row in ODD_ROWS:
                put(fleet, "keyed.hosts", row.address.encode()[:255], msgspec.json.encode(row))
            for host in fleet.sides:
                fleet.kill(host)
            listings = store.listings
            await asyncio.sleep(3 * READ_WAIT_MS / 1000)
            # Each of the two sides lists once, each of the four followers at most twice.
            assert store.listings - listings <= 10
            version = fleet.configure()
            await asyncio.sleep(READ_WAIT_MS / 1000)
            await complete_job(fleet, 1, f"/v{version}")
            await complete_job(fleet, 2, "/quick")
        finally:
            await fleet.stop()
        assert not oracle.violations

    uvloop.run(scenario())


@pytest.mark.parametrize("value", [2**64, -(2**64), 10**400], ids=["large", "negative", "infinite"])
def test_capacity_too_large_for_a_float_failed_all_jobs(value: int) -> None:
    state = WorkerState("w", "work", True, value, 1, 0, 1, 1, 0, 0, 0, 1.0, False, [])
    with pytest.raises(BadFrame):
        decode_frame(encode_frame(1, [SideReport(1.0, 1, state)]))


@pytest.mark.parametrize("is_published", [True, False], ids=["published", "sent by a peer"])
def test_address_out_of_range_counted_as_an_entry(is_published: bool) -> None:
    async def scenario(fleet: DirectFleet) -> None:
        entry = fleet.entries["entry-0"]
        known, entries = entry.known_processes(), entry.dispatcher.entry_count
        if is_published:
            for row in ODD_ROWS:
                await fleet.directory.publish(row)
        else:
            hello = Hello(Role.ENTRY, "stranger", "stranger.1", data_centre="one")
            link = await fleet.fabric.connect("entry-0:1", hello)
            link.post(ShareHosts([*ODD_ROWS, HostRow("entry", "good:1", "good.1", "one")]))
            known, entries = [*known, HostRow("entry", "good:1", "good.1", "one")], entries + 1
        await asyncio.sleep(1.0)
        assert entry.known_processes() == known
        assert entry.dispatcher.entry_count == entries
        assert await fleet.submit("entry-0", fleet.build_job("a" * 16, 2, 100.0)) == (
            JobState.COMPLETED
        )

    run_fleet(scenario, DirectPlan(sides=1))


@pytest.mark.parametrize(
    "key", [b"\\ud800", b"\\udcff", b"\\uD83D\\uD83D", b"\xff", b"\xed\xa0\x80"]
)
def test_key_that_is_no_text_hid_the_whole_listing(key: bytes) -> None:
    odd = b'{"key":"odd%s","value":"AA=="}' % key
    items = b'{"key":"a","value":"AA=="},%s,{"key":"z","value":"AA=="}' % odd
    listing = list_pages(b'{"items":[%s],"end":3}' % items)
    keys = [record.key for record in listing.records]
    assert (keys[0], keys[1][:4], keys[2]) == ("a", "odd\ufffd", "z")


def test_key_that_the_store_does_not_find_repeated_a_page_for_ever() -> None:
    page = b'{"items":[{"key":"\xef\xbf\xbd","value":"AA=="}],"has_more":true,"end":3}'
    listing = list_pages(page)
    assert {record.key for record in listing.records} == {"\ufffd"}
    assert not listing.complete


@pytest.mark.parametrize("value", [math.nan, math.inf, 1e308, -1.0])
def test_work_of_a_peer_that_is_no_amount_failed_all_jobs(value: float) -> None:
    async def scenario(fleet: DirectFleet) -> None:
        entry = fleet.entries["entry-0"]
        row = DemandRow("work", [value] * 8, [value] * 8)
        jobs = []
        for number in range(12):
            ping = EntryPing(0, [], "entry-1:1", demand=[row], offered=[row])
            entry.handle_peer_ping(ping, "entry-1.1")
            job = fleet.build_job(f"{number:016x}", 4, 100.0)
            jobs.append(asyncio.create_task(fleet.submit("entry-0", job)))
            await asyncio.sleep(0.05)
        states = await asyncio.gather(*jobs)
        assert set(states) <= {JobState.COMPLETED, JobState.REFUSED}
        assert states.count(JobState.COMPLETED)

    run_fleet(scenario, DirectPlan(entries=2, sides=1))


def test_unexpected_error_of_connecting_ended_the_reconnecting() -> None:
    async def scenario(fleet: DirectFleet) -> None:
        entry = fleet.entries["entry-0"]
        connect = entry._network.connect
        failed: list[str] = []

        async def fail_once(address: str, hello: Hello) -> Link:
            if not failed:
                failed.append(address)
                raise OverflowError("port must be 0-65535")
            return await connect(address, hello)

        entry._network.connect = fail_once  # type: ignore[method-assign]
        entry.fleet.handles()[0].link.abort()
        await asyncio.sleep(5.0)
        assert failed
        assert len(entry.fleet.handles()) == 1

    run_fleet(scenario, DirectPlan(entries=1, sides=1))


def test_document_that_cannot_be_applied_ended_the_following() -> None:
    applied: list[bytes] = []

    def apply(document: bytes) -> None:
        applied.append(document)
        raise RuntimeError("unexpected")

    store = OneRecord(KeyedRecord("config", b"{}"))
    source = create_configuration_source(store, LoopClock(), random.Random(1), METRICS)

    async def follow() -> None:
        async with asyncio.timeout(READ_WAIT_MS / 1000):
            await source.follow(apply)

    with pytest.raises(TimeoutError):
        run_virtual(follow())
    assert applied == [b"{}"]
