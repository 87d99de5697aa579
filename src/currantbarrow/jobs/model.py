"""Define the data model of jobs, tasks and their answers."""

from __future__ import annotations

import enum
import hashlib
from typing import Any

import msgspec

__all__ = [
    "SHARD_COUNT",
    "JobAnswer",
    "JobRequest",
    "JobStatus",
    "TaskAnswer",
    "TaskRequest",
    "TaskRun",
    "TaskRunResult",
    "TaskState",
    "digest_encoded",
    "digest_request",
    "make_job_id",
    "retention_ms",
    "shard_of",
]

SHARD_COUNT = 256
JOB_ID_BYTES = 16


class JobStatus(enum.StrEnum):
    """Final status of a job."""

    COMPLETE = "complete"
    FAILED = "failed"
    REFUSED = "refused"


class TaskState(enum.StrEnum):
    """Final state of a task, as far as it is known.

    DONE: it returned a value. RAN: it was started, but no value is available. UNKNOWN: it may have
    been started.
    """

    DONE = "done"
    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class TaskRequest(msgspec.Struct, array_like=True, frozen=True):
    """Describe a task as declared by its caller."""

    payload: Any = None
    declared_ms: float = 0.0
    size_slots: int = 1
    idempotent: bool = False


class JobRequest(msgspec.Struct, array_like=True, frozen=True):
    """Describe a job as submitted by its caller."""

    key: str
    created_at_ms: int
    customer: str
    job_class: str
    tasks: list[TaskRequest]
    # Time from acceptance after which the caller has no use for the answer, 0 for no limit.
    timeout_ms: float = 0.0


class TaskAnswer(msgspec.Struct, array_like=True, frozen=True):
    """Report the outcome of one task."""

    state: TaskState
    value: Any = None
    error: str = ""


class JobAnswer(msgspec.Struct, array_like=True, frozen=True):
    """Answer a job; REFUSED means that none of its tasks was ever started."""

    status: JobStatus
    tasks: list[TaskAnswer] = []
    code: str = ""
    reason: str = ""
    retry_after_ms: int = 0
    not_run: bool = False


class TaskRun(msgspec.Struct, array_like=True, frozen=True):
    """Describe what a side process needs to start one task."""

    job_id: bytes
    index: int
    attempt: int
    job_class: str
    customer: str
    payload: Any
    slack_ms: float
    stop_after_ms: float
    size_slots: int = 1
    # A task that is not started within this time is dropped, 0 for no limit.
    expires_in_ms: float = 0.0


class TaskRunResult(msgspec.Struct, array_like=True, frozen=True):
    """Report what an upstream returned for one task, and the run time."""

    value: Any = None
    error: str = ""
    run_ms: float = 0.0


def make_job_id(request: JobRequest) -> bytes:
    """Return the id of a job, derived from its customer, key and creation time."""
    text = f"{request.customer}\x00{request.key}\x00{request.created_at_ms}"
    return hashlib.blake2b(text.encode(), digest_size=JOB_ID_BYTES).digest()


def digest_request(request: JobRequest) -> bytes:
    """Return a digest of the whole request, to distinguish a resubmission from a reused key."""
    return digest_encoded(msgspec.msgpack.encode(request))


def digest_encoded(encoded: bytes) -> bytes:
    """Return the digest of an encoded request."""
    return hashlib.blake2b(encoded, digest_size=JOB_ID_BYTES).digest()


def retention_ms(window_ms: float, skew_ms: float) -> float:
    """Return how long to keep a job, so that its key is refused as too old before it is removed.

    The key's creation time may be ahead of the clock of the accepting entry by the skew, and that
    clock may be ahead of the clock of the entry that later checks the key's age by the skew again.
    """
    return window_ms + 2 * skew_ms


def shard_of(job_id: bytes) -> int:
    """Return the shard that a job belongs to."""
    return int.from_bytes(job_id[:4], "big") % SHARD_COUNT
