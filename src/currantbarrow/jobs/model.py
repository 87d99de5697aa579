"""Define jobs, tasks, their outcomes and answers."""

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
    """Name the three answers that a job can have."""

    COMPLETE = "complete"
    FAILED = "failed"
    REFUSED = "refused"


class TaskState(enum.StrEnum):
    """Name what is known of a task that has its final answer."""

    DONE = "done"
    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class TaskRequest(msgspec.Struct, array_like=True, frozen=True):
    """Describe one task as its caller declared it."""

    payload: Any = None
    declared_ms: float = 0.0
    size_slots: int = 1
    idempotent: bool = False


class JobRequest(msgspec.Struct, array_like=True, frozen=True):
    """Describe one job as its caller submitted it."""

    key: str
    created_at_ms: int
    customer: str
    job_class: str
    tasks: list[TaskRequest]
    # After this time from its acceptance the answer is of no use, 0 for no such time.
    timeout_ms: float = 0.0


class TaskAnswer(msgspec.Struct, array_like=True, frozen=True):
    """Tell what became of one task."""

    state: TaskState
    value: Any = None
    error: str = ""


class JobAnswer(msgspec.Struct, array_like=True, frozen=True):
    """Tell what became of a job; refused means that no task of it ever started."""

    status: JobStatus
    tasks: list[TaskAnswer] = []
    code: str = ""
    reason: str = ""
    retry_after_ms: int = 0
    not_run: bool = False


class TaskRun(msgspec.Struct, array_like=True, frozen=True):
    """Carry what a side process needs to start one task."""

    job_id: bytes
    index: int
    attempt: int
    job_class: str
    customer: str
    payload: Any
    slack_ms: float
    stop_after_ms: float
    size_slots: int = 1
    # A task that waits longer than this is not started, 0 for no bound.
    expires_in_ms: float = 0.0


class TaskRunResult(msgspec.Struct, array_like=True, frozen=True):
    """Carry what an upstream returned for one task, and the time that it took."""

    value: Any = None
    error: str = ""
    run_ms: float = 0.0


def make_job_id(request: JobRequest) -> bytes:
    """Return the identity of a job: its customer, key and creation time."""
    text = f"{request.customer}\x00{request.key}\x00{request.created_at_ms}"
    return hashlib.blake2b(text.encode(), digest_size=JOB_ID_BYTES).digest()


def digest_request(request: JobRequest) -> bytes:
    """Return a digest of the whole request, to tell a resubmission from a reused key."""
    return digest_encoded(msgspec.msgpack.encode(request))


def digest_encoded(encoded: bytes) -> bytes:
    """Return the digest of a request that is encoded already."""
    return hashlib.blake2b(encoded, digest_size=JOB_ID_BYTES).digest()


def retention_ms(window_ms: float, skew_ms: float) -> float:
    """Return how long a job must be remembered so that its key is refused before it is new.

    A key may be ahead of the clock of the entry that takes it by the skew, and that clock
    ahead of the clock of the entry that judges its age by the skew once more.
    """
    return window_ms + 2 * skew_ms


def shard_of(job_id: bytes) -> int:
    """Return the shard that a job belongs to."""
    return int.from_bytes(job_id[:4], "big") % SHARD_COUNT
