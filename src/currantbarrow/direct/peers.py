"""Tell the other entries which jobs were taken here, and hear what they know."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable
from typing import Protocol

from currantbarrow.background import BackgroundTasks
from currantbarrow.direct.history import JobHistory
from currantbarrow.direct.links import LinkConnector
from currantbarrow.exceptions import LinkError, LinkTimeout
from currantbarrow.observe import logger
from currantbarrow.protocol import Hello, Reply, RpcClient
from currantbarrow.protocol.direct import (
    EntryPing,
    HostRow,
    JobStanding,
    PeerPing,
    ShareConfiguration,
    ShareHosts,
    ShowStanding,
    Standing,
    StopJob,
    TakenRow,
)
from currantbarrow.types import Clock, Link, Metrics, Network

__all__ = ["EntryPeers", "PeerListener"]

# A peer that was asked to let go of a job has to wait for its runs to stop.
STANDING_TIMEOUT_MS = 900.0
# Callers come back 1.3 s after a failure; peers know their jobs in a sixth to a third of that. The
# more peers there are to tell, the longer, so that an entry sends some fifty pings a second.
PING_INTERVAL_MIN_MS = 200.0
PING_INTERVAL_MAX_MS = 400.0
PING_INTERVAL_PER_PEER_MS = 20.0
# Three of the rarest pings and a little, so that one late message harms nothing.
PEER_TIMEOUT_MS = 1300.0


class PeerListener(Protocol):
    """Answer what peers ask, and take in what they tell."""

    def configuration(self) -> tuple[int, bytes]:
        """Return the version and the document of the newest configuration."""

    def hosts(self) -> list[HostRow]:
        """Return the processes that are known."""

    def apply_configuration(self, document: bytes) -> None:
        """Take in a configuration that a peer has."""

    def add_hosts(self, rows: list[HostRow]) -> None:
        """Take in the processes that a peer knows."""

    async def standing(self, job: str, release: bool) -> Standing:
        """Return a job's standing; with release, let go of it first if it is open."""

    def stop_job(self, job: str) -> Standing:
        """Cancel a job, and return what its standing was."""

    def handle_peer_jobs(self, address: str, rows: list[TakenRow]) -> None:
        """Take in which jobs a peer has taken."""


class _PeerHandle:
    """Hold the link that this entry opened to a peer."""

    __slots__ = ("last_ping_ms", "link", "rpc")

    def __init__(self, link: Link) -> None:
        self.link = link
        self.rpc = RpcClient(link)
        # Jobs that were taken before this time, the peer was told of.
        self.last_ping_ms = -math.inf


class EntryPeers:
    """Keep links to the other entries."""

    def __init__(
        self,
        hello: Hello,
        address: str,
        history: JobHistory,
        listener: PeerListener,
        *,
        clock: Clock,
        network: Network,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        # Where this entry takes links, by which the peers know it.
        self._address = address
        self._history = history
        self._listener = listener
        self._clock = clock
        self._metrics = metrics
        self._connector = LinkConnector(
            hello, self._serve_outgoing, network=network, clock=clock, rng=rng, metrics=metrics
        )
        self._peers: dict[str, _PeerHandle] = {}
        self._background = BackgroundTasks(metrics)

    @property
    def add(self) -> Callable[[str], None]:
        """Keep a link to the entry at an address."""
        return self._connector.add

    @property
    def remove(self) -> Callable[[str], None]:
        """Let go of the entry at an address."""
        return self._connector.remove

    async def request_release(self, address: str, job: str) -> Standing | None:
        """Return a job's standing at a peer that lets go of it, or None when it can't be told."""
        peer = self._peers.get(address)
        if peer is None:
            return None
        try:
            reply = await peer.rpc.call(
                lambda call_id: ShowStanding(call_id, job, True), JobStanding, STANDING_TIMEOUT_MS
            )
        except LinkError as error:
            logger.info(
                "peer did not tell a job's standing",
                extra={"job": job, "address": address, "error": str(error)},
            )
            return None
        return reply.standing

    async def stop_job(self, job: str) -> bool:
        """Have a job cancelled at every peer; tell whether one of them had it."""
        replies = await asyncio.gather(
            *(
                peer.rpc.call(
                    lambda call_id: StopJob(call_id, job), JobStanding, STANDING_TIMEOUT_MS
                )
                for peer in self._peers.values()
            ),
            return_exceptions=True,
        )
        known = [reply for reply in replies if isinstance(reply, JobStanding)]
        return any(reply.standing is not Standing.UNKNOWN for reply in known)

    async def run(self) -> None:
        """Tell the peers what is new, until cancelled."""
        while True:
            pause_ms = len(self._peers) * PING_INTERVAL_PER_PEER_MS
            await self._clock.sleep_ms(
                min(max(PING_INTERVAL_MIN_MS, pause_ms), PING_INTERVAL_MAX_MS)
            )
            for peer in list(self._peers.values()):
                self._ping(peer)

    def stop(self) -> None:
        """Close all links."""
        self._connector.stop()
        self._background.cancel_all()

    async def serve_incoming(self, link: Link) -> None:
        """Answer on a link that a peer opened."""
        version, document = self._listener.configuration()
        link.post(ShareHosts(self._listener.hosts()))
        if version:
            link.post(ShareConfiguration(version, document))
        while True:
            message = await link.receive()
            match message:
                case EntryPing():
                    self._listener.handle_peer_jobs(message.address, message.taken)
                    version = self._share_configuration(link, message.configuration, version)
                    link.post(PeerPing())
                case ShowStanding():
                    self._background.spawn(self._answer_standing(link, message))
                case StopJob():
                    link.post(JobStanding(message.call_id, self._listener.stop_job(message.job)))
                case ShareHosts():
                    self._listener.add_hosts(message.hosts)
                case _:
                    self._metrics.incr("entry.unexpected_message")

    def _ping(self, peer: _PeerHandle) -> None:
        """Name the jobs that were taken here since the peer was last told."""
        version, _ = self._listener.configuration()
        taken = self._history.accepted_since(peer.last_ping_ms)
        peer.last_ping_ms = self._clock.monotonic_ms()
        try:
            peer.link.post(EntryPing(version, taken, self._address))
        except LinkError:
            # The link's reader notices its end; a new link tells recent jobs again.
            self._metrics.incr("entry.ping_unsent")

    def _share_configuration(self, link: Link, theirs: int, shared: int) -> int:
        """Hand over a configuration that the peer lacks, once for each version."""
        version, document = self._listener.configuration()
        if version > max(theirs, shared):
            link.post(ShareConfiguration(version, document))
            return version
        return shared

    async def _answer_standing(self, link: Link, call: ShowStanding) -> None:
        standing = await self._listener.standing(call.job, call.release)
        if not link.closed:
            link.post(JobStanding(call.call_id, standing))

    async def _serve_outgoing(self, address: str, link: Link) -> None:
        peer = _PeerHandle(link)
        self._peers[address] = peer
        logger.info("peer linked", extra={"address": address, "peer": link.peer.name})
        # A peer that stood still goes on once it knows what was sent here meanwhile.
        self._ping(peer)
        try:
            while True:
                await self._handle_next(peer)
        except LinkError as error:
            logger.info("peer lost", extra={"address": address, "error": str(error)})
            raise
        finally:
            peer.rpc.close()
            if self._peers.get(address) is peer:
                del self._peers[address]

    async def _handle_next(self, peer: _PeerHandle) -> None:
        try:
            async with asyncio.timeout(PEER_TIMEOUT_MS / 1000):
                message = await peer.link.receive()
        except TimeoutError as error:
            raise LinkTimeout(f"nothing came from {peer.link.peer.name}") from error
        match message:
            case ShareConfiguration():
                self._listener.apply_configuration(message.document)
            case ShareHosts():
                self._listener.add_hosts(message.hosts)
            case PeerPing():
                pass
            case Reply():
                peer.rpc.handle_reply(message)
            case _:
                self._metrics.incr("entry.unexpected_message")
