"""Gather the interfaces that have more than one implementation."""

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
    """Tell the time and wait, so that tests can use virtual time and pauses."""

    def monotonic_ms(self) -> float:
        """Return a time in milliseconds that never goes back."""

    def wall_ms(self) -> int:
        """Return the time since the epoch in milliseconds."""

    async def sleep_ms(self, delay_ms: float) -> None:
        """Wait for a number of milliseconds."""


class Link(Protocol):
    """Exchange messages with one peer, in order, until closed."""

    @property
    def peer(self) -> Hello:
        """Return what the peer said of itself in the handshake."""

    @property
    def closed(self) -> bool:
        """Tell whether the link has been closed by either end."""

    def post(self, message: Message) -> None:
        """Queue a message for sending; raise LinkClosed or LinkFull."""

    async def receive(self) -> Message:
        """Return the next message; raise LinkClosed at the end."""

    async def close(self) -> None:
        """Close the link at this end."""

    def abort(self) -> None:
        """End the link at once, and drop what is queued."""


LinkHandler = Callable[[Link], Awaitable[None]]


class Network(Protocol):
    """Open and accept links to other processes of the system."""

    async def connect(self, address: str, hello: Hello) -> Link:
        """Open a link to an address; raise LinkError."""

    async def listen(self, address: str, hello: Hello, handler: LinkHandler) -> str:
        """Accept links and run a handler for each; return the bound address."""

    async def stop(self) -> None:
        """Stop accepting links and close those that are open."""


class LogRecord(Protocol):
    """Hold one record of a stream with its place."""

    @property
    def offset(self) -> int:
        """Return the record's place in its stream."""

    @property
    def data(self) -> bytes:
        """Return the record's bytes."""


class LogService(Protocol):
    """Append to and read from the platform's log service."""

    async def append(self, stream: str, data: bytes) -> int:
        """Append a record and return its offset; raise LogUnavailable or AppendUnknown."""

    async def read(self, stream: str, offset: int, wait_ms: int) -> Sequence[LogRecord]:
        """Return records from an offset on; raise LogUnavailable or RecordsExpired."""


class Upstream(Protocol):
    """Run tasks on the upstream that this process stands beside."""

    async def run(self, task: TaskRun) -> TaskRunResult:
        """Run one task to its end; raise UpstreamError or UpstreamLost."""

    async def stop(self, task: TaskRun) -> None:
        """Ask the upstream to stop a running task."""


class Metrics(Protocol):
    """Count and time what happens."""

    def incr(self, name: str, count: int = 1) -> None:
        """Add to a counter."""

    def timing(self, name: str, duration_ms: float) -> None:
        """Record a duration in milliseconds."""

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""


class Events(Protocol):
    """Record events for the time line."""

    def record(
        self, kind: str, *, job: str = "", task: int = -1, job_class: str = "", detail: str = ""
    ) -> None:
        """Add one event to the process's ring."""
