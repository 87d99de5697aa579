"""Synchronize stream replicas with peers when the log itself does not deliver the records."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Sequence

from currantbarrow.exceptions import ConfigurationError, LinkError
from currantbarrow.logservice.records import CLASS_STREAM, CLUSTER_STREAM
from currantbarrow.logservice.replica import StreamReplica
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

__all__ = ["PeerSync", "sync_from_peers"]

POLL_INTERVAL_MS = 250.0
PULL_TIMEOUT_MS = 2000.0
RETRY_INTERVAL_MS = 1000.0


class PeerSync:
    """Track peers that report newer offsets, and pull from one after the lag tolerance.

    lag_tolerance_ms maps a stream to the time that its replica may lag before it pulls.
    """

    __slots__ = (
        "_behind_since_ms",
        "_clock",
        "_lag_tolerance_ms",
        "_metrics",
        "_newer_offsets",
        "_replicas",
        "_rng",
    )

    def __init__(
        self,
        replicas: Sequence[StreamReplica],
        lag_tolerance_ms: Callable[[str], float],
        *,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self._replicas = {replica.stream: replica for replica in replicas}
        self._lag_tolerance_ms = lag_tolerance_ms
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._newer_offsets: dict[str, dict[RpcClient, int]] = {
            stream: {} for stream in self._replicas
        }
        self._behind_since_ms: dict[str, float] = {}

    def heartbeat(self, load: Load | None = None) -> Heartbeat:
        """Return a heartbeat that reports this process's offsets."""
        return Heartbeat(load, *self.offsets())

    def offsets(self) -> tuple[int, int]:
        """Return the offsets of the cluster stream and of the class stream."""
        return self._replicas[CLUSTER_STREAM].offset, self._replicas[CLASS_STREAM].offset

    def record_offsets(self, rpc: RpcClient, heartbeat: Heartbeat) -> None:
        """Record the offsets that a peer reports, where they are newer than the replica's."""
        reported = {CLUSTER_STREAM: heartbeat.cluster_offset, CLASS_STREAM: heartbeat.class_offset}
        for stream, offset in reported.items():
            if offset > self._replicas[stream].offset:
                self._newer_offsets[stream][rpc] = offset

    def answer(self, call: RecordsWanted) -> Records:
        """Return the reply to a peer that requests records of a stream."""
        replica = self._replicas.get(call.stream)
        if replica is None:
            return Records(call.call_id, call.stream, -1)
        return replica.answer(call)

    async def run(self) -> None:
        """Pull missing records until cancelled."""
        while True:
            await self._clock.sleep_ms(POLL_INTERVAL_MS)
            for replica in self._replicas.values():
                await self._pull_if_behind(replica)

    async def _pull_if_behind(self, replica: StreamReplica) -> None:
        newer_offsets = self._newer_offsets[replica.stream]
        for rpc in [rpc for rpc, offset in newer_offsets.items() if offset <= replica.offset]:
            del newer_offsets[rpc]
        if not newer_offsets:
            self._behind_since_ms.pop(replica.stream, None)
            return
        now_ms = self._clock.monotonic_ms()
        since_ms = self._behind_since_ms.setdefault(replica.stream, now_ms)
        if now_ms - since_ms < self._lag_tolerance_ms(replica.stream):
            return
        rpc = self._rng.choice(list(newer_offsets))
        # A peer that does not answer is tried again after its next heartbeat.
        del newer_offsets[rpc]
        self._metrics.incr(f"log.pulls.{replica.stream}")
        with contextlib.suppress(LinkError, ConfigurationError):
            await pull(replica, rpc)


async def pull(replica: StreamReplica, rpc: RpcClient) -> None:
    """Update a replica from one peer; raise LinkError or ConfigurationError."""
    reply = await rpc.call(
        lambda call_id: RecordsWanted(call_id, replica.stream, replica.offset),
        Records,
        PULL_TIMEOUT_MS,
    )
    replica.merge(reply)


async def sync_from_peers(
    addresses: Sequence[str],
    hello: Hello,
    replicas: Sequence[StreamReplica],
    *,
    clock: Clock,
    network: Network,
    rng: random.Random,
) -> None:
    """Pull all streams from the configured peers, retrying until one of them returns a state."""
    candidates = list(addresses)
    while candidates and all(replica.offset < 0 for replica in replicas):
        for address in rng.sample(candidates, len(candidates)):
            with contextlib.suppress(LinkError, ConfigurationError):
                await _sync_from(address, hello, replicas, network)
        await clock.sleep_ms(rng.uniform(0.5, 1.0) * RETRY_INTERVAL_MS)


async def _sync_from(
    address: str, hello: Hello, replicas: Sequence[StreamReplica], network: Network
) -> None:
    link = await network.connect(address, hello)
    rpc = RpcClient(link)
    replies = asyncio.create_task(_handle_replies(link, rpc))
    try:
        for replica in replicas:
            await pull(replica, rpc)
    finally:
        replies.cancel()
        await link.close()


async def _handle_replies(link: Link, rpc: RpcClient) -> None:
    with contextlib.suppress(LinkError):
        while True:
            message: Message = await link.receive()
            if isinstance(message, Reply):
                rpc.handle_reply(message)
