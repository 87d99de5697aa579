"""Test how soon calls to the platform's store work again after all open connections went silent."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
from aiohttp import web

from currantbarrow.direct.commands import POLL_TIMEOUT_MS, POLL_WAIT_MS, RETRY_BACKOFF_MIN_MS
from currantbarrow.direct.hosts import AnnouncementStore
from currantbarrow.direct.model import Resources
from currantbarrow.direct.side import DirectSide, DirectSideOptions
from currantbarrow.direct.worker import Announcement
from currantbarrow.exceptions import WorkerSilent
from currantbarrow.observe import HybridClock, MetricsRegistry, create_clock
from currantbarrow.platform.store import ANSWER_LIMIT_MS, StoreClient
from currantbarrow.platform.topics import (
    READ_WAIT_MS,
    SILENCE_LIMIT_MS,
    TopicAnnouncementStore,
    TopicHostDirectory,
    create_configuration_source,
)
from currantbarrow.platform.worker import HttpWorkerControl
from currantbarrow.protocol.websocket import create_network
from currantbarrow.standins.direct_fleet import MemoryAnnouncements
from currantbarrow.standins.direct_worker import MemoryWorker, RunRecorder
from currantbarrow.standins.virtual import run_virtual
from soak.store import MemoryStore

# Within this time of the silence, a configuration must have been applied.
CONTACT_MS = 3000.0
# The longest time that a store takes to answer while it is slow.
SLOW_ANSWER_MS = 240.0
# A worker considers an announcement lost after this time.
ANNOUNCEMENT_TIMEOUT_MS = 1000.0
WORKER_CONNECTIONS = 12
CONFIGURATION = b"\x06config"


class SilentStore(MemoryStore):
    """Answer calls, except over connections that have gone silent."""

    def __init__(self) -> None:
        super().__init__()
        self.address = ""
        self._open: set[asyncio.Transport] = set()
        self._silent: set[asyncio.Transport] = set()

    def silence_open(self) -> None:
        """Answer nothing more over the connections that are open now."""
        self._silent |= self._open

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answer one call, if its connection has not gone silent."""
        assert request.transport is not None
        self._open.add(request.transport)
        if request.transport not in self._silent:
            response = await super().handle(request)
            if request.transport not in self._silent:
                return response
        return await asyncio.Future[web.StreamResponse]()


class SilentWorker(SilentStore):
    """Answer polls after their wait, except over connections that have gone silent."""

    async def _answer(self, request: web.Request) -> web.Response:
        body = await request.json() if request.can_read_body else {}
        await asyncio.sleep(body.get("wait_ms", 0) / 1000)
        return web.json_response({"clock_ms": 1.0})


@asynccontextmanager
async def serve(store: SilentStore) -> AsyncIterator[StoreClient]:
    """Serve a store on loopback to a client that has used all its connections."""
    app = web.Application()
    app.router.add_route("*", "/{path:.*}", store.handle)
    runner = web.AppRunner(app, shutdown_timeout=0.05)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    store.address = f"{host}:{port}"
    client = StoreClient(store.address)
    await asyncio.gather(*(client.newest("keyed.op") for _ in range(4)))
    yield client
    await client.close()
    await runner.cleanup()


async def measure_following(silent_after_s: float) -> float:
    """Return the time from the silence until a configuration that follows it is known."""
    store, metrics, clock = SilentStore(), MetricsRegistry(), create_clock()
    documents: asyncio.Queue[bytes] = asyncio.Queue()
    async with serve(store) as client:
        directory = TopicHostDirectory(client, clock, random.Random(1), metrics)
        source = create_configuration_source(client, clock, random.Random(1), metrics)
        following = [
            asyncio.create_task(source.follow(documents.put_nowait)),
            asyncio.create_task(
                directory.follow(lambda row: None, lambda address: None, lambda addresses: None)
            ),
        ]
        # The next read begins when the record arrives.
        store.append("keyed.op", CONFIGURATION + b"former")
        assert await documents.get() == b"former"
        await asyncio.sleep(silent_after_s)
        store.silence_open()
        began_ms = clock.monotonic_ms()
        store.append("keyed.op", CONFIGURATION + b"next")
        try:
            async with asyncio.timeout(2 * CONTACT_MS / 1000):
                while await documents.get() != b"next":
                    pass
        except TimeoutError:
            return 2 * CONTACT_MS
        finally:
            for task in following:
                task.cancel()
        return clock.monotonic_ms() - began_ms


async def poll(
    control: HttpWorkerControl, wait_ms: float, answer_ms: float = POLL_TIMEOUT_MS
) -> None:
    """Poll a worker, by default with the time-out of a side process."""
    await control.poll(
        "w",
        1,
        acknowledged_end=0,
        lease_until_ms=None,
        wait_ms=wait_ms,
        timeout_ms=wait_ms + answer_ms,
    )


async def measure_polling(silent_after_s: float) -> float:
    """Return the time from the silence until a poll that begins after it is answered."""
    worker, clock = SilentWorker(), create_clock()
    async with serve(worker):
        control = HttpWorkerControl(worker.address)
        await asyncio.gather(*(poll(control, 0.0, CONTACT_MS) for _ in range(WORKER_CONNECTIONS)))
        polling = asyncio.create_task(poll(control, POLL_WAIT_MS))
        await asyncio.sleep(silent_after_s)
        worker.silence_open()
        began_ms = clock.monotonic_ms()
        await asyncio.gather(polling, return_exceptions=True)
        while clock.monotonic_ms() - began_ms < 2 * CONTACT_MS:
            try:
                await poll(control, POLL_WAIT_MS)
                break
            except WorkerSilent:
                await clock.sleep_ms(RETRY_BACKOFF_MIN_MS)
        await control.close()
        return clock.monotonic_ms() - began_ms


@asynccontextmanager
async def run_side(
    client: StoreClient, announcements: AnnouncementStore
) -> AsyncIterator[tuple[DirectSide, Announcement]]:
    """Run a side process, and return it with the first announcement of its worker."""
    metrics, clock = MetricsRegistry(), create_clock()
    worker = MemoryWorker("worker-0", Resources(8000, 8000, 0), RunRecorder(), 1000.0)
    worker.start_clock()
    side = DirectSide(
        DirectSideOptions("side-0", "side-0.1", "a", "a", "one", (), 1000.0, 100.0),
        worker,
        clock=clock,
        network=create_network("", HybridClock(clock), metrics),
        metrics=metrics,
        directory=TopicHostDirectory(client, clock, random.Random(1), metrics),
        announcements=announcements,
    )
    yield side, worker.announcement()
    await side.stop()
    worker.stop_clock()


def shrink(announcement: Announcement) -> Announcement:
    """Return the next announcement of a worker whose capacity has shrunk."""
    return msgspec.structs.replace(
        announcement, capacity=Resources(4000, 4000, 0), sequence=announcement.sequence + 1
    )


class UnansweringAnnouncements(MemoryAnnouncements):
    """Store an announcement, and do not answer a number of attempts."""

    def __init__(self, unanswered: int) -> None:
        super().__init__()
        self.unanswered = unanswered

    async def save(self, announcement: Announcement, timeout_ms: float) -> bool:
        """Store an announcement; return whether that was answered."""
        stored = await super().save(announcement, timeout_ms)
        if self.unanswered:
            self.unanswered -= 1
            await asyncio.sleep(timeout_ms / 1000)
            return False
        return stored


class TestSilentConnections:
    def test_configuration_is_known_in_time_at_every_moment_of_a_read(self) -> None:
        async def scenario() -> list[float]:
            moments_ms = range(0, READ_WAIT_MS + 1, 100)
            return await asyncio.gather(*(measure_following(each / 1000) for each in moments_ms))

        assert max(asyncio.run(scenario())) < CONTACT_MS

    def test_worker_is_polled_in_time_at_every_moment_of_a_poll(self) -> None:
        async def scenario() -> list[float]:
            moments_ms = range(0, int(POLL_WAIT_MS) + 1, 20)
            return await asyncio.gather(*(measure_polling(each / 1000) for each in moments_ms))

        assert max(asyncio.run(scenario())) < CONTACT_MS

    def test_bound_holds_with_a_slow_store(self) -> None:
        assert SLOW_ANSWER_MS < ANSWER_LIMIT_MS
        assert SILENCE_LIMIT_MS + SLOW_ANSWER_MS < CONTACT_MS

    def test_shrunk_capacity_is_stored_before_its_announcement_is_answered(self) -> None:
        """Guards against a side process that is killed then, and restores the larger one."""

        async def scenario() -> None:
            store = SilentStore()
            async with serve(store) as client:
                announcements = TopicAnnouncementStore("side-0", client, MetricsRegistry())
                async with run_side(client, announcements) as (side, announcement):
                    await side.handle_announcement(announcement)
                    store.silence_open()
                    async with asyncio.timeout(ANNOUNCEMENT_TIMEOUT_MS / 1000):
                        await side.handle_announcement(shrink(announcement))
                # The next incarnation opens connections of its own.
                successor = StoreClient(store.address)
                restored = TopicAnnouncementStore("side-0", successor, MetricsRegistry())
                assert await restored.load() == shrink(announcement)
                await successor.close()

        asyncio.run(scenario())

    def test_second_attempt_does_not_replace_a_newer_announcement(self) -> None:
        async def scenario() -> None:
            announcements, client = UnansweringAnnouncements(1), StoreClient("127.0.0.1:1")
            async with run_side(client, announcements) as (side, announcement):
                saving = asyncio.create_task(side.handle_announcement(announcement))
                await asyncio.sleep(0.01)
                await side.handle_announcement(shrink(announcement))
                await saving
            assert await announcements.load() == shrink(announcement)

        run_virtual(scenario())

    def test_announcement_is_stored_again_after_a_different_one_without_an_answer(self) -> None:
        async def scenario() -> None:
            announcements, client = UnansweringAnnouncements(0), StoreClient("127.0.0.1:1")
            async with run_side(client, announcements) as (side, announcement):
                shrunk = shrink(announcement)
                await side.handle_announcement(shrunk)
                announcements.unanswered = 2
                await side.handle_announcement(msgspec.structs.replace(announcement, sequence=3))
                await side.handle_announcement(msgspec.structs.replace(shrunk, sequence=4))
            stored = await announcements.load()
            assert stored is not None and stored.capacity == shrunk.capacity

        run_virtual(scenario())
