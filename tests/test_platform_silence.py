"""Test how soon calls to the platform's store work again after all open connections went silent."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from aiohttp import web

from currantbarrow.observe import MetricsRegistry, create_clock
from currantbarrow.platform.store import ANSWER_LIMIT_MS, StoreClient
from currantbarrow.platform.topics import (
    READ_WAIT_MS,
    SILENCE_LIMIT_MS,
    TopicHostDirectory,
    create_configuration_source,
)
from soak.store import MemoryStore

# Within this time of the silence, a configuration must have been applied.
CONTACT_MS = 3000.0
# The longest time that a store takes to answer while it is slow.
SLOW_ANSWER_MS = 240.0
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


class TestSilentConnections:
    def test_configuration_is_known_in_time_at_every_moment_of_a_read(self) -> None:
        async def scenario() -> list[float]:
            moments_ms = range(0, READ_WAIT_MS + 1, 100)
            return await asyncio.gather(*(measure_following(each / 1000) for each in moments_ms))

        assert max(asyncio.run(scenario())) < CONTACT_MS

    def test_bound_holds_with_a_slow_store(self) -> None:
        assert SLOW_ANSWER_MS < ANSWER_LIMIT_MS
        assert SILENCE_LIMIT_MS + SLOW_ANSWER_MS < CONTACT_MS
