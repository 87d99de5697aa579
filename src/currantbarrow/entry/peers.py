"""Maintain links to the other entry processes, for calls to the owners of shards."""

from __future__ import annotations

import asyncio
import collections
import random
from collections.abc import Iterable

from currantbarrow.cluster import Member
from currantbarrow.entry.dialing import keep_connected, receive_with_timeout
from currantbarrow.exceptions import LinkClosed, LinkError
from currantbarrow.logservice import PeerSync
from currantbarrow.protocol import Heartbeat, Hello, Reply, RpcClient
from currantbarrow.types import Clock, Link, Network

__all__ = ["EntryPeer", "EntryPool"]

REPORTED_VERSIONS_LIMIT = 1024
SILENCE_LIMIT_MS = 2500.0


class EntryPeer:
    """Store the link that this process opened to one other entry process."""

    __slots__ = ("down_since_ms", "link", "member", "rpc")

    def __init__(self, member: Member, now_ms: float) -> None:
        self.member = member
        self.link: Link | None = None
        self.rpc: RpcClient | None = None
        self.down_since_ms: float | None = now_ms

    def require_rpc(self) -> RpcClient:
        """Return the caller of the open link; raise LinkClosed."""
        if self.rpc is None:
            raise LinkClosed(f"no link to {self.member.name}")
        return self.rpc


class EntryPool:
    """Maintain a link to every other entry process that is a member."""

    def __init__(
        self,
        hello: Hello,
        *,
        clock: Clock,
        network: Network,
        rng: random.Random,
        peer_sync: PeerSync,
    ) -> None:
        self.peers: dict[str, EntryPeer] = {}
        self._hello = hello
        self._clock = clock
        self._network = network
        self._rng = rng
        self._peer_sync = peer_sync
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._closing: list[asyncio.Task[None]] = []
        self._reported_versions: collections.OrderedDict[str, int] = collections.OrderedDict()

    def sync(self, members: Iterable[Member]) -> None:
        """Open links to new members and close those to members that left."""
        wanted = {
            member.incarnation: member
            for member in members
            if member.incarnation != self._hello.incarnation
        }
        for incarnation in [known for known in self.peers if known not in wanted]:
            peer = self.peers.pop(incarnation)
            self._tasks.pop(incarnation).cancel()
            if peer.link is not None:
                self._closing = [task for task in self._closing if not task.done()]
                self._closing.append(asyncio.create_task(peer.link.close()))
            self._close(peer)
        for incarnation, member in wanted.items():
            if incarnation not in self.peers:
                peer = EntryPeer(member, self._clock.monotonic_ms())
                self.peers[incarnation] = peer
                self._tasks[incarnation] = asyncio.create_task(self._run(peer))

    def down_for_ms(self, incarnation: str) -> float:
        """Return how long the link to a peer has been down, 0 while it is open."""
        peer = self.peers.get(incarnation)
        if peer is None or peer.down_since_ms is None:
            return 0.0
        return self._clock.monotonic_ms() - peer.down_since_ms

    def reported_version(self, incarnation: str) -> int:
        """Return the newest assignment version that an entry has reported, 0 if none."""
        return self._reported_versions.get(incarnation, 0)

    async def stop(self) -> None:
        """Close all links."""
        for task in self._tasks.values():
            task.cancel()
        links = [peer.link for peer in self.peers.values() if peer.link is not None]
        await asyncio.gather(*(link.close() for link in links))

    async def _run(self, peer: EntryPeer) -> None:
        await keep_connected(
            peer.member,
            self._hello,
            lambda link: self._serve(peer, link),
            network=self._network,
            clock=self._clock,
            rng=self._rng,
        )

    async def _serve(self, peer: EntryPeer, link: Link) -> None:
        """Handle messages from a peer until the link closes."""
        peer.link, peer.rpc, peer.down_since_ms = link, RpcClient(link), None
        try:
            await self._receive(peer, peer.rpc, link)
        except LinkError:
            self._close(peer)

    async def _receive(self, peer: EntryPeer, rpc: RpcClient, link: Link) -> None:
        while True:
            message = await receive_with_timeout(link, SILENCE_LIMIT_MS)
            if isinstance(message, Reply):
                rpc.handle_reply(message)
            elif isinstance(message, Heartbeat):
                self._peer_sync.record_offsets(rpc, message)
                self._record_version(peer.member.incarnation, message)

    def _record_version(self, incarnation: str, heartbeat: Heartbeat) -> None:
        # An assignment's version is the offset of its record plus one, and a process applies
        # records as it reads them, so the peer has applied all assignments up to this version.
        known = max(self.reported_version(incarnation), heartbeat.cluster_offset + 1)
        self._reported_versions[incarnation] = known
        self._reported_versions.move_to_end(incarnation)
        while len(self._reported_versions) > REPORTED_VERSIONS_LIMIT:
            self._reported_versions.popitem(last=False)

    def _close(self, peer: EntryPeer) -> None:
        if peer.rpc is not None:
            peer.rpc.close()
        peer.link = None
        peer.rpc = None
        if peer.down_since_ms is None:
            peer.down_since_ms = self._clock.monotonic_ms()
