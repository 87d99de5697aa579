"""Record the events of a process in a ring buffer, for the timeline over all processes."""

from __future__ import annotations

import collections

import msgspec

from currantbarrow.observe.clock import COUNTER_BITS, HybridClock

__all__ = ["Event", "EventRing", "parse_since_ms"]

DEFAULT_RING_EVENTS = 4096


class Event(msgspec.Struct, frozen=True):
    """Describe one event of one process."""

    stamp: int
    process: str
    kind: str
    job: str = ""
    task: int = -1
    job_class: str = ""
    detail: str = ""

    @property
    def wall_ms(self) -> int:
        """Return the wall clock time of the stamp in milliseconds."""
        return self.stamp >> COUNTER_BITS

    @property
    def stamp_ms(self) -> float:
        """Return the whole stamp in milliseconds; the logical counter is the fraction."""
        return self.stamp / (1 << COUNTER_BITS)


class EventRing:
    """Store events in a ring buffer; new events overwrite the oldest."""

    __slots__ = ("_clock", "_process", "_ring")

    def __init__(self, process: str, clock: HybridClock, size: int = DEFAULT_RING_EVENTS) -> None:
        self._process = process
        self._clock = clock
        self._ring: collections.deque[Event] = collections.deque(maxlen=size)

    def record(
        self, kind: str, *, job: str = "", task: int = -1, job_class: str = "", detail: str = ""
    ) -> None:
        """Record one event with the next stamp of the clock."""
        stamp = self._clock.tick()
        self._ring.append(Event(stamp, self._process, kind, job, task, job_class, detail))

    def select(self, *, job: str = "", since_ms: int = 0) -> list[Event]:
        """Return the events of a job, or of all jobs, since a wall clock time."""
        return [
            event
            for event in self._ring
            if event.wall_ms >= since_ms and (not job or event.job == job)
        ]


def parse_since_ms(text: str | None) -> int:
    """Parse the since_ms parameter of a request, 0 if absent; raise ValueError."""
    if not text:
        return 0
    if not text.isascii() or not text.isdigit():
        raise ValueError("since_ms: a whole number of milliseconds since the epoch")
    return int(text[:20])
