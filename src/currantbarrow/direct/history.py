"""Record the outcomes of recent jobs and the entries that accepted them."""

from __future__ import annotations

import collections
import math
from collections.abc import Iterable, Iterator
from typing import Generic, TypeVar

import msgspec

from currantbarrow.direct.session import CLOCK_DRIFT_FACTOR
from currantbarrow.direct.standings import KnownJob
from currantbarrow.protocol.direct import CancelledRow, Standing, TakenRow
from currantbarrow.types import Clock

__all__ = ["RETENTION_MS", "Acceptance", "JobHistory"]

# Callers resubmit a job within seconds, so records are not needed for longer.
RETENTION_MS = 60_000.0
# Jobs accepted within this time are reported to a peer whose link was down. Open jobs are reported
# again at this interval, so that peers also know of those that last for long.
RECENT_JOBS_MS = 10_000.0
# Attempts of a job that a peer has accepted are counted from here, so that their numbers differ
# from those that the peer has used. It is not a limit on attempts.
PEER_ATTEMPTS = 50

# The shortest time that is reported for a job, as 0 means that it is not known.
MIN_KEPT_MS = 1.0

ValueT = TypeVar("ValueT")


class Acceptance(msgspec.Struct, frozen=True):
    """Describe the acceptance of a job at an entry."""

    address: str
    # A process that has restarted at the address does not know the jobs of the former one.
    incarnation: str
    accepted_ms: float
    # Until when the entry may keep the job, infinity if it has not said.
    kept_until_ms: float = math.inf


class _Cancelling(msgspec.Struct, frozen=True):
    """Describe the cancelling of a job."""

    cancelled_ms: float
    # The address of the peer that reported it, or empty if this entry reports it to the peers.
    reporter: str


class _JobRecords(Generic[ValueT]):
    """Keep one value per job for the retention time."""

    __slots__ = ("_records",)

    def __init__(self) -> None:
        # Values and the times at which they were set, oldest first.
        self._records: collections.OrderedDict[str, tuple[ValueT, float]] = (
            collections.OrderedDict()
        )

    def set(self, job: str, value: ValueT, now_ms: float) -> None:
        self._records[job] = (value, now_ms)
        self._records.move_to_end(job)

    def get(self, job: str, default: ValueT) -> ValueT:
        record = self._records.get(job)
        return record[0] if record is not None else default

    def find(self, job: str) -> ValueT | None:
        record = self._records.get(job)
        return record[0] if record is not None else None

    def set_ms(self, job: str) -> float:
        record = self._records.get(job)
        return record[1] if record is not None else -math.inf

    def since(self, since_ms: float) -> Iterator[tuple[str, ValueT]]:
        """Yield the jobs and values that were set since a time, newest first."""
        for job, (value, set_ms) in reversed(self._records.items()):
            if set_ms < since_ms:
                return
            yield job, value

    def remove(self, job: str) -> None:
        self._records.pop(job, None)

    def expire(self, now_ms: float) -> None:
        while self._records and now_ms - next(iter(self._records.values()))[1] > RETENTION_MS:
            self._records.popitem(last=False)


class JobHistory:
    """Record the outcomes of jobs at this entry, and the entries that have accepted jobs."""

    __slots__ = (
        "_accepted",
        "_attempts",
        "_cancelled",
        "_cleared",
        "_clock",
        "_ended",
        "_kept_until_ms",
        "_open",
        "_peer_jobs",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._ended: _JobRecords[Standing] = _JobRecords()
        # The last acceptance of a job at another entry.
        self._peer_jobs: _JobRecords[Acceptance | None] = _JobRecords()
        self._cleared: _JobRecords[bool] = _JobRecords()
        # The jobs that were cancelled here or, as far as is known, through another entry.
        self._cancelled: _JobRecords[_Cancelling] = _JobRecords()
        # The highest attempt number that this entry has used for a job that ended here.
        self._attempts: _JobRecords[int] = _JobRecords()
        # When the open jobs were accepted, and until when they are kept.
        self._open: dict[str, float] = {}
        self._kept_until_ms: dict[str, float] = {}
        # Jobs, when they were accepted, and since when they are to be reported, oldest first.
        self._accepted: collections.deque[tuple[str, float, float]] = collections.deque()

    def record_accepted(self, job: str, kept_until_ms: float = math.inf) -> None:
        """Record that this entry has accepted a job, and until when it keeps it at most."""
        now_ms = self._clock.monotonic_ms()
        self._kept_until_ms[job] = kept_until_ms
        self._open[job] = now_ms
        self._accepted.append((job, now_ms, now_ms))
        self._ended.remove(job)

    def record_ended(self, job: str, standing: Standing, attempts: int = 0) -> None:
        """Record the outcome of a job at this entry, and the highest attempt number used for it."""
        now_ms = self._clock.monotonic_ms()
        self._open.pop(job, None)
        self._kept_until_ms.pop(job, None)
        self._ended.set(job, standing, now_ms)
        if standing is Standing.CANCELLED:
            self.record_cancelled(job)
        if attempts:
            self._attempts.set(job, attempts, now_ms)

    def final_standing(self, job: str) -> Standing:
        """Return the outcome of a job at this entry, UNKNOWN if there is none."""
        return self._ended.get(job, Standing.UNKNOWN)

    def known(self, job: str) -> KnownJob:
        """Return what this entry knows of a job."""
        standing = Standing.OPEN if job in self._open else self.final_standing(job)
        return KnownJob(standing, self.was_cancelled(job), self.accepted_elsewhere(job) is not None)

    def record_cancelled(self, job: str) -> None:
        """Record that the caller of a job has cancelled it through this entry."""
        if not self.was_cancelled(job):
            now_ms = self._clock.monotonic_ms()
            self._cancelled.set(job, _Cancelling(now_ms, ""), now_ms)

    def record_cancelled_elsewhere(self, row: CancelledRow, reporter: str) -> None:
        """Record that a peer has reported the cancelling of a job."""
        if not self.was_cancelled(row.job):
            now_ms = self._clock.monotonic_ms()
            cancelling = _Cancelling(now_ms - row.age_ms, reporter)
            self._cancelled.set(row.job, cancelling, now_ms)

    def take_over_cancellings(self, reporter: str) -> None:
        """Report the cancellings that a lost peer may not have reported to all others."""
        now_ms = self._clock.monotonic_ms()
        reported = list(self._cancelled.since(-math.inf))
        for job, each in reversed(reported):
            is_current = now_ms - each.cancelled_ms <= RETENTION_MS
            if is_current and each.reporter == reporter:
                self._cancelled.set(job, msgspec.structs.replace(each, reporter=""), now_ms)

    def was_cancelled(self, job: str) -> bool:
        """Return whether the caller of a job has cancelled it, as far as this entry knows."""
        return self._cancelled.find(job) is not None

    def cancellings(self, jobs: Iterable[str]) -> list[CancelledRow]:
        """Return the cancellings of jobs through any entry."""
        now_ms = self._clock.monotonic_ms()
        known = ((job, self._cancelled.find(job)) for job in jobs)
        return [CancelledRow(job, now_ms - each.cancelled_ms) for job, each in known if each]

    def cancelled_since(self, since_ms: float) -> list[CancelledRow]:
        """Return the cancellings to report to a peer that was last reported to at a time.

        A peer that was not reported to may have missed those through other entries.
        """
        now_ms = self._clock.monotonic_ms()
        is_first = math.isinf(since_ms)
        rows = [
            CancelledRow(job, now_ms - each.cancelled_ms)
            for job, each in self._cancelled.since(since_ms)
            if is_first or not each.reporter
        ]
        return [row for row in rows if row.age_ms <= RETENTION_MS]

    def attempts_used(self, job: str) -> int:
        """Return the highest attempt number that earlier runs of a job may have."""
        own = self._attempts.get(job, 0)
        return own + PEER_ATTEMPTS if self.accepted_elsewhere(job) else own

    def record_cleared(self, job: str) -> None:
        """Record that side processes reject orders for a job from all entries but this one."""
        self._cleared.set(job, True, self._clock.monotonic_ms())

    def was_cleared(self, job: str) -> bool:
        """Return whether this entry has recently cleared a job at the side processes."""
        return self._cleared.get(job, False)

    def record_peer_jobs(self, address: str, incarnation: str, rows: list[TakenRow]) -> None:
        """Record that another entry has accepted jobs."""
        now_ms = self._clock.monotonic_ms()
        for row in rows:
            known = self._peer_jobs.get(row.job, None)
            kept_ms = row.kept_for_ms * CLOCK_DRIFT_FACTOR if row.kept_for_ms else math.inf
            acceptance = Acceptance(address, incarnation, now_ms - row.age_ms, now_ms + kept_ms)
            if known is None or known.accepted_ms <= acceptance.accepted_ms:
                self._peer_jobs.set(row.job, acceptance, now_ms)
            elif known.incarnation == incarnation:
                self._peer_jobs.set(row.job, known, now_ms)
            # Otherwise another entry has taken over the job since.

    def accepted_elsewhere(self, job: str) -> Acceptance | None:
        """Return the last acceptance of a job at another entry, if any is known."""
        return self._peer_jobs.get(job, None)

    def acceptances(self, jobs: Iterable[str], incarnation: str) -> list[TakenRow]:
        """Return the last known acceptances of jobs, here or at entries other than one of them."""
        now_ms = self._clock.monotonic_ms()
        known_ms: dict[str, float] = {}
        for job in jobs:
            times_ms = [self._open.get(job, -math.inf)]
            acceptance = self.accepted_elsewhere(job)
            if acceptance is not None and acceptance.incarnation != incarnation:
                times_ms.append(acceptance.accepted_ms)
            if self.final_standing(job) in (Standing.COMPLETED, Standing.FAILED):
                times_ms.append(self._ended.set_ms(job))
            known_ms[job] = max(times_ms)
        for job, accepted_ms, _ in self._accepted:
            if job in known_ms:
                known_ms[job] = max(known_ms[job], accepted_ms)
        return [
            TakenRow(job, now_ms - accepted_ms)
            for job, accepted_ms in known_ms.items()
            if accepted_ms > -math.inf
        ]

    def accepted_since(self, since_ms: float) -> list[TakenRow]:
        """Return the jobs to report to a peer that was last reported to at a time."""
        now_ms = self._clock.monotonic_ms()
        rows = []
        for job, accepted_ms, report_from_ms in reversed(self._accepted):
            if report_from_ms < since_ms:
                break
            left_ms = self._kept_until_ms.get(job, math.inf) - now_ms
            kept_for_ms = max(left_ms, MIN_KEPT_MS) if math.isfinite(left_ms) else 0.0
            rows.append(TakenRow(job, now_ms - accepted_ms, kept_for_ms))
        return rows

    def expire(self) -> None:
        """Remove records past their retention time."""
        now_ms = self._clock.monotonic_ms()
        while self._accepted and now_ms - self._accepted[0][2] > RECENT_JOBS_MS:
            job, accepted_ms, _ = self._accepted.popleft()
            if self._open.get(job) == accepted_ms:
                self._accepted.append((job, accepted_ms, now_ms))
        self._ended.expire(now_ms)
        self._peer_jobs.expire(now_ms)
        self._cleared.expire(now_ms)
        self._cancelled.expire(now_ms)
        self._attempts.expire(now_ms)
