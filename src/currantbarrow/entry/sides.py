"""Maintain one link to each side process and a view of its worker's load."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Iterable
from typing import Protocol

from currantbarrow.cluster import Member
from currantbarrow.entry.dialing import keep_connected, receive_with_timeout
from currantbarrow.exceptions import LinkError
from currantbarrow.logservice import PeerSync
from currantbarrow.policy import WorkerView
from currantbarrow.protocol import (
    Heartbeat,
    Hello,
    Load,
    Message,
    RecordsWanted,
    Refused,
    Reply,
    Result,
    RpcClient,
)
from currantbarrow.types import Clock, Link, Metrics, Network

__all__ = ["SideListener", "SidePeer", "SidePool"]

SILENCE_LIMIT_MS = 3500.0
HEARTBEAT_MS = 5000.0


class SideListener(Protocol):
    """Handle events on the links to side processes."""

    def side_connected(self, peer: SidePeer) -> None:
        """Handle a link that opened."""

    def side_disconnected(self, peer: SidePeer) -> None:
        """Handle a link that closed."""

    def side_removed(self, peer: SidePeer) -> None:
        """Handle the removal of a side process from the members."""

    def results_received(self, peer: SidePeer, message: Result) -> None:
        """Handle task results."""

    def starts_refused(self, peer: SidePeer, message: Refused) -> None:
        """Handle refused starts."""

    def load_changed(self, peer: SidePeer) -> None:
        """Handle a new load report of a worker."""


class SidePeer:
    """Store the link to one incarnation of a side process and the view of its worker."""

    __slots__ = ("down_since_ms", "last_reported", "link", "member", "rpc", "stamp_ms", "view")

    def __init__(self, member: Member, now_ms: float) -> None:
        self.member = member
        self.view = WorkerView(member.name, member.incarnation, member.data_centre, member.rack)
        self.link: Link | None = None
        self.rpc: RpcClient | None = None
        # The last heartbeat with log offsets that this process sent on the link.
        self.last_reported: Heartbeat | None = None
        # The side process's clock in its newest load report.
        self.stamp_ms = 0.0
        self.down_since_ms = now_ms

    @property
    def up(self) -> bool:
        """Return whether the link is open."""
        return self.link is not None and not self.link.closed

    def apply_load(self, load: Load, now_ms: float) -> None:
        """Update the view from a load report; ignore one older than the last."""
        if load.clock_ms < self.stamp_ms:
            return
        view = self.view
        self.stamp_ms = load.clock_ms
        view.slots = load.slots
        view.leaving = load.leaving
        view.queued = load.queued
        # Prefer the worker's own count of this entry's tasks: `view.own_slots` includes starts
        # in transit, which are not in the worker's total yet.
        own_slots = load.yours if load.yours >= 0 else view.own_slots
        view.others_slots = max(0, load.running + load.queued - own_slots)
        view.reported_ms = now_ms


class SidePool:
    """Maintain a link to every side process that is a member."""

    def __init__(
        self,
        hello: Hello,
        *,
        clock: Clock,
        network: Network,
        rng: random.Random,
        metrics: Metrics,
        listener: SideListener,
        peer_sync: PeerSync,
    ) -> None:
        self.peers: dict[str, SidePeer] = {}
        self._hello = hello
        self._clock = clock
        self._network = network
        self._rng = rng
        self._metrics = metrics
        self._listener = listener
        self._peer_sync = peer_sync
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._closing: list[asyncio.Task[None]] = []

    def sync(self, members: Iterable[Member]) -> None:
        """Open links to new members and close those to members that left."""
        wanted = {member.incarnation: member for member in members}
        for incarnation in [known for known in self.peers if known not in wanted]:
            self._drop(incarnation)
        for incarnation, member in wanted.items():
            if incarnation not in self.peers:
                peer = SidePeer(member, self._clock.monotonic_ms())
                self.peers[incarnation] = peer
                self._tasks[incarnation] = asyncio.create_task(self._run(peer))

    async def send_heartbeats(self) -> None:
        """Send heartbeats until cancelled, so that side processes detect broken links."""
        while True:
            await self._clock.sleep_ms(self._rng.uniform(0.5, 1.0) * HEARTBEAT_MS)
            for peer in self.peers.values():
                if peer.link is not None:
                    with contextlib.suppress(LinkError):
                        peer.link.post(Heartbeat())

    def views(self) -> list[WorkerView]:
        """Return the workers that are connected and accept work."""
        return [
            peer.view
            for peer in self.peers.values()
            if peer.up and peer.view.slots and not peer.view.leaving
        ]

    def report_offsets(self) -> None:
        """Report this process's log offsets to side processes that have not received them."""
        heartbeat = self._peer_sync.heartbeat()
        for peer in self.peers.values():
            if peer.link is not None and peer.last_reported != heartbeat:
                with contextlib.suppress(LinkError):
                    peer.link.post(heartbeat)
                    peer.last_reported = heartbeat

    async def stop(self) -> None:
        """Close all links."""
        for task in self._tasks.values():
            task.cancel()
        links = [peer.link for peer in self.peers.values() if peer.link is not None]
        await asyncio.gather(*(link.close() for link in links))

    def _drop(self, incarnation: str) -> None:
        peer = self.peers.pop(incarnation)
        self._tasks.pop(incarnation).cancel()
        if peer.link is not None:
            # A side process that loses all its links registers again.
            self._closing = [task for task in self._closing if not task.done()]
            self._closing.append(asyncio.create_task(peer.link.close()))
        self._close(peer)
        self._listener.side_removed(peer)

    async def _run(self, peer: SidePeer) -> None:
        await keep_connected(
            peer.member,
            self._hello,
            lambda link: self._serve(peer, link),
            network=self._network,
            clock=self._clock,
            rng=self._rng,
        )

    async def _serve(self, peer: SidePeer, link: Link) -> None:
        """Handle messages from a side process until the link closes."""
        self._open(peer, link)
        try:
            while True:
                self._handle(peer, await receive_with_timeout(link, SILENCE_LIMIT_MS))
        except LinkError:
            self._close(peer)
            self._listener.side_disconnected(peer)

    def _handle(self, peer: SidePeer, message: Message) -> None:
        now_ms = self._clock.monotonic_ms()
        match message:
            case Result():
                self._listener.results_received(peer, message)
                peer.apply_load(message.load, now_ms)
                self._listener.load_changed(peer)
            case Refused():
                self._listener.starts_refused(peer, message)
                peer.apply_load(message.load, now_ms)
                self._listener.load_changed(peer)
            case Heartbeat():
                self._handle_heartbeat(peer, message, now_ms)
            case RecordsWanted() if peer.link is not None:
                with contextlib.suppress(LinkError):
                    peer.link.post(self._peer_sync.answer(message))
            case Reply():
                if peer.rpc is not None:
                    peer.rpc.handle_reply(message)
            case _:
                self._metrics.incr("entry.unexpected_message")

    def _handle_heartbeat(self, peer: SidePeer, heartbeat: Heartbeat, now_ms: float) -> None:
        if peer.rpc is not None:
            self._peer_sync.record_offsets(peer.rpc, heartbeat)
        if heartbeat.load is not None:
            peer.apply_load(heartbeat.load, now_ms)
            self._listener.load_changed(peer)

    def _open(self, peer: SidePeer, link: Link) -> None:
        peer.link = link
        peer.rpc = RpcClient(link)
        peer.stamp_ms = 0.0
        peer.last_reported = None
        self._listener.side_connected(peer)

    def _close(self, peer: SidePeer) -> None:
        if peer.rpc is not None:
            peer.rpc.close()
        peer.link = None
        peer.rpc = None
        peer.down_since_ms = self._clock.monotonic_ms()
