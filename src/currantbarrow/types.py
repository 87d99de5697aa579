"""Define protocols for the interfaces that have more than one implementation."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from currantbarrow.jobs import TaskRun, TaskRunResult
    from currantbarrow.protocol import Hello, Message

__all__ = [
    "Clock",
    "Events",
    "Link",
    "LinkHandler",
    "LogRecord",
    "LogService",
    "Metrics",
    "Network",
    "Upstream",
]


class Clock(Protocol):
    """Provide time and delays; tests replace it to simulate time and pauses."""

    def monotonic_ms(self) -> float:
        """Return a monotonic time in milliseconds that advances while the host is suspended."""

    def steady_ms(self) -> float:
        """Return a monotonic time in milliseconds that stops while the host is suspended."""

    def wall_ms(self) -> int:
        """Return the time since the epoch in milliseconds."""

    async def sleep_ms(self, delay_ms: float) -> None:
        """Sleep for a number of milliseconds."""


class Link(Protocol):
    """Exchange ordered messages with one peer, in both directions."""

    @property
    def peer(self) -> Hello:
        """Return the peer's handshake message."""

    @property
    def closed(self) -> bool:
        """Report whether the link has been closed by either end."""

    def post(self, message: Message) -> None:
        """Queue a message to be sent; raise LinkClosed or LinkFull."""

    async def receive(self) -> Message:
        """Return the next message; raise LinkClosed once the link is closed."""

    async def close(self) -> None:
        """Close the link at this end."""

    def abort(self) -> None:
        """Close the link immediately and discard queued messages."""


LinkHandler = Callable[[Link], Awaitable[None]]


class Network(Protocol):
    """Open and accept links to other processes of the system."""

    async def connect(self, address: str, hello: Hello) -> Link:
        """Open a link to an address; raise LinkError."""

    async def listen(self, address: str, hello: Hello, handler: LinkHandler) -> str:
        """Accept links and run a handler for each; return the bound address."""

    async def stop(self) -> None:
        """Stop accepting links and close the open ones."""


class LogRecord(Protocol):
    """Represent one record of a stream with its offset."""

    @property
    def offset(self) -> int:
        """Return the offset of the record in its stream."""

    @property
    def data(self) -> bytes:
        """Return the encoded record."""


class LogService(Protocol):
    """Append and read records of the platform's log service."""

    async def append(self, stream: str, data: bytes) -> int:
        """Append a record and return its offset; raise LogUnavailable or AppendUnknown."""

    async def read(self, stream: str, offset: int, wait_ms: int) -> Sequence[LogRecord]:
        """Return the records from an offset on, waiting up to wait_ms for the first.

        Raise LogUnavailable or RecordsExpired.
        """


class Upstream(Protocol):
    """Run tasks on the upstream that this side process serves."""

    async def run(self, task: TaskRun) -> TaskRunResult:
        """Run one task and return its result; raise UpstreamError or UpstreamLost."""

    async def stop(self, task: TaskRun) -> None:
        """Ask the upstream to stop a running task."""


class Metrics(Protocol):
    """Record counters, timings and gauges."""

    def incr(self, name: str, count: int = 1) -> None:
        """Add to a counter."""

    def timing(self, name: str, duration_ms: float) -> None:
        """Record a duration in milliseconds."""

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""


class Events(Protocol):
    """Record the events of the timeline."""

    def record(
        self, kind: str, *, job: str = "", task: int = -1, job_class: str = "", detail: str = ""
    ) -> None:
        """Record one event."""
