"""Track submissions that wait for earlier runs of their jobs to end."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from typing import Protocol

from currantbarrow.types import Clock

__all__ = ["Caller", "PendingSubmission", "PendingSubmissions"]


class Caller(Protocol):
    """Represent the caller that waits for the end of a job."""

    def has_left(self) -> bool:
        """Return whether the caller no longer waits."""


class PendingSubmission:
    """Track one submission until its job may be accepted."""

    __slots__ = ("received_ms", "withdrawn")

    def __init__(self, received_ms: float) -> None:
        self.received_ms = received_ms
        # Whether the job was meanwhile cancelled, or submitted to another entry.
        self.withdrawn = False


class PendingSubmissions:
    """Track the submissions that wait, by job."""

    __slots__ = ("_clock", "_pending")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._pending: dict[str, list[PendingSubmission]] = {}

    @contextlib.contextmanager
    def hold(self, job_id: str) -> Iterator[PendingSubmission]:
        """Track a submission within a context."""
        submission = PendingSubmission(self._clock.monotonic_ms())
        self._pending.setdefault(job_id, []).append(submission)
        try:
            yield submission
        finally:
            self._pending[job_id].remove(submission)
            if not self._pending[job_id]:
                del self._pending[job_id]

    def withdraw(self, job_id: str, min_age_ms: float = 0.0) -> None:
        """Withdraw the submissions of a job that were received at least this long ago."""
        now_ms = self._clock.monotonic_ms()
        for submission in self._pending.get(job_id, []):
            if now_ms - submission.received_ms >= min_age_ms:
                submission.withdrawn = True
