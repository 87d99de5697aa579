"""Estimate the growth of capacity while a process that has just started discovers it.

Designed for the return of a fleet after a loss of power or the restart of all processes. Callers
resubmit their jobs as soon as the first entries accept connections, some tenths of a second before
workers have announced themselves to their side processes. An entry that knows none or only a few of
the workers would refuse most of these jobs, although there will be capacity for them in time.
"""

from __future__ import annotations

__all__ = ["FleetDiscovery"]

# Workers announce themselves every 1.5 s, and all processes of a fleet start within half a second.
DISCOVERY_MS = 2000.0
# The hosts of a fleet start within 0.3 s of one another, and so do the reports of their workers.
SPREAD_MS = 300.0
# The first workers report this long after the first entries accept connections.
FIRST_WORKER_MS = 150.0


class FleetDiscovery:
    """Extrapolate the number of workers from those that are known so far."""

    __slots__ = ("_started_ms",)

    def __init__(self, started_ms: float) -> None:
        self._started_ms = started_ms

    def is_active(self, now_ms: float) -> bool:
        """Return whether workers are still being discovered."""
        return now_ms < self._started_ms + DISCOVERY_MS

    def may_wait(self, now_ms: float, slack_ms: float) -> bool:
        """Return whether a job can wait for the first worker and still be on time."""
        return self.is_active(now_ms) and slack_ms >= FIRST_WORKER_MS

    def workers_per_s(self, now_ms: float, reporting: int, known: int) -> float:
        """Return the rate at which known side processes are expected to report a worker."""
        if not self.is_active(now_ms) or not reporting:
            return 0.0
        return max(0, known - reporting) / SPREAD_MS * 1000
