"""Grant leases on a worker's clock, and bound the time until all runs under them have ended."""

from __future__ import annotations

import math

__all__ = [
    "LEASE_END_LIMIT_MS",
    "RUN_END_LIMIT_MS",
    "STOP_CONFIRM_LIMIT_MS",
    "WORKER_CLOCK_MIN_RATE",
    "WORKER_LEASE_LIMIT_MS",
    "WorkerLease",
]

# The longest lease that a side process grants to its worker. Entries rely on it.
WORKER_LEASE_LIMIT_MS = 1000.0
# A worker's clock may run up to 2 % slower than the clock of this process, and not faster.
WORKER_CLOCK_MIN_RATE = 0.98
# Time that a worker needs after the lease expires to kill its runs and report their ends.
LEASE_EXPIRY_MARGIN_MS = 60.0
# How long leases are still renewed while a run that has to end is not confirmed as stopped. Stops
# are normally confirmed within milliseconds, and several attempts fit into this time.
STOP_CONFIRM_LIMIT_MS = 100.0
# The longest time from the last renewal of a lease until all runs under it have ended.
LEASE_END_LIMIT_MS = (WORKER_LEASE_LIMIT_MS + LEASE_EXPIRY_MARGIN_MS) / WORKER_CLOCK_MIN_RATE
# The longest time from the moment at which a run has to end until it has ended. Callers resubmit
# their jobs 1.3 s after they lose an entry, so it has to be shorter than that.
RUN_END_LIMIT_MS = STOP_CONFIRM_LIMIT_MS + LEASE_END_LIMIT_MS


class WorkerLease:
    """Track the lease that covers all runs on a worker.

    A command may be executed seconds after it was sent, so its lease has to end by the worker's
    clock. The worker read its clock before its answer arrived, and the clock runs at least at the
    minimum rate. Both the end of a lease and its expiry are computed from this lower bound of the
    clock, so a wrong bound would shorten leases instead of prolonging them. Times of this process
    are those of a clock that stops while the host is suspended, as the worker's clock may.
    """

    __slots__ = (
        "_clock_ms",
        "_duration_ms",
        "_read_ms",
        "_received_ms",
        "_renewed_ms",
        "_until_ms",
    )

    def __init__(self, duration_ms: float) -> None:
        self._duration_ms = min(duration_ms, WORKER_LEASE_LIMIT_MS)
        # The newest reading of the worker's clock that raised the lower bound, and its arrival.
        self._clock_ms = -math.inf
        self._read_ms = 0.0
        # Arrival of the newest reading, whether or not it raised the lower bound.
        self._received_ms = 0.0
        self._renewed_ms = -math.inf
        # The end of the lease on the worker's clock.
        self._until_ms = -math.inf

    def record_reading(self, clock_ms: float, received_ms: float) -> None:
        """Record the time on the worker's clock in an answer that arrived at received_ms."""
        self._received_ms = received_ms
        # Answers may overtake each other.
        if clock_ms > self.clock_ms(received_ms):
            self._clock_ms, self._read_ms = clock_ms, received_ms

    def clock_ms(self, now_ms: float) -> float:
        """Return a time that has certainly passed on the worker's clock."""
        return self._clock_ms + (now_ms - self._read_ms) * WORKER_CLOCK_MIN_RATE

    def renew(self, now_ms: float) -> float:
        """Renew the lease for a command sent now, and return its end on the worker's clock."""
        self._renewed_ms = now_ms
        self._until_ms = self.clock_ms(now_ms) + self._duration_ms
        return self._until_ms

    def has_expired(self, now_ms: float) -> bool:
        """Return whether all runs under the lease have certainly ended."""
        return self.left_ms(now_ms) <= -LEASE_EXPIRY_MARGIN_MS

    def left_ms(self, now_ms: float) -> float:
        """Return the longest time on the worker's clock until the lease expires."""
        return (
            self._until_ms - self.clock_ms(now_ms) if math.isfinite(self._until_ms) else -math.inf
        )

    def renewal_age_ms(self, now_ms: float) -> float:
        """Return the time since the lease was last renewed."""
        return now_ms - self._renewed_ms

    def reading_age_ms(self, now_ms: float) -> float:
        """Return the time since the newest reading arrived.

        The lower bound may be based on an older one: readings of a clock at the minimum rate do not
        raise it, and new ones would not make the lease longer.
        """
        return now_ms - self._received_ms
