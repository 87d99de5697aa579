"""Exchange accepted jobs, configurations and known processes with the other entries."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Collection
from typing import Protocol

from currantbarrow.background import BackgroundTasks
from currantbarrow.direct.evacuation import EvacuationState, KnownEvacuations
from currantbarrow.direct.evacuation_links import PeerEvacuations
from currantbarrow.direct.history import Acceptance, JobHistory
from currantbarrow.direct.links import LinkConnector
from currantbarrow.exceptions import LinkError
from currantbarrow.observe import logger
from currantbarrow.open_requests import OpenRequests
from currantbarrow.protocol import Hello, Reply, RpcClient
from currantbarrow.protocol.direct import (
    DemandRow,
    EntryPing,
    HostRow,
    JobStanding,
    PeerPing,
    ReportedJobs,
    ReportJobs,
    ShareConfiguration,
    ShareEvacuations,
    ShareHosts,
    ShowStanding,
    Standing,
    StopJob,
    TakenRow,
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
# Interval of pings to a peer while there is nothing to report.
KEEPALIVE_INTERVAL_MS = 3000.0
# A peer is asked for an answer this long after its last one, and its link is closed if none arrives
# in time. Together this is as long as callers wait before they resubmit a job.
ANSWER_INTERVAL_MS = 500.0
ANSWER_TIMEOUT_MS = 800.0
# Interval of pings to a peer with nothing else to report, while work waits at any peer. The peers
# take this entry to be as busy as they are if they have not heard from it for a second.
DEMAND_INTERVAL_MS = 500.0


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

    def apply_evacuations(self, state: EvacuationState, source: str) -> None:
        """Apply the evacuated data centres that a peer knows."""

    def add_processes(self, rows: list[HostRow]) -> None:
        """Add the processes that a peer knows."""

    def demand(self) -> tuple[list[DemandRow], list[DemandRow]]:
        """Return the work that waits at this entry, and what arrives per second."""

    def has_waiting_peers(self) -> bool:
        """Return whether work waits at a peer."""

    async def answer_standing(self, call: ShowStanding) -> JobStanding:
        """Answer with the standing of a job, after releasing it if the call requests it."""

    def stop_job(self, job_id: str, address: str) -> Standing:
        """Cancel a job, and return its standing before."""

    def handle_peer_ping(self, ping: EntryPing, incarnation: str) -> None:
        """Handle the jobs that a peer has accepted, and whether it drains."""

    def answer_reported_jobs(self, call: ReportJobs, incarnation: str) -> ReportedJobs:
        """Record the jobs of a peer that was out of contact, and return their acceptances."""


class _PeerHandle:
    """Track the link that this entry opened to a peer."""

    __slots__ = (
        "answered_ms",
        "asked_ms",
        "last_ping_ms",
        "link",
        "opened_ms",
        "reported",
        "reported_demand",
        "rpc",
    )

    def __init__(self, link: Link, opened_ms: float) -> None:
        self.link = link
        self.opened_ms = opened_ms
        self.rpc = RpcClient(link)
        # The jobs accepted before this time were sent to the peer.
        self.last_ping_ms = -math.inf
        # The configuration version and the draining flag in the last ping.
        self.reported = (0, False)
        # Whether the last ping reported any work.
        self.reported_demand = False
        self.answered_ms = -math.inf
        # When the peer was asked for an answer that has not arrived.
        self.asked_ms = math.inf

    def is_silent(self, now_ms: float) -> bool:
        """Return whether the peer has not answered in time."""
        return now_ms - self.asked_ms >= ANSWER_TIMEOUT_MS

    def record_ping(self, reported: tuple[int, bool], now_ms: float) -> bool:
        """Record that a ping is sent, and return whether it asks for an answer."""
        self.last_ping_ms = now_ms
        self.reported = reported
        asks = math.isinf(self.asked_ms) and now_ms - self.answered_ms >= ANSWER_INTERVAL_MS
        if asks:
            self.asked_ms = now_ms
        return asks

    def record_answer(self, now_ms: float) -> None:
        """Record that the peer has answered."""
        self.answered_ms = now_ms
        self.asked_ms = math.inf


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
        evacuations: KnownEvacuations,
        requests: OpenRequests,
    ) -> None:
        # The address that this entry listens on, which identifies it to the peers.
        self._address = address
        self._history = history
        self._listener = listener
        self._requests = requests
        self._evacuations = PeerEvacuations(evacuations, listener.apply_evacuations, metrics)
        self._clock = clock
        self._metrics = metrics
        self._connector = LinkConnector(
            hello, self._serve_outgoing, network=network, clock=clock, rng=rng, metrics=metrics
        )
        self._peers: dict[str, _PeerHandle] = {}
        self._background = BackgroundTasks(metrics)

    def add(self, address: str) -> None:
        """Connect to the entry at an address and keep reconnecting to it."""
        self._connector.add(address)

    def remove(self, address: str) -> None:
        """Close the link to the entry at an address."""
        self._connector.remove(address)

    async def request_release(self, acceptance: Acceptance, job: str) -> JobStanding | None:
        """Have the peer that accepted a job release it; return its answer, or None without one."""
        address = acceptance.address
        peer = self._peers.get(address)
        if peer is None or peer.link.peer.incarnation != acceptance.incarnation:
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

    def is_linked(self, address: str) -> bool:
        """Return whether this entry has an open link to a peer."""
        return address in self._peers

    def successor_since_ms(self, acceptance: Acceptance) -> float:
        """Return since when a later process is linked at the address, infinity if none is."""
        peer = self._peers.get(acceptance.address)
        if peer is None or peer.link.peer.incarnation == acceptance.incarnation:
            return math.inf
        return peer.opened_ms

    async def report_jobs(self, address: str, jobs: list[TakenRow]) -> ReportedJobs | None:
        """Report jobs to a peer, and return what it knows of them; None without an answer."""
        peer = self._peers.get(address)
        if peer is None:
            return None
        try:
            return await peer.rpc.call(
                lambda call_id: ReportJobs(call_id, jobs, self._address),
                ReportedJobs,
                STANDING_TIMEOUT_MS,
            )
        except LinkError as error:
            logger.info(
                "peer did not answer after isolation",
                extra={"address": address, "jobs": len(jobs), "error": str(error)},
            )
            return None

    async def stop_job(
        self, job: str, addresses: Collection[str] | None = None
    ) -> dict[str, Standing]:
        """Cancel a job at the linked peers, all or those given; return its standings before."""
        peers = {
            address: peer
            for address, peer in self._peers.items()
            if addresses is None or address in addresses
        }
        standings = await asyncio.gather(
            *(self._stop_job(address, peer, job) for address, peer in peers.items())
        )
        return {
            address: standing
            for address, standing in zip(peers, standings, strict=True)
            if standing is not None
        }

    async def _stop_job(self, address: str, peer: _PeerHandle, job: str) -> Standing | None:
        try:
            answer = await peer.rpc.call(
                lambda call_id: StopJob(call_id, job, self._address),
                JobStanding,
                STANDING_TIMEOUT_MS,
            )
        except LinkError as error:
            logger.info(
                "peer did not confirm cancelling",
                extra={"job": job, "address": address, "error": str(error)},
            )
            return None
        return answer.standing

    async def run(self) -> None:
        """Ping the peers periodically, until cancelled."""
        while True:
            interval_ms = len(self._peers) * PING_INTERVAL_PER_PEER_MS
            await self._clock.sleep_ms(
                min(max(PING_INTERVAL_MIN_MS, interval_ms), PING_INTERVAL_MAX_MS)
            )
            self.ping_all()

    def ping_all(self) -> None:
        """Ping the peers that have to learn of something or were not pinged for long."""
        now_ms = self._clock.monotonic_ms()
        for peer in list(self._peers.values()):
            if peer.is_silent(now_ms):
                logger.info("peer is silent", extra={"peer": peer.link.peer.name})
                peer.link.abort()
            else:
                self._ping(peer)

    def share_evacuations(self) -> None:
        """Send the evacuated data centres to every peer."""
        self._evacuations.share()

    def stop(self) -> None:
        """Close all links."""
        self._connector.stop()
        self._background.cancel_all()

    async def serve_incoming(self, link: Link) -> None:
        """Serve a link that a peer opened."""
        version, document = self._listener.configuration()
        self._evacuations.add(link)
        link.post(ShareHosts(self._listener.known_processes()))
        if version:
            link.post(ShareConfiguration(version, document))
        while True:
            message = await link.receive()
            match message:
                case EntryPing():
                    self._listener.handle_peer_ping(message, link.peer.incarnation)
                    version = self._share_configuration(link, message.configuration, version)
                    if message.answer:
                        link.post(PeerPing())
                    self._evacuations.update(link, message.operator_position)
                    self._request_newer(message)
                case ShareEvacuations():
                    self._evacuations.receive(link, message)
                case ShowStanding():
                    self._background.spawn(self._answer_standing(link, message))
                case StopJob():
                    standing = self._listener.stop_job(message.job, message.address)
                    link.post(JobStanding(message.call_id, standing))
                case ReportJobs():
                    # The peer may not know processes that have started meanwhile.
                    link.post(ShareHosts(self._listener.known_processes()))
                    link.post(self._listener.answer_reported_jobs(message, link.peer.incarnation))
                case ShareHosts():
                    self._listener.add_processes(message.hosts)
                case _:
                    self._metrics.incr("entry.unexpected_message")

    def _ping(self, peer: _PeerHandle, *, always: bool = False) -> None:
        """Send the peer what has changed since the last ping, or a keep-alive if it is due."""
        now_ms = self._clock.monotonic_ms()
        version, _ = self._listener.configuration()
        reported = (version, self._listener.draining)
        taken = self._history.accepted_since(peer.last_ping_ms)
        cancelled = self._history.cancelled_since(peer.last_ping_ms)
        peers_wait = self._listener.has_waiting_peers()
        interval_ms = DEMAND_INTERVAL_MS if peers_wait else KEEPALIVE_INTERVAL_MS
        is_due = now_ms - peer.last_ping_ms >= interval_ms
        demand, offered = self._listener.demand()
        # The peer has to learn that no work is left, too.
        has_demand = bool(demand or offered) or peer.reported_demand
        has_news = bool(taken or cancelled) or has_demand or reported != peer.reported
        if not (has_news or is_due or always):
            return
        peer.reported_demand = bool(demand or offered)
        answer = peer.record_ping(reported, now_ms)
        try:
            peer.link.post(
                EntryPing(
                    version,
                    taken,
                    self._address,
                    reported[1],
                    answer,
                    self._evacuations.position,
                    demand=demand,
                    offered=offered,
                    cancelled=cancelled,
                )
            )
        except LinkError:
            # The link's reader detects the failure; a new link sends the recent jobs again.
            self._metrics.incr("entry.ping_unsent")

    def _request_newer(self, ping: EntryPing) -> None:
        """Ping a peer that has a newer configuration, or an evacuation state while none is known.

        It answers with what this entry lacks.
        """
        version, _ = self._listener.configuration()
        peer = self._peers.get(ping.address)
        is_newer = ping.configuration > version or (
            ping.operator_position > 0 and self._evacuations.is_missing()
        )
        if is_newer and peer is not None:
            self._ping(peer, always=True)

    def _share_configuration(self, link: Link, peer_version: int, sent_version: int) -> int:
        """Send the configuration if the peer has an older one, and return the version last sent."""
        version, document = self._listener.configuration()
        if version > max(peer_version, sent_version):
            link.post(ShareConfiguration(version, document))
            return version
        return sent_version

    async def _answer_standing(self, link: Link, call: ShowStanding) -> None:
        answer = await self._requests.answer(self._listener.answer_standing(call), lambda: None)
        if answer is not None and not link.closed:
            link.post(answer)

    async def _serve_outgoing(self, address: str, link: Link) -> None:
        peer = _PeerHandle(link, self._clock.monotonic_ms())
        self._peers[address] = peer
        self._evacuations.add(link)
        logger.info("peer connected", extra={"address": address, "peer": link.peer.name})
        # A peer that was suspended needs to know which of its jobs were resubmitted here meanwhile.
        self._ping(peer, always=True)
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
            self._history.take_over_cancellings(address)

    async def _handle_next(self, peer: _PeerHandle) -> None:
        message = await peer.link.receive()
        match message:
            case ShareEvacuations():
                self._evacuations.receive(peer.link, message)
            case ShareConfiguration():
                self._listener.apply_configuration(message.document)
            case ShareHosts():
                self._listener.add_processes(message.hosts)
            case PeerPing():
                peer.record_answer(self._clock.monotonic_ms())
            case Reply():
                peer.rpc.handle_reply(message)
            case _:
                self._metrics.incr("entry.unexpected_message")
