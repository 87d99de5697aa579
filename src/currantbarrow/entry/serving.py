"""Serve the links that other processes open to this entry."""

from __future__ import annotations

import contextlib
from collections.abc import Coroutine
from typing import Any

from currantbarrow.background import BackgroundTasks
from currantbarrow.classes import ClassState
from currantbarrow.entry.dispatch import Dispatcher
from currantbarrow.entry.handover import apply_handover
from currantbarrow.entry.ownership import Ownership
from currantbarrow.entry.router import Router
from currantbarrow.entry.sides import SidePool
from currantbarrow.exceptions import CurrantbarrowError, JobUnknown, LinkError
from currantbarrow.logservice import PeerSync
from currantbarrow.open_requests import OpenRequests
from currantbarrow.protocol import (
    CancelJob,
    Failure,
    Forward,
    Forwarded,
    Handover,
    HandoverDone,
    Heartbeat,
    JobShown,
    LastSeen,
    Message,
    RecordsWanted,
    Reply,
    Seen,
    ShowJob,
)
from currantbarrow.protocol.heartbeats import HeartbeatSchedule
from currantbarrow.types import Clock, Link, Metrics

__all__ = ["LinkServer"]


class LinkServer:
    """Answer the calls of other processes and send heartbeats on their idle links."""

    __slots__ = (
        "_background",
        "_classes",
        "_clock",
        "_dispatcher",
        "_heartbeats",
        "_links",
        "_metrics",
        "_ownership",
        "_peer_sync",
        "_requests",
        "_router",
        "_sides",
    )

    def __init__(
        self,
        heartbeat_ms: float,
        *,
        clock: Clock,
        metrics: Metrics,
        background: BackgroundTasks,
        router: Router,
        ownership: Ownership,
        dispatcher: Dispatcher,
        sides: SidePool,
        classes: ClassState,
        peer_sync: PeerSync,
        requests: OpenRequests,
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._background = background
        self._router = router
        self._ownership = ownership
        self._dispatcher = dispatcher
        self._sides = sides
        self._classes = classes
        self._peer_sync = peer_sync
        self._requests = requests
        self._links: dict[str, Link] = {}
        self._heartbeats = HeartbeatSchedule(heartbeat_ms)

    async def serve(self, link: Link) -> None:
        """Handle the messages of one link until it closes."""
        peer = link.peer.incarnation
        self._links[peer] = link
        try:
            link.post(self._peer_sync.heartbeat())
            # After the peer has opened a new link, the rest of the old link's messages is
            # ignored: the peer has already treated those calls as failed.
            while self._links.get(peer) is link:
                self._handle(link, await link.receive())
        except LinkError:
            if self._links.get(peer) is link:
                del self._links[peer]
                self._heartbeats.remove_peer(peer)

    async def send_heartbeats(self) -> None:
        """Send heartbeats until cancelled, on idle links and where the log offsets are outdated."""
        while True:
            await self._clock.sleep_ms(self._heartbeats.check_interval_ms)
            now_ms = self._clock.monotonic_ms()
            offsets = self._peer_sync.offsets()
            for peer, link in list(self._links.items()):
                if self._heartbeats.is_due(peer, now_ms, offsets):
                    self._heartbeats.record_heartbeat(peer, now_ms, offsets)
                    self._post(link, self._peer_sync.heartbeat())

    def _handle(self, link: Link, message: Message) -> None:
        match message:
            case Forward():
                self._spawn(self._answer_forward(link, message))
            case CancelJob():
                self._spawn(self._answer_cancel(link, message))
            case ShowJob():
                self._spawn(self._answer_show(link, message))
            case Handover():
                self._post(link, self._apply_handover(link, message))
            case LastSeen():
                self._post(link, self._answer_last_seen(message))
            case RecordsWanted():
                self._post(link, self._peer_sync.answer(message))
            case Heartbeat():
                pass
            case _:
                self._metrics.incr("entry.unexpected_message")

    def _spawn(self, answering: Coroutine[Any, Any, None]) -> None:
        # Without an answer, the peer learns from the end of the link that there is none.
        self._background.spawn(self._requests.answer(answering, lambda: None))

    async def _answer_forward(self, link: Link, call: Forward) -> None:
        reply: Reply
        try:
            answer = await self._router.submit(call.request, call.hops, call.submission)
            reply = Forwarded(call.call_id, answer)
        except CurrantbarrowError as error:
            reply = Failure(call.call_id, error.code, str(error))
        self._heartbeats.record_sent(link.peer.incarnation, self._clock.monotonic_ms())
        self._post(link, reply)

    async def _answer_cancel(self, link: Link, call: CancelJob) -> None:
        reply: Reply
        try:
            answer = await self._router.cancel(call.customer, call.key, call.created_at_ms)
            reply = JobShown(call.call_id, answer is not None, answer)
        except CurrantbarrowError as error:
            reply = Failure(call.call_id, error.code, str(error))
        self._post(link, reply)

    async def _answer_show(self, link: Link, call: ShowJob) -> None:
        reply: Reply
        try:
            answer = await self._router.show(call.customer, call.key, call.created_at_ms)
            reply = JobShown(call.call_id, True, answer)
        except JobUnknown:
            reply = JobShown(call.call_id, False)
        except CurrantbarrowError as error:
            reply = Failure(call.call_id, error.code, str(error))
        self._post(link, reply)

    def _answer_last_seen(self, call: LastSeen) -> Seen:
        peer = self._sides.peers.get(call.incarnation)
        return Seen(call.call_id, peer is not None and peer.up)

    def _apply_handover(self, link: Link, call: Handover) -> HandoverDone:
        former_owner = link.peer.incarnation
        return apply_handover(
            call,
            former_owner,
            self._ownership,
            self._dispatcher,
            self._clock,
            self._classes.targets_ms(),
        )

    @staticmethod
    def _post(link: Link, message: Message) -> None:
        with contextlib.suppress(LinkError):
            link.post(message)
