"""Bring copies of the streams up to date from peers when the log does not."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Sequence

from currantbarrow.exceptions import ConfigurationError, LinkError
from currantbarrow.logservice.copy import StreamCopy
from currantbarrow.logservice.records import CLASS_STREAM, CLUSTER_STREAM
from currantbarrow.protocol import (
    Heartbeat,
    Hello,
    Load,
    Message,
    Records,
    RecordsWanted,
    Reply,
    RpcClient,
)
from currantbarrow.types import Clock, Link, Metrics, Network

__all__ = ["StateSharing", "ask_peers"]

LOOK_MS = 250.0
PULL_TIMEOUT_MS = 2000.0
ASK_AGAIN_MS = 1000.0


class StateSharing:
    """Remember which peers show newer offsets, and pull from one of them when it is time."""

    __slots__ = (
        "_behind_since_ms",
        "_clock",
        "_copies",
        "_metrics",
        "_patience_ms",
        "_rng",
        "_seen",
    )

    def __init__(
        self,
        copies: Sequence[StreamCopy],
        patience_ms: Callable[[str], float],
        *,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self._copies = {copy.stream: copy for copy in copies}
        self._patience_ms = patience_ms
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._seen: dict[str, dict[RpcClient, int]] = {stream: {} for stream in self._copies}
        self._behind_since_ms: dict[str, float] = {}

    def heartbeat(self, load: Load | None = None) -> Heartbeat:
        """Return a heartbeat that shows this process's offsets."""
        return Heartbeat(load, *self.offsets())

    def offsets(self) -> tuple[int, int]:
        """Return the offsets of the cluster stream and of the class stream."""
        return self._copies[CLUSTER_STREAM].offset, self._copies[CLASS_STREAM].offset

    def note(self, rpc: RpcClient, heartbeat: Heartbeat) -> None:
        """Take note of the offsets that a peer shows."""
        shown = {CLUSTER_STREAM: heartbeat.cluster_offset, CLASS_STREAM: heartbeat.class_offset}
        for stream, offset in shown.items():
            if offset > self._copies[stream].offset:
                self._seen[stream][rpc] = offset

    def answer(self, call: RecordsWanted) -> Records:
        """Answer a peer that asks for the state of a stream."""
        copy = self._copies.get(call.stream)
        if copy is None:
            return Records(call.call_id, call.stream, -1)
        return copy.answer(call)

    async def run(self) -> None:
        """Pull what is missing until cancelled."""
        while True:
            await self._clock.sleep_ms(LOOK_MS)
            for copy in self._copies.values():
                await self._look(copy)

    async def _look(self, copy: StreamCopy) -> None:
        seen = self._seen[copy.stream]
        for rpc in [rpc for rpc, offset in seen.items() if offset <= copy.offset]:
            del seen[rpc]
        if not seen:
            self._behind_since_ms.pop(copy.stream, None)
            return
        now_ms = self._clock.monotonic_ms()
        since_ms = self._behind_since_ms.setdefault(copy.stream, now_ms)
        if now_ms - since_ms < self._patience_ms(copy.stream):
            return
        rpc = self._rng.choice(list(seen))
        # A peer that doesn't answer is asked again once it has shown itself again.
        del seen[rpc]
        self._metrics.incr(f"log.pulls.{copy.stream}")
        with contextlib.suppress(LinkError, ConfigurationError):
            await pull(copy, rpc)


async def pull(copy: StreamCopy, rpc: RpcClient) -> None:
    """Bring a copy up to date from one peer; raise LinkError or ConfigurationError."""
    reply = await rpc.call(
        lambda call_id: RecordsWanted(call_id, copy.stream, copy.offset), Records, PULL_TIMEOUT_MS
    )
    copy.merge(reply)


async def ask_peers(
    addresses: Sequence[str],
    hello: Hello,
    copies: Sequence[StreamCopy],
    *,
    clock: Clock,
    network: Network,
    rng: random.Random,
) -> None:
    """Ask the peers named in the settings for all states, until one of them knew something."""
    remaining = list(addresses)
    while remaining and all(copy.offset < 0 for copy in copies):
        for address in rng.sample(remaining, len(remaining)):
            with contextlib.suppress(LinkError, ConfigurationError):
                await _ask(address, hello, copies, network)
        await clock.sleep_ms(rng.uniform(0.5, 1.0) * ASK_AGAIN_MS)


async def _ask(address: str, hello: Hello, copies: Sequence[StreamCopy], network: Network) -> None:
    link = await network.connect(address, hello)
    rpc = RpcClient(link)
    settling = asyncio.create_task(_settle(link, rpc))
    try:
        for copy in copies:
            await pull(copy, rpc)
    finally:
        settling.cancel()
        await link.close()


async def _settle(link: Link, rpc: RpcClient) -> None:
    with contextlib.suppress(LinkError):
        while True:
            message: Message = await link.receive()
            if isinstance(message, Reply):
                rpc.handle_reply(message)
