"""Stand between a connection and the library's protocol, and measure what the client takes."""

from __future__ import annotations

import asyncio
import enum
import select
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, cast

from currantbarrow.intake.policy import Refusal, has_overhead
from currantbarrow.observe import logger

if TYPE_CHECKING:
    from currantbarrow.intake.intake import Intake

__all__ = ["GuardedConnection", "GuardedTransport", "connection_of", "is_peer_gone"]

# Ordinary requests are smaller, and decoded at once.
SMALL_READ_BYTES = 8 * 1024
# Small reads of a connection that has taken more processor time wait for their turn as well.
COSTLY_CONNECTION_S = 0.005
GONE_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL


def is_peer_gone(transport: asyncio.BaseTransport) -> bool:
    """Return whether the peer has closed or reset the connection.

    The system knows before the event loop has read the end of the connection, and also while
    nothing is read.
    """
    if transport.is_closing():
        return True
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    return any(events & GONE_EVENTS for _, events in poll.poll(0))


class _Pause(enum.Flag):
    """Define who has paused reading."""

    NONE = 0
    PROTOCOL = enum.auto()
    PACER = enum.auto()


class GuardedTransport:
    """Pass calls of the library's protocol on to the transport.

    Reading goes on only once neither the protocol nor the connection pauses it.
    """

    __slots__ = ("_pause", "_transport", "connection")

    def __init__(self, transport: asyncio.Transport, connection: GuardedConnection) -> None:
        self._transport = transport
        self._pause = _Pause.NONE
        self.connection = connection

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    @property
    def is_paused(self) -> bool:
        """Return whether reading is paused."""
        return bool(self._pause)

    @property
    def is_paused_by_protocol(self) -> bool:
        """Return whether the protocol pauses reading."""
        return _Pause.PROTOCOL in self._pause

    def pause_reading(self) -> None:
        """Pause reading for the protocol."""
        self.pause(_Pause.PROTOCOL)

    def resume_reading(self) -> None:
        """End the protocol's pause."""
        self.resume(_Pause.PROTOCOL)

    def pause(self, reason: _Pause) -> None:
        """Pause reading until the reason has ended."""
        if not self._pause and not self._transport.is_closing():
            self._transport.pause_reading()
        self._pause |= reason

    def resume(self, reason: _Pause) -> None:
        """End one of the reasons for pausing."""
        was_paused = bool(self._pause)
        self._pause &= ~reason
        if was_paused and not self._pause and not self._transport.is_closing():
            self._transport.resume_reading()


class GuardedConnection(asyncio.BufferedProtocol):
    """Receive into the buffer that all connections share, in parts of limited size.

    What is not read stays with the system, which slows the sender down.
    """

    __slots__ = (
        "_after_request_bytes",
        "_intake",
        "_protocol",
        "_refuse_body",
        "_stuck_since_s",
        "_transport",
        "began_s",
        "body_bytes",
        "cost_s",
        "held_bytes",
        "is_answering",
        "received_s",
        "requests",
        "write_blocked_s",
    )

    def __init__(self, protocol: asyncio.Protocol, intake: Intake) -> None:
        self._protocol = protocol
        self._intake = intake
        self._transport: GuardedTransport | None = None
        self._refuse_body: Callable[[Refusal], None] | None = None
        # Bytes that arrived after the request that is being answered.
        self._after_request_bytes = 0
        # When the last bytes had arrived at a check that found the protocol not reading on.
        self._stuck_since_s: float | None = None
        # Bytes of the body that is being received, as the application has read it.
        self.body_bytes = 0
        self.cost_s = 0.0
        # What the policy goes by.
        self.held_bytes = 0
        self.received_s = intake.now_s()
        self.began_s: float | None = None
        self.write_blocked_s: float | None = None
        self.is_answering = False
        self.requests = 0

    @property
    def peer(self) -> str:
        """Return the address of the client, or an empty string."""
        name = self._transport.get_extra_info("peername") if self._transport is not None else None
        return name[0] if name else ""

    # What the application says of its requests.

    def begin_body(self, refuse: Callable[[Refusal], None]) -> None:
        """Have a function called instead of closing if the client is refused meanwhile."""
        self._refuse_body = refuse

    def count_body(self, count: int) -> None:
        """Count bytes of the body that the application has read."""
        self.body_bytes += count

    def end_request(self) -> None:
        """Record that a request has arrived whole."""
        self._refuse_body = None
        self._after_request_bytes = self.body_bytes = 0
        self.began_s = None
        self.is_answering = True
        self.requests += 1

    def end_answer(self) -> None:
        """Record that the request is answered, and count what followed it as a new one."""
        self.is_answering = False
        self._intake.release(self.held_bytes - self._after_request_bytes)
        self.held_bytes = self._after_request_bytes
        self._after_request_bytes = 0
        self.began_s = self._intake.now_s() if self.held_bytes else None
        self.cost_s = 0.0

    # What the intake decides.

    def refuse(self, reason: Refusal) -> None:
        """Refuse the request whose body is being received, or else close the connection."""
        self._forget_held()
        refuse, self._refuse_body = self._refuse_body, None
        if refuse is not None and reason in (Refusal.MEMORY, Refusal.SLOW_REQUEST):
            refuse(reason)
        elif self._transport is not None:
            self._transport.abort()

    def is_stuck(self) -> bool:
        """Return whether the protocol has not read on in a request since the last check.

        Bodies are always read to their end, so the protocol has failed without closing.
        """
        transport = self._transport
        pauses = transport is not None and transport.is_paused_by_protocol
        if not pauses or self.is_answering:
            self._stuck_since_s = None
            return False
        was_stuck = self._stuck_since_s == self.received_s
        self._stuck_since_s = self.received_s
        return was_stuck

    def close_if_gone(self) -> None:
        """Close a connection that is not read and whose client has left."""
        transport = self._transport
        if transport is not None and transport.is_paused and is_peer_gone(transport._transport):
            transport.abort()

    # Calls of the pacer.

    def decode(self, data: bytes) -> None:
        """Pass a part of a request on."""
        if self._transport is None or self._transport.is_closing():
            return
        try:
            self._protocol.data_received(data)
        except Exception as error:
            # One client must not stop the decoding for all.
            logger.debug("request not decoded", exc_info=error)
            self._intake.refuse(self, Refusal.UNDECODABLE)

    def end_read(self) -> None:
        """Go on receiving."""
        if self._transport is not None:
            self._transport.resume(_Pause.PACER)

    # Calls of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, and pass it on."""
        self._transport = GuardedTransport(cast(asyncio.Transport, transport), self)
        self._intake.register(self)
        self._protocol.connection_made(cast(asyncio.Transport, self._transport))

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the common buffer, which is read from before the next call."""
        return self._intake.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take what was received, and decode it now or in its turn."""
        transport = self._transport
        assert transport is not None
        data = bytes(self._intake.buffer[:nbytes])
        self._hold(nbytes)
        if not self.is_answering and has_overhead(self.held_bytes, self.body_bytes):
            self._intake.refuse(self, Refusal.OVERHEAD)
            return
        is_ordinary = nbytes <= SMALL_READ_BYTES and self.cost_s < COSTLY_CONNECTION_S
        if is_ordinary and self._intake.pacer.try_now(self, data):
            return
        transport.pause(_Pause.PACER)
        self._intake.pacer.submit(self, data)

    def eof_received(self) -> bool | None:
        """Pass the end of what is received on."""
        return self._protocol.eof_received()

    def connection_lost(self, error: Exception | None) -> None:
        """Unregister the connection, and pass its end on."""
        self._forget_held()
        self._intake.unregister(self)
        self._protocol.connection_lost(error)
        self._transport = None

    def pause_writing(self) -> None:
        """Record that the client does not read, and pass it on."""
        self.write_blocked_s = self._intake.now_s()
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        """Record that the client reads, and pass it on."""
        self.write_blocked_s = None
        self._protocol.resume_writing()

    def _hold(self, count: int) -> None:
        self.received_s = self._intake.now_s()
        if self.is_answering:
            self._after_request_bytes += count
        elif self.began_s is None:
            self.began_s = self.received_s
        self.held_bytes += count
        self._intake.hold(count)

    def _forget_held(self) -> None:
        self._intake.release(self.held_bytes)
        self.held_bytes = self._after_request_bytes = 0


def connection_of(transport: asyncio.BaseTransport | None) -> GuardedConnection | None:
    """Return the connection of a protocol's transport, or None if it is not a guarded one."""
    return transport.connection if isinstance(transport, GuardedTransport) else None
