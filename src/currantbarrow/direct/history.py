"""Record the outcomes of recent jobs and the entries that accepted them."""

from __future__ import annotations

import collections

from currantbarrow.protocol.direct import Standing, TakenRow
from currantbarrow.types import Clock

__all__ = ["JobHistory"]

# Callers resubmit a job within seconds, so records are not needed for longer.
RETENTION_MS = 60_000.0
# Jobs accepted within this time are reported to a peer whose link was down.
RECENT_JOBS_MS = 10_000.0


class JobHistory:
    """Record the outcomes of jobs at this entry, and the entries that have accepted jobs."""

    __slots__ = ("_accepted", "_clock", "_ended", "_peer_jobs")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._ended: collections.OrderedDict[str, tuple[Standing, float]] = (
            collections.OrderedDict()
        )
        self._peer_jobs: collections.OrderedDict[str, tuple[str, float]] = collections.OrderedDict()
        self._accepted: collections.deque[tuple[str, float]] = collections.deque()

    def record_accepted(self, job: str) -> None:
        """Record that this entry has accepted a job."""
        self._accepted.append((job, self._clock.monotonic_ms()))
        self._ended.pop(job, None)

    def record_ended(self, job: str, standing: Standing) -> None:
        """Record the outcome of a job at this entry."""
        self._ended[job] = (standing, self._clock.monotonic_ms())
        self._ended.move_to_end(job)

    def final_standing(self, job: str) -> Standing:
        """Return the outcome of a job at this entry, UNKNOWN if there is none."""
        entry = self._ended.get(job)
        return entry[0] if entry is not None else Standing.UNKNOWN

    def record_peer_jobs(self, address: str, rows: list[TakenRow]) -> None:
        """Record that another entry has accepted jobs."""
        now_ms = self._clock.monotonic_ms()
        for row in rows:
            self._peer_jobs[row.job] = (address, now_ms)
            self._peer_jobs.move_to_end(row.job)

    def accepting_peer(self, job: str) -> str:
        """Return the address of another entry that has accepted a job, or an empty string."""
        entry = self._peer_jobs.get(job)
        return entry[0] if entry is not None else ""

    def accepted_since(self, since_ms: float) -> list[TakenRow]:
        """Return the jobs accepted here since a time, as far as they are retained."""
        now_ms = self._clock.monotonic_ms()
        rows = []
        for job, accepted_ms in reversed(self._accepted):
            if accepted_ms < since_ms:
                break
            rows.append(TakenRow(job, now_ms - accepted_ms))
        return rows

    def expire(self) -> None:
        """Remove records past their retention time."""
        now_ms = self._clock.monotonic_ms()
        while self._accepted and now_ms - self._accepted[0][1] > RECENT_JOBS_MS:
            self._accepted.popleft()
        for records in (self._ended, self._peer_jobs):
            while records and now_ms - next(iter(records.values()))[1] > RETENTION_MS:
                records.popitem(last=False)
