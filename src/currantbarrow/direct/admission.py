"""Decide on submission whether a job can start in time to meet its target.

Designed for bursts that exceed the capacity of the fleet. An immediate refusal costs the caller one
call and carries a retry delay; a job that waits and is refused later also costs the wait.

The waiting time of a job depends on the rate at which resources are released, not on the run times
of the tasks ahead of it: four long tasks occupy the next four places that are released, and the
fifth place goes to the next job. While the job waits, more urgent ones arrive, and take a part of
what is released.
"""

from __future__ import annotations

import msgspec

__all__ = ["Backlog", "Refusal", "check_admission"]

# A job starts in parts, so it waits only for this share of its own cores.
OWN_CORES_SHARE = 0.5
# The rate of arrivals is measured over about this time, and says little about later ones.
ARRIVALS_HORIZON_S = 0.5
# Bounds of the retry delay returned to callers.
MIN_RETRY_S = 1
MAX_RETRY_S = 30


class Backlog(msgspec.Struct, frozen=True):
    """Describe the work ahead of a job and the capacity to serve it."""

    # Cores of waiting tasks that are dispatched before the job.
    ahead_cores: float
    # Cores that the job itself requires.
    own_cores: float
    # Cores that are currently free.
    free_cores: float
    # Core-milliseconds of all tasks that wait at this entry.
    total_core_ms: float
    # This entry's share of the cores of the fleet.
    cores: float
    # Cores per second released to this entry while the fleet is fully used.
    released_per_s: float
    # Cores per second of arriving tasks that are dispatched before the job.
    urgent_per_s: float = 0.0

    def wait_ms(self) -> float:
        """Return how long the job is expected to wait for resources."""
        missing_cores = self.ahead_cores + OWN_CORES_SHARE * self.own_cores - self.free_cores
        if missing_cores <= 0:
            return 0.0
        left_per_s = self.released_per_s - self.urgent_per_s
        if missing_cores <= left_per_s * ARRIVALS_HORIZON_S:
            return missing_cores / left_per_s * 1000
        overtaking_cores = self.urgent_per_s * ARRIVALS_HORIZON_S
        return (missing_cores + overtaking_cores) / self.released_per_s * 1000

    def drain_s(self) -> float:
        """Return the estimated time to serve all waiting work."""
        return self.total_core_ms / self.cores / 1000 if self.cores > 0 else 0.0

    def retry_after_s(self) -> int:
        """Return the estimated time to serve all waiting work, within the retry bounds."""
        return min(MAX_RETRY_S, max(MIN_RETRY_S, round(self.drain_s())))


class Refusal(msgspec.Struct, frozen=True):
    """Report the reason for refusing a job, and when its caller may retry."""

    reason: str
    retry_after_s: int
    wait_ms: float
    backlog: Backlog | None = None
    # Whether tasks of the job may have run after an earlier submission.
    may_have_run: bool = False


def check_admission(backlog: Backlog, slack_ms: float) -> Refusal | None:
    """Return a refusal if the expected wait exceeds a job's slack, None to admit it."""
    if backlog.cores <= 0:
        return Refusal("no_worker", MIN_RETRY_S, 0.0)
    wait_ms = backlog.wait_ms()
    if wait_ms <= max(0.0, slack_ms):
        return None
    return Refusal("overload", backlog.retry_after_s(), wait_ms, backlog)
