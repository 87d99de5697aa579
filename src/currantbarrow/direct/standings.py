"""Remember what became of jobs, here and at other entries."""

from __future__ import annotations

import collections

from currantbarrow.protocol.direct import Standing, TakenRow
from currantbarrow.types import Clock

__all__ = ["StandingBook"]

# Callers send a job again within seconds; after this long nobody asks for it.
KEPT_MS = 60_000.0
# A link that was down gets the names of jobs that were taken this recently.
RECENT_MS = 10_000.0


class StandingBook:
    """Keep how jobs ended here, and which entry has taken which job."""

    __slots__ = ("_clock", "_ended", "_peers", "_taken")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._ended: collections.OrderedDict[str, tuple[Standing, float]] = (
            collections.OrderedDict()
        )
        self._peers: collections.OrderedDict[str, tuple[str, float]] = collections.OrderedDict()
        self._taken: collections.deque[tuple[str, float]] = collections.deque()

    def take(self, job: str) -> None:
        """Note that a job was taken here."""
        self._taken.append((job, self._clock.monotonic_ms()))
        self._ended.pop(job, None)

    def end(self, job: str, standing: Standing) -> None:
        """Note how a job ended here."""
        self._ended[job] = (standing, self._clock.monotonic_ms())
        self._ended.move_to_end(job)

    def ended(self, job: str) -> Standing:
        """Return how a job ended here."""
        entry = self._ended.get(job)
        return entry[0] if entry is not None else Standing.UNKNOWN

    def note_peer(self, address: str, rows: list[TakenRow]) -> None:
        """Note that another entry has taken jobs."""
        now_ms = self._clock.monotonic_ms()
        for row in rows:
            self._peers[row.job] = (address, now_ms)
            self._peers.move_to_end(row.job)

    def taken_by(self, job: str) -> str:
        """Return the address of another entry that has taken a job, or nothing."""
        entry = self._peers.get(job)
        return entry[0] if entry is not None else ""

    def taken_since(self, since_ms: float) -> list[TakenRow]:
        """Return the jobs that were taken here from a time on, as far back as is kept."""
        now_ms = self._clock.monotonic_ms()
        rows = []
        for job, taken_ms in reversed(self._taken):
            if taken_ms < since_ms:
                break
            rows.append(TakenRow(job, now_ms - taken_ms))
        return rows

    def expire(self) -> None:
        """Forget what nobody will ask for."""
        now_ms = self._clock.monotonic_ms()
        while self._taken and now_ms - self._taken[0][1] > RECENT_MS:
            self._taken.popleft()
        for book in (self._ended, self._peers):
            while book and now_ms - next(iter(book.values()))[1] > KEPT_MS:
                book.popitem(last=False)
