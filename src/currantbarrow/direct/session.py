"""Track the lease under which a side process executes the orders of an entry."""

from __future__ import annotations

import enum

from currantbarrow.direct.leases import RUN_END_LIMIT_MS

__all__ = ["ORDER_END_LIMIT_MS", "EntryLease", "LinkActivity", "SideLiveness"]

# Interval of reports on links with runs. There are three in a lease, so one late message does not
# end it.
PING_INTERVAL_MS = 250.0
# A side process stops the runs of an entry that has not acknowledged a report for this long. The
# lease and the time to stop runs add up to less than the 1.3 s after which callers retry at
# another entry.
LEASE_MS = 800.0
# Links without runs carry fewer reports, and cold ones, which expect no orders soon, the fewest. No
# run depends on them, so they are closed only after three missed reports.
IDLE_PING_INTERVAL_MS = 500.0
IDLE_TIMEOUT_MS = 1700.0
COLD_PING_INTERVAL_MS = 4000.0
COLD_TIMEOUT_MS = 12_800.0
# The clock of one host runs at most this much faster than that of another.
CLOCK_DRIFT_FACTOR = 1.02


# The longest time from the last renewal of an entry's orders until all its runs have ended.
ORDER_END_LIMIT_MS = (LEASE_MS + RUN_END_LIMIT_MS) * CLOCK_DRIFT_FACTOR


class LinkActivity(enum.Enum):
    """Define how much a link between an entry and a side process is used."""

    # Runs depend on the link.
    BUSY = (PING_INTERVAL_MS, LEASE_MS)
    # Orders may follow at any time.
    IDLE = (IDLE_PING_INTERVAL_MS, IDLE_TIMEOUT_MS)
    # A fresh report is required before orders.
    COLD = (COLD_PING_INTERVAL_MS, COLD_TIMEOUT_MS)

    def __init__(self, report_interval_ms: float, timeout_ms: float) -> None:
        self.report_interval_ms = report_interval_ms
        # The longest silence before the link is closed.
        self.timeout_ms = timeout_ms


class EntryLease:
    """Measure, on a side process's clock, the lease of one entry's orders.

    The side process stamps each report, and the entry acknowledges the newest stamp that it
    received. The orders are valid for one lease from the acknowledged stamp. The entry considers
    the side process lost one lease after it received that report, which is later than its stamp,
    so the orders have expired by then.

    Links without runs carry few reports, so the entry adds the time since the newest one to its
    stamp when it sends an order. The sum is behind the clock of the side process; the entry counts
    the lease from the order then.
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

    @property
    def expires_ms(self) -> float:
        """Return when the lease expires if it is not renewed."""
        return self._renewed_ms + LEASE_MS

    def age_ms(self, now_ms: float) -> float:
        """Return the time since the newest acknowledged stamp."""
        return now_ms - self._renewed_ms


class SideLiveness:
    """Track, on an entry's clock, whether a side process still reports to it."""

    __slots__ = ("_fresh_since_ms", "_reports_expected_ms", "last_report_ms", "stamp_ms")

    def __init__(self, now_ms: float) -> None:
        # Arrival of the newest report on this entry's clock, and its stamp on the sender's clock.
        self.last_report_ms = now_ms
        self.stamp_ms = 0.0
        # Reports from before this time are outdated.
        self._fresh_since_ms = 0.0
        # When the entry last did something after which reports have to follow.
        self._reports_expected_ms = 0.0

    def request_report(self, now_ms: float) -> None:
        """Treat earlier reports as outdated, and expect a new one."""
        self._fresh_since_ms = self._reports_expected_ms = now_ms

    def record_order(self, now_ms: float) -> None:
        """Expect reports, since an order was sent."""
        self._reports_expected_ms = now_ms

    def has_fresh_report(self, now_ms: float) -> bool:
        """Return whether orders may follow from the newest report."""
        # On a link without runs, a side process may be gone for longer before the link is closed.
        return (
            self.last_report_ms >= self._fresh_since_ms and now_ms - self.last_report_ms < LEASE_MS
        )

    def sender_clock_ms(self, now_ms: float) -> float:
        """Return a time on the side process's clock that has certainly passed."""
        return self.stamp_ms + (now_ms - self.last_report_ms) / CLOCK_DRIFT_FACTOR

    def record_report(self, stamp_ms: float, now_ms: float) -> None:
        """Record the arrival of a report and its stamp."""
        self.last_report_ms = now_ms
        self.stamp_ms = max(self.stamp_ms, stamp_ms)

    def is_lost(self, now_ms: float, activity: LinkActivity = LinkActivity.BUSY) -> bool:
        """Return whether the side process is considered lost.

        On a link with runs this is after the lease of all orders, wherever it is counted from.
        """
        silent_ms = now_ms - max(self.last_report_ms, self._reports_expected_ms)
        return silent_ms >= activity.timeout_ms * CLOCK_DRIFT_FACTOR

    def runs_end_ms(self) -> float:
        """Return when all runs of this entry have ended if no report arrives any more.

        Acknowledgements and orders carry stamps of reports, so the lease of the orders was last
        renewed before the newest report arrived or the newest order was sent.
        """
        renewed_ms = max(self.last_report_ms, self._reports_expected_ms)
        return renewed_ms + ORDER_END_LIMIT_MS
