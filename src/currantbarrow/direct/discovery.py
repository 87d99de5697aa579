"""Estimate the capacity of the fleet while a process that has just started discovers it.

Designed for the return of a fleet after a loss of power or the restart of all processes. Callers
resubmit their jobs as soon as the first entries accept connections, some tenths of a second before
workers have announced themselves to their side processes. An entry that knows none or only a few of
the workers would refuse most of these jobs, although there will be capacity for them in time.
"""

from __future__ import annotations

__all__ = ["FleetDiscovery"]

# Workers announce themselves every 1.5 s, and all processes of a fleet start within half a second.
DISCOVERY_MS = 2000.0


class FleetDiscovery:
    """Extrapolate the capacity of the fleet from the workers that are known so far."""

    __slots__ = ("_ends_ms",)

    def __init__(self, started_ms: float) -> None:
        self._ends_ms = started_ms + DISCOVERY_MS

    def is_active(self, now_ms: float) -> bool:
        """Return whether workers are still being discovered."""
        return now_ms < self._ends_ms

    def capacity_factor(self, now_ms: float, reporting: int, known: int) -> float:
        """Return the ratio of the expected to the reported capacity.

        Side processes that are known but do not report a worker yet are expected to have average
        ones.
        """
        if not self.is_active(now_ms) or not reporting:
            return 1.0
        return max(1.0, known / reporting)
