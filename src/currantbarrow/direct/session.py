"""Track the lease under which a side process executes the orders of an entry."""

from __future__ import annotations

__all__ = ["EntryLease", "SideLiveness"]

# Interval of reports and pings. There are three in a lease, so one late message does not end it.
PING_INTERVAL_MS = 250.0
# A side process stops the runs of an entry that has not acknowledged a report for this long. The
# lease and the time to stop runs add up to less than the 1.3 s after which callers retry at
# another entry.
LEASE_MS = 800.0
# Cold links have no orders and expect none soon, so they carry fewer pings. They are closed after
# three missed pings; no run depends on them.
COLD_PING_INTERVAL_MS = 1000.0
COLD_TIMEOUT_MS = 3200.0
# The leases that a side process grants to its worker end at most this long after the process dies.
WORKER_LEASE_MS = 1000.0
# A worker's clock may run 2 % slow, and stopping a run takes up to 50 ms.
WORKER_LEASE_MARGIN_MS = 120.0


class EntryLease:
    """Measure, on a side process's clock, the lease of one entry's orders.

    The side process stamps each report, and the entry acknowledges the newest stamp that it
    received. The orders are valid for one lease from the acknowledged stamp. The entry considers
    the side process lost one lease after it received that report, which is later than its stamp,
    so the orders have expired by then.
    """

    __slots__ = ("_renewed_ms",)

    def __init__(self, now_ms: float) -> None:
        self._renewed_ms = now_ms

    def renew(self, stamp_ms: float) -> None:
        """Extend the lease to the report stamp that the entry acknowledged."""
        self._renewed_ms = max(self._renewed_ms, stamp_ms)

    def is_valid(self, now_ms: float) -> bool:
        """Return whether runs of the entry may be started and kept running."""
        return now_ms - self._renewed_ms < LEASE_MS

    def age_ms(self, now_ms: float) -> float:
        """Return the time since the newest acknowledged stamp."""
        return now_ms - self._renewed_ms


class SideLiveness:
    """Track, on an entry's clock, whether a side process still reports to it."""

    __slots__ = ("_reports_expected_ms", "last_report_ms", "stamp_ms")

    def __init__(self, now_ms: float) -> None:
        # Arrival of the newest report on this entry's clock, and its stamp on the sender's clock.
        self.last_report_ms = now_ms
        self.stamp_ms = 0.0
        # When frequent reports were last requested, after a time on a cold link.
        self._reports_expected_ms = 0.0

    def expect_reports(self, now_ms: float) -> None:
        """Expect frequent reports from now on."""
        self._reports_expected_ms = now_ms

    def has_fresh_report(self) -> bool:
        """Return whether a report arrived since frequent reports were requested."""
        return self.last_report_ms >= self._reports_expected_ms

    def record_report(self, stamp_ms: float, now_ms: float) -> None:
        """Record the arrival of a report and its stamp."""
        self.last_report_ms = now_ms
        self.stamp_ms = max(self.stamp_ms, stamp_ms)

    def is_lost(self, now_ms: float, warm: bool = True) -> bool:
        """Return whether the side process is considered lost.

        Orders are sent only after a fresh report, so counting from the request for frequent
        reports does not extend the lease of any order.
        """
        if not warm:
            return now_ms - self.last_report_ms >= COLD_TIMEOUT_MS
        return now_ms - max(self.last_report_ms, self._reports_expected_ms) >= LEASE_MS

    @staticmethod
    def runs_ended_after_ms() -> float:
        """Return how long after the loss of a side process all runs on its worker have ended."""
        return WORKER_LEASE_MS + WORKER_LEASE_MARGIN_MS
