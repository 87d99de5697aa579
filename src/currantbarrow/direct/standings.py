"""Decide what submissions and cancellings of a job find, from what an entry knows of it."""

from __future__ import annotations

import enum
from collections.abc import Collection

import msgspec

from currantbarrow.protocol.direct import Standing

__all__ = ["FINAL_STANDINGS", "CancelOutcome", "KnownJob", "cancel_outcome", "earlier_outcome"]

# A job with one of these never runs again. One that was abandoned, refused or moved may.
FINAL_STANDINGS = frozenset({Standing.COMPLETED, Standing.FAILED, Standing.CANCELLED})


class CancelOutcome(enum.Enum):
    """Define what is known after a cancelling."""

    # The job has ended or is being stopped, and will not run again.
    CANCELLED = "cancelled"
    # No entry has accepted the job, and none will run it.
    UNKNOWN = "unknown"
    # An entry that did not answer may have the job.
    UNCONFIRMED = "unconfirmed"


class KnownJob(msgspec.Struct, frozen=True):
    """Describe what an entry knows of a job."""

    # Whether the job is open here, or how it ended here.
    standing: Standing
    # Whether its caller has cancelled it, through any entry.
    cancelled: bool
    # Whether another entry has accepted it.
    elsewhere: bool


def earlier_outcome(known: KnownJob) -> Standing | None:
    """Return the outcome that a submission is answered with, or None if the job may run."""
    if known.standing in FINAL_STANDINGS:
        return known.standing
    return Standing.CANCELLED if known.cancelled else None


def cancel_outcome(
    known: KnownJob,
    answers: Collection[Standing],
    *,
    peers_answered: bool,
    sides_confirmed: bool,
) -> CancelOutcome:
    """Return the outcome of a cancelling.

    The peers answer with the standing before they cancelled the job. Side processes confirm that
    they run none of its tasks and reject later orders for them.
    """
    standings = {known.standing, *answers}
    if Standing.OPEN in standings or standings & FINAL_STANDINGS or sides_confirmed:
        return CancelOutcome.CANCELLED
    if not peers_answered:
        return CancelOutcome.UNCONFIRMED
    if known.elsewhere or standings != {Standing.UNKNOWN}:
        return CancelOutcome.CANCELLED
    return CancelOutcome.UNKNOWN
