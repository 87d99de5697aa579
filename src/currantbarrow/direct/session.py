"""Bound how long an entry's orders hold at a side process that no longer hears it."""

from __future__ import annotations

__all__ = ["EntryLease", "SideLiveness"]

# An entry shows itself this often; three times in a lease, so that one late message harms nothing.
PING_INTERVAL_MS = 250.0
# After this long without proof that an entry hears a side process, its orders end there. Below
# the 1.3 s after which a caller tries again elsewhere, less the time that stopping runs takes.
LEASE_MS = 800.0
# Links without orders that are not to get any soon show that they are there less often, and are
# given up after three silent times; nothing rests on them.
COLD_PING_INTERVAL_MS = 1000.0
COLD_TIMEOUT_MS = 3200.0
# A side process that died can't have renewed its worker's leases for longer than this.
WORKER_LEASE_MS = 1000.0
# A worker's clock may run 2 % slow, and stopping takes up to 50 ms.
WORKER_LEASE_MARGIN_MS = 120.0


class EntryLease:
    """Tell on a side process's clock whether an entry's orders still hold.

    The side process stamps its reports and the entry returns the stamp of the newest that it
    heard. An entry gives up on a side process a lease after the last report that it heard, so
    orders that hold for a lease from that report's stamp have ended by then.
    """

    __slots__ = ("_renewed_ms",)

    def __init__(self, now_ms: float) -> None:
        self._renewed_ms = now_ms

    def renew(self, stamp_ms: float) -> None:
        """Take the stamp that the entry returned."""
        self._renewed_ms = max(self._renewed_ms, stamp_ms)

    def is_valid(self, now_ms: float) -> bool:
        """Tell whether orders may be begun and kept running."""
        return now_ms - self._renewed_ms < LEASE_MS

    def age_ms(self, now_ms: float) -> float:
        """Return how old the newest proof is."""
        return now_ms - self._renewed_ms


class SideLiveness:
    """Tell on an entry's clock whether a side process still answers to it."""

    __slots__ = ("_reports_expected_ms", "last_report_ms", "stamp_ms")

    def __init__(self, now_ms: float) -> None:
        # When the newest report came, on this entry's clock, and its stamp on the sender's.
        self.last_report_ms = now_ms
        self.stamp_ms = 0.0
        # When frequent reports were last asked for, after a time without.
        self._reports_expected_ms = 0.0

    def expect_reports(self, now_ms: float) -> None:
        """Expect reports often from now on."""
        self._reports_expected_ms = now_ms

    def has_fresh_report(self) -> bool:
        """Tell whether there was a report since frequent ones were asked for."""
        return self.last_report_ms >= self._reports_expected_ms

    def record_report(self, stamp_ms: float, now_ms: float) -> None:
        """Take a report's stamp."""
        self.last_report_ms = now_ms
        self.stamp_ms = max(self.stamp_ms, stamp_ms)

    def is_lost(self, now_ms: float, warm: bool = True) -> bool:
        """Tell whether to give up on the link.

        Orders only follow a fresh report, so that the time of asking never lengthens their lease.
        """
        if not warm:
            return now_ms - self.last_report_ms >= COLD_TIMEOUT_MS
        return now_ms - max(self.last_report_ms, self._reports_expected_ms) >= LEASE_MS

    @staticmethod
    def runs_ended_after_ms() -> float:
        """Return how long after giving up all runs there have surely ended."""
        return WORKER_LEASE_MS + WORKER_LEASE_MARGIN_MS
