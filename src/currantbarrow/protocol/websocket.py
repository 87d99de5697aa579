"""Link processes over websockets."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import hmac
from typing import Any

from websockets.asyncio.client import connect
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed, InvalidHandshake, InvalidURI

from currantbarrow.exceptions import (
    BadFrame,
    LinkClosed,
    LinkError,
    LinkFull,
    LinkTimeout,
    ProtocolMismatch,
)
from currantbarrow.listening import bind_address
from currantbarrow.observe import HybridClock
from currantbarrow.protocol.codec import CONCRETE_MESSAGES, decode_frame, encode_frame
from currantbarrow.protocol.messages import OLDEST_VERSION, PROTOCOL_VERSION, Hello, Message
from currantbarrow.types import Link, LinkHandler, Metrics, Network

__all__ = ["create_network"]

MAX_FRAME_BYTES = 8 * 1024 * 1024
MAX_BATCH_MESSAGES = 256
MAX_QUEUED_MESSAGES = 20_000
HANDSHAKE_TIMEOUT_S = 2.0
CLOSE_TIMEOUT_S = 1.0
# A process that stops has to exit within its grace period, whether or not its peers answer.
STOP_TIMEOUT_S = 0.2
SENT_COUNTERS = {kind: f"link.sent.{kind.__name__}" for kind in CONCRETE_MESSAGES}


class WebsocketLink:
    """Exchange messages with one peer over a websocket."""

    __slots__ = (
        "_clock",
        "_closed",
        "_inbound",
        "_metrics",
        "_outbound",
        "_socket",
        "_wake",
        "_writer",
        "peer",
    )

    def __init__(self, socket: Any, peer: Hello, clock: HybridClock, metrics: Metrics) -> None:
        self.peer = peer
        self._socket = socket
        self._clock = clock
        self._metrics = metrics
        self._closed = False
        self._inbound: collections.deque[Message] = collections.deque()
        self._outbound: collections.deque[Message] = collections.deque()
        self._wake = asyncio.Event()
        self._writer = asyncio.create_task(self._write())

    @property
    def closed(self) -> bool:
        """Return whether either end has closed the link."""
        return self._closed

    def post(self, message: Message) -> None:
        """Queue a message for sending; raise LinkClosed or LinkFull."""
        if self._closed:
            raise LinkClosed(f"the link to {self.peer.name} is closed")
        if len(self._outbound) >= MAX_QUEUED_MESSAGES:
            self._metrics.incr("link.full")
            raise LinkFull(
                f"outbound queue to {self.peer.name} is full: {MAX_QUEUED_MESSAGES} messages"
            )
        self._outbound.append(message)
        self._wake.set()

    async def receive(self) -> Message:
        """Return the next message; raise LinkClosed once the link is closed."""
        while not self._inbound:
            self._inbound.extend(await self._read_frame())
        return self._inbound.popleft()

    async def close(self) -> None:
        """Send the queued messages, then close the link."""
        if self._closed:
            return
        self._closed = True
        self._wake.set()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._writer, CLOSE_TIMEOUT_S)
        with contextlib.suppress(TimeoutError, ConnectionClosed):
            await asyncio.wait_for(self._socket.close(), CLOSE_TIMEOUT_S)

    def abort(self) -> None:
        """Close the link immediately and discard queued messages."""
        # Queued messages are discarded because those delayed by a network partition would still be
        # delivered after it, as if they had just been sent.
        self._mark_closed()
        self._socket.transport.abort()

    async def _read_frame(self) -> list[Message]:
        try:
            data = await self._socket.recv(decode=False)
            stamp, batch = decode_frame(data)
        except ConnectionClosed as error:
            self._mark_closed()
            raise LinkClosed(f"the link to {self.peer.name} closed") from error
        except BadFrame:
            # A peer that has sent an undecodable frame is likely to send more, so close the link.
            self._metrics.incr("link.bad_frame")
            await self.close()
            raise LinkClosed(f"bad frame from {self.peer.name}") from None
        self._clock.merge(stamp)
        self._metrics.incr("link.messages_received", len(batch))
        return batch

    async def _write(self) -> None:
        while self._outbound or not self._closed:
            await self._wake.wait()
            self._wake.clear()
            while self._outbound:
                count = min(len(self._outbound), MAX_BATCH_MESSAGES)
                batch = [self._outbound.popleft() for _ in range(count)]
                if not await self._send(batch):
                    return

    async def _send(self, batch: list[Message]) -> bool:
        """Send a batch of messages; return False if the link has closed."""
        frame = encode_frame(self._clock.tick(), batch)
        if len(frame) > MAX_FRAME_BYTES:
            return await self._send_split(batch)
        try:
            await self._socket.send(frame)
        except ConnectionClosed:
            self._mark_closed()
            return False
        for message in batch:
            self._metrics.incr(SENT_COUNTERS[type(message)])
        self._metrics.incr("link.frames_sent")
        self._metrics.incr("link.messages_sent", len(batch))
        self._metrics.incr("link.bytes_sent", len(frame))
        return True

    async def _send_split(self, batch: list[Message]) -> bool:
        if len(batch) == 1:
            # The peer would close the link on an oversized frame, again after every reconnect.
            self._metrics.incr("link.oversize_dropped")
            return True
        middle = len(batch) // 2
        return await self._send(batch[:middle]) and await self._send(batch[middle:])

    def _mark_closed(self) -> None:
        """Mark the link as closed and discard queued messages."""
        self._closed = True
        self._outbound.clear()
        self._wake.set()


class WebsocketNetwork:
    """Open and accept websocket links, and verify the peer's protocol version and token."""

    __slots__ = ("_clock", "_links", "_metrics", "_server", "_token")

    def __init__(self, token: str, clock: HybridClock, metrics: Metrics) -> None:
        self._token = token
        self._clock = clock
        self._metrics = metrics
        self._server: Server | None = None
        self._links: set[WebsocketLink] = set()

    async def connect(self, address: str, hello: Hello) -> Link:
        """Open a link to an address; raise LinkError."""
        try:
            socket = await connect(
                f"ws://{address}",
                open_timeout=HANDSHAKE_TIMEOUT_S,
                ping_interval=None,
                compression=None,
                max_size=MAX_FRAME_BYTES,
                proxy=None,
            )
        except TimeoutError as error:
            raise LinkTimeout(
                f"{address} did not accept a link within {HANDSHAKE_TIMEOUT_S:g} s"
            ) from error
        except (
            OSError,
            InvalidHandshake,
            InvalidURI,
            ConnectionClosed,
            # Addresses come from records of other writers: a port or a host name may be malformed.
            ValueError,
            OverflowError,
        ) as error:
            raise LinkClosed(f"cannot reach {address}: {error}") from error
        try:
            await socket.send(encode_frame(self._clock.tick(), [hello]))
            peer = await self._read_hello(socket)
        except (LinkError, ConnectionClosed) as error:
            # A closing handshake with a peer that is silent would last for 10 s more.
            socket.transport.abort()
            raise LinkClosed(f"handshake with {address} failed: {error}") from error
        return self._register_link(socket, peer)

    async def listen(self, address: str, hello: Hello, handler: LinkHandler) -> str:
        """Accept links and run a handler for each; return the bound address."""

        async def accept(socket: ServerConnection) -> None:
            try:
                peer = await self._read_hello(socket)
                await socket.send(encode_frame(self._clock.tick(), [hello]))
            except (LinkError, ConnectionClosed):
                self._metrics.incr("link.handshake_refused")
                return
            link = self._register_link(socket, peer)
            try:
                await handler(link)
            finally:
                self._links.discard(link)
                await link.close()

        self._server = await serve(
            accept,
            sock=bind_address(address, "link_address"),
            ping_interval=None,
            compression=None,
            max_size=MAX_FRAME_BYTES,
        )
        bound = next(iter(self._server.sockets)).getsockname()
        return f"{bound[0]}:{bound[1]}"

    async def stop(self) -> None:
        """Stop accepting links and close all open ones; abort those that do not close in time."""
        links = list(self._links)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await asyncio.gather(*(link.close() for link in links))
        except TimeoutError:
            self._metrics.incr("link.close_timed_out")
        finally:
            # The library otherwise waits 10 s for the closing handshake with a suspended peer.
            for link in links:
                link.abort()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def _register_link(self, socket: Any, peer: Hello) -> WebsocketLink:
        link = WebsocketLink(socket, peer, self._clock, self._metrics)
        self._links.add(link)
        return link

    async def _read_hello(self, socket: Any) -> Hello:
        try:
            data = await asyncio.wait_for(socket.recv(decode=False), HANDSHAKE_TIMEOUT_S)
        except TimeoutError as error:
            raise LinkTimeout(f"no hello within {HANDSHAKE_TIMEOUT_S:g} s") from error
        stamp, batch = decode_frame(data)
        if len(batch) != 1 or not isinstance(batch[0], Hello):
            raise ProtocolMismatch("the first frame is not a hello")
        return self._check_hello(stamp, batch[0])

    def _check_hello(self, stamp: int, peer: Hello) -> Hello:
        # Constant-time comparison, so that response times do not reveal the token.
        if not hmac.compare_digest(peer.token.encode(), self._token.encode()):
            raise ProtocolMismatch("wrong token")
        if peer.oldest_version > PROTOCOL_VERSION or peer.version < OLDEST_VERSION:
            raise ProtocolMismatch(
                f"peer supports protocol versions {peer.oldest_version}-{peer.version}, "
                f"this process {OLDEST_VERSION}-{PROTOCOL_VERSION}"
            )
        self._clock.merge(stamp)
        return peer


def create_network(token: str, clock: HybridClock, metrics: Metrics) -> Network:
    """Create a network of websocket links."""
    return WebsocketNetwork(token, clock, metrics)
