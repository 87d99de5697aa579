"""Hold back jobs that other entries may have taken over while this entry was out of contact."""

from __future__ import annotations

from collections.abc import Iterable

__all__ = ["IsolationGuard"]

# Callers resubmit a job 1.3 s after they lose an entry. A shorter stall is no reason for it.
ISOLATION_MIN_MS = 1000.0
# Peers report at least every 3 s. One that has not reported for longer has probably ended.
REPORT_LIMIT_MS = 3500.0


class IsolationGuard:
    """Decide whether a job may be ordered after this entry was stalled or lost all its links.

    Its callers may have resubmitted the jobs that it had accepted before. Peers report the jobs
    that they have accepted on each new link, but links to side processes may be open sooner.
    """

    __slots__ = ("_isolated_until_ms", "_reported_ms")

    def __init__(self) -> None:
        self._isolated_until_ms = -REPORT_LIMIT_MS
        # The time of the last report of each peer, by its address.
        self._reported_ms: dict[str, float] = {}

    def record_report(self, address: str, now_ms: float) -> None:
        """Record that a peer reported the jobs that it has accepted."""
        self._reported_ms[address] = now_ms

    def record_stall(self, stalled_ms: float, now_ms: float) -> None:
        """Record that this process did not run for some time until now."""
        if stalled_ms >= ISOLATION_MIN_MS:
            self._isolated_until_ms = now_ms

    def record_isolation(self, now_ms: float) -> None:
        """Record that no side process is linked now."""
        self._isolated_until_ms = now_ms

    def may_order(self, accepted_ms: float, peers: Iterable[str], now_ms: float) -> bool:
        """Return whether a job accepted at a time may be ordered, given the known peers."""
        isolated_ms = self._isolated_until_ms
        if accepted_ms > isolated_ms or now_ms - isolated_ms > REPORT_LIMIT_MS:
            return True
        return all(self._reported_ms.get(peer, isolated_ms) > isolated_ms for peer in peers)
