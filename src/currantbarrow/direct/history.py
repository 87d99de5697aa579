"""Remember what became of jobs, here and at other entries."""

from __future__ import annotations

import collections

from currantbarrow.protocol.direct import Standing, TakenRow
from currantbarrow.types import Clock

__all__ = ["JobHistory"]

# Callers send a job again within seconds; after this long nobody asks for it.
RETENTION_MS = 60_000.0
# A link that was down gets the names of jobs that were taken this recently.
RECENT_JOBS_MS = 10_000.0


class JobHistory:
    """Keep how jobs ended here, and which entry has taken which job."""

    __slots__ = ("_accepted", "_clock", "_ended", "_peer_jobs")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._ended: collections.OrderedDict[str, tuple[Standing, float]] = (
            collections.OrderedDict()
        )
        self._peer_jobs: collections.OrderedDict[str, tuple[str, float]] = collections.OrderedDict()
        self._accepted: collections.deque[tuple[str, float]] = collections.deque()

    def record_accepted(self, job: str) -> None:
        """Note that a job was taken here."""
        self._accepted.append((job, self._clock.monotonic_ms()))
        self._ended.pop(job, None)

    def record_ended(self, job: str, standing: Standing) -> None:
        """Note how a job ended here."""
        self._ended[job] = (standing, self._clock.monotonic_ms())
        self._ended.move_to_end(job)

    def final_standing(self, job: str) -> Standing:
        """Return how a job ended here."""
        entry = self._ended.get(job)
        return entry[0] if entry is not None else Standing.UNKNOWN

    def record_peer_jobs(self, address: str, rows: list[TakenRow]) -> None:
        """Note that another entry has taken jobs."""
        now_ms = self._clock.monotonic_ms()
        for row in rows:
            self._peer_jobs[row.job] = (address, now_ms)
            self._peer_jobs.move_to_end(row.job)

    def accepting_peer(self, job: str) -> str:
        """Return the address of another entry that has taken a job, or nothing."""
        entry = self._peer_jobs.get(job)
        return entry[0] if entry is not None else ""

    def accepted_since(self, since_ms: float) -> list[TakenRow]:
        """Return the jobs that were taken here from a time on, as far back as is kept."""
        now_ms = self._clock.monotonic_ms()
        rows = []
        for job, accepted_ms in reversed(self._accepted):
            if accepted_ms < since_ms:
                break
            rows.append(TakenRow(job, now_ms - accepted_ms))
        return rows

    def expire(self) -> None:
        """Forget what nobody will ask for."""
        now_ms = self._clock.monotonic_ms()
        while self._accepted and now_ms - self._accepted[0][1] > RECENT_JOBS_MS:
            self._accepted.popleft()
        for records in (self._ended, self._peer_jobs):
            while records and now_ms - next(iter(records.values()))[1] > RETENTION_MS:
                records.popitem(last=False)
