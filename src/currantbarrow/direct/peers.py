"""Exchange accepted jobs, configurations and known processes with the other entries."""

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
)
from currantbarrow.types import Clock, Link, Metrics, Network

__all__ = ["EntryPeers", "PeerListener"]

# A peer that is asked to release a job waits for its runs to stop before it answers.
STANDING_TIMEOUT_MS = 900.0
# Callers resubmit a job 1.3 s after a failure; pings announce it to the peers within a sixth to a
# third of that time. The interval grows with the number of peers, which limits an entry to about
# 50 pings a second.
PING_INTERVAL_MIN_MS = 200.0
PING_INTERVAL_MAX_MS = 400.0
PING_INTERVAL_PER_PEER_MS = 20.0
# Slightly more than three of the longest ping intervals, to tolerate a late message.
PEER_TIMEOUT_MS = 1300.0


class PeerListener(Protocol):
    """Handle requests and notifications from peers."""

    # Whether this entry ends as soon as its jobs have ended.
    draining: bool

    def configuration(self) -> tuple[int, bytes]:
        """Return version and document of the current configuration."""

    def known_processes(self) -> list[HostRow]:
        """Return the known processes, including this one."""

    def apply_configuration(self, document: bytes) -> None:
        """Apply a configuration that a peer sent."""

    def add_processes(self, rows: list[HostRow]) -> None:
        """Add the processes that a peer knows."""

    async def answer_standing(self, call: ShowStanding) -> JobStanding:
        """Answer with the standing of a job, after releasing it if the call requests it."""

    def stop_job(self, job_id: str) -> Standing:
        """Cancel a job, and return its standing before."""

    def handle_peer_ping(self, ping: EntryPing) -> None:
        """Handle the jobs that a peer has accepted, and whether it drains."""


class _PeerHandle:
    """Track the link that this entry opened to a peer."""

    __slots__ = ("last_ping_ms", "link", "rpc")

    def __init__(self, link: Link) -> None:
        self.link = link
        self.rpc = RpcClient(link)
        # The jobs accepted before this time were sent to the peer.
        self.last_ping_ms = -math.inf


class EntryPeers:
    """Maintain links to the other entries."""

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
        # The address that this entry listens on, which identifies it to the peers.
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
        """Connect to the entry at an address and keep reconnecting to it."""
        return self._connector.add

    @property
    def remove(self) -> Callable[[str], None]:
        """Close the link to the entry at an address."""
        return self._connector.remove

    async def request_release(self, address: str, job: str) -> JobStanding | None:
        """Have a peer release a job and return its answer, or None without one."""
        peer = self._peers.get(address)
        if peer is None:
            return None
        try:
            return await peer.rpc.call(
                lambda call_id: ShowStanding(call_id, job, True), JobStanding, STANDING_TIMEOUT_MS
            )
        except LinkError as error:
            logger.info(
                "peer did not release job",
                extra={"job": job, "address": address, "error": str(error)},
            )
            return None

    async def stop_job(self, job: str) -> bool:
        """Cancel a job at every peer; return whether any of them knew it."""
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
        """Ping the peers periodically, until cancelled."""
        while True:
            interval_ms = len(self._peers) * PING_INTERVAL_PER_PEER_MS
            await self._clock.sleep_ms(
                min(max(PING_INTERVAL_MIN_MS, interval_ms), PING_INTERVAL_MAX_MS)
            )
            self.ping_all()

    def ping_all(self) -> None:
        """Ping all peers at once."""
        for peer in list(self._peers.values()):
            self._ping(peer)

    def stop(self) -> None:
        """Close all links."""
        self._connector.stop()
        self._background.cancel_all()

    async def serve_incoming(self, link: Link) -> None:
        """Serve a link that a peer opened."""
        version, document = self._listener.configuration()
        link.post(ShareHosts(self._listener.known_processes()))
        if version:
            link.post(ShareConfiguration(version, document))
        while True:
            message = await link.receive()
            match message:
                case EntryPing():
                    self._listener.handle_peer_ping(message)
                    version = self._share_configuration(link, message.configuration, version)
                    link.post(PeerPing())
                case ShowStanding():
                    self._background.spawn(self._answer_standing(link, message))
                case StopJob():
                    link.post(JobStanding(message.call_id, self._listener.stop_job(message.job)))
                case ShareHosts():
                    self._listener.add_processes(message.hosts)
                case _:
                    self._metrics.incr("entry.unexpected_message")

    def _ping(self, peer: _PeerHandle) -> None:
        """Send the peer the jobs accepted since the last ping, and the configuration version."""
        version, _ = self._listener.configuration()
        taken = self._history.accepted_since(peer.last_ping_ms)
        peer.last_ping_ms = self._clock.monotonic_ms()
        try:
            peer.link.post(EntryPing(version, taken, self._address, self._listener.draining))
        except LinkError:
            # The link's reader detects the failure; a new link sends the recent jobs again.
            self._metrics.incr("entry.ping_unsent")

    def _share_configuration(self, link: Link, peer_version: int, sent_version: int) -> int:
        """Send the configuration if the peer has an older one, and return the version last sent."""
        version, document = self._listener.configuration()
        if version > max(peer_version, sent_version):
            link.post(ShareConfiguration(version, document))
            return version
        return sent_version

    async def _answer_standing(self, link: Link, call: ShowStanding) -> None:
        answer = await self._listener.answer_standing(call)
        if not link.closed:
            link.post(answer)

    async def _serve_outgoing(self, address: str, link: Link) -> None:
        peer = _PeerHandle(link)
        self._peers[address] = peer
        logger.info("peer connected", extra={"address": address, "peer": link.peer.name})
        # A peer that was suspended needs to know which of its jobs were resubmitted here meanwhile.
        self._ping(peer)
        try:
            while True:
                await self._handle_next(peer)
        except LinkError as error:
            logger.info("peer disconnected", extra={"address": address, "error": str(error)})
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
            raise LinkTimeout(
                f"no message from {peer.link.peer.name} for {PEER_TIMEOUT_MS:.0f} ms"
            ) from error
        match message:
            case ShareConfiguration():
                self._listener.apply_configuration(message.document)
            case ShareHosts():
                self._listener.add_processes(message.hosts)
            case PeerPing():
                pass
            case Reply():
                peer.rpc.handle_reply(message)
            case _:
                self._metrics.incr("entry.unexpected_message")
