"""Decide what submissions of a job find, from what an entry knows of it."""

from __future__ import annotations

import msgspec

from currantbarrow.protocol.direct import Standing

__all__ = ["FINAL_STANDINGS", "KnownJob", "earlier_outcome"]

# A job with one of these never runs again. One that was abandoned, refused or moved may.
FINAL_STANDINGS = frozenset({Standing.COMPLETED, Standing.FAILED, Standing.CANCELLED})


class KnownJob(msgspec.Struct, frozen=True):
    """Describe what an entry knows of a job."""

    # Whether the job is open here, or how it ended here.
    standing: Standing
    # Whether its caller has cancelled it, through any entry.
    cancelled: bool


def earlier_outcome(known: KnownJob) -> Standing | None:
    """Return the outcome that a submission is answered with, or None if the job may run."""
    if known.standing in FINAL_STANDINGS:
        return known.standing
    return Standing.CANCELLED if known.cancelled else None
