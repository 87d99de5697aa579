"""Track jobs that have ended at this entry while runs of theirs may be left."""

from __future__ import annotations

from currantbarrow.direct.job import OpenJob
from currantbarrow.types import Clock

__all__ = ["EndingJobs"]

POLL_INTERVAL_MS = 5.0


class EndingJobs:
    """Keep ended jobs until all their runs have certainly ended."""

    __slots__ = ("_clock", "_jobs")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._jobs: dict[str, OpenJob] = {}

    def add(self, job: OpenJob) -> None:
        """Add a job that has ended, if runs of it may be left."""
        if job.has_ordered_tasks():
            self._jobs[job.spec.job_id] = job

    def has_runs(self, job_id: str) -> bool:
        """Return whether runs of an ended job may be left."""
        job = self._jobs.get(job_id)
        if job is None:
            return False
        if job.has_ordered_tasks():
            return True
        del self._jobs[job_id]
        return False

    async def wait_for_runs(self, job_id: str, timeout_ms: float) -> bool:
        """Wait for the runs of an ended job to end; return whether they have ended in time."""
        until_ms = self._clock.monotonic_ms() + timeout_ms
        while self.has_runs(job_id):
            if self._clock.monotonic_ms() > until_ms:
                return False
            await self._clock.sleep_ms(POLL_INTERVAL_MS)
        return True

    def expire(self) -> None:
        """Remove the jobs whose runs have all ended."""
        for job_id in list(self._jobs):
            self.has_runs(job_id)
