"""Bound how long an entry keeps a job whose caller may have left without a sign.

An entry and a side process behind one partition confirm each other's leases, and notice nothing of
a caller who leaves on the other side. The caller waits no longer than it has said, and submits the
job to another entry 1.3 s after it has left. The entry therefore gives the job up before that time
is over, early enough for the runs to end before the caller is back, even if no stop is answered.
"""

from __future__ import annotations

import math

from currantbarrow.direct.session import CLOCK_DRIFT_FACTOR

__all__ = ["keep_until_ms"]

# Covers the way of the call to the entry, the check for jobs to give up and the way of the stops,
# for which RUN_END_LIMIT_MS leaves too little of the 1.3 s if the clocks are slow.
MARGIN_MS = 50.0
# A shorter timeout keeps at least this share of it.
MIN_SHARE = 0.5


def keep_until_ms(received_ms: float, caller_timeout_ms: float) -> float:
    """Return when a job has to be given up; a caller timeout of 0 means no limit."""
    if caller_timeout_ms <= 0:
        return math.inf
    kept_ms = caller_timeout_ms / CLOCK_DRIFT_FACTOR - MARGIN_MS
    return received_ms + max(kept_ms, caller_timeout_ms * MIN_SHARE)
