"""Define the messages between processes; add new fields at the end, with defaults."""

from __future__ import annotations

import enum
from typing import Any

import msgspec

from currantbarrow.jobs import JobAnswer, JobRequest, TaskRun, TaskState

__all__ = [
    "OLDEST_VERSION",
    "PROTOCOL_VERSION",
    "Call",
    "Cancel",
    "CancelJob",
    "CloseVersion",
    "Confirm",
    "Confirmed",
    "Failure",
    "Fence",
    "FencedTask",
    "FencedTasks",
    "Forward",
    "Forwarded",
    "Handover",
    "HandoverDone",
    "Heartbeat",
    "Hello",
    "JobRow",
    "JobShown",
    "LastSeen",
    "Seen",
    "Load",
    "Message",
    "QueryTasks",
    "Records",
    "RecoveredRow",
    "RecordsWanted",
    "Refused",
    "RefusedReason",
    "Reply",
    "Result",
    "Role",
    "ShowJob",
    "Start",
    "StreamRecord",
    "TaskReference",
    "TaskResult",
    "TaskRow",
    "TaskStates",
]

PROTOCOL_VERSION = 1
OLDEST_VERSION = 1


class Role(enum.StrEnum):
    """Define the kinds of process that open links."""

    ENTRY = "entry"
    SIDE = "side"


class RefusedReason(enum.StrEnum):
    """Define why a side process refused a start; a refused task was never started."""

    FULL = "full"
    LEAVING = "leaving"
    NO_UPSTREAM = "no_upstream"
    FENCED = "fenced"
    STALE = "stale"
    TOO_LARGE = "too_large"
    CANCELLED = "cancelled"
    EXPIRED = "expired"
    OTHER = "other"

    @classmethod
    def _missing_(cls, value: object) -> RefusedReason:
        # An unknown reason from a newer peer still guarantees that the task was not started.
        return cls.OTHER


class Message(msgspec.Struct, array_like=True, frozen=True, tag=True):
    """Represent a message."""


class Call(Message, frozen=True):
    """Represent a message that is answered by a reply with the same call id."""

    call_id: int


class Reply(Message, frozen=True):
    """Reply to a call."""

    call_id: int


class Failure(Reply, frozen=True):
    """Reply to a call that failed."""

    code: str
    reason: str = ""


class Hello(Message, frozen=True):
    """Open a link, from both ends: send identity, token and protocol versions."""

    role: Role
    name: str
    incarnation: str
    token: str = ""
    data_centre: str = ""
    rack: str = ""
    version: int = PROTOCOL_VERSION
    oldest_version: int = OLDEST_VERSION
    clock_ms: float = 0.0


class Load(msgspec.Struct, array_like=True, frozen=True):
    """Report the load of a worker, stamped with the side process's clock."""

    clock_ms: float
    slots: int
    running: int
    queued: int
    leaving: bool = False
    # Slots of the receiver's own tasks on this worker, running and queued; -1 if not included.
    yours: int = -1


class Heartbeat(Message, frozen=True):
    """Keep an idle link alive; a side process includes its load."""

    load: Load | None = None
    cluster_offset: int = -1
    class_offset: int = -1


class Start(Message, frozen=True):
    """Ask a side process to start tasks, with an epoch and a stamp read from its clock."""

    epoch: int
    stamp_ms: float
    tasks: list[TaskRun]


class TaskReference(msgspec.Struct, array_like=True, frozen=True):
    """Identify one attempt at a task."""

    job_id: bytes
    index: int
    attempt: int


class TaskResult(msgspec.Struct, array_like=True, frozen=True):
    """Report the result of one attempt at a task."""

    job_id: bytes
    index: int
    attempt: int
    state: TaskState
    value: Any = None
    error: str = ""
    run_ms: float = 0.0


class Result(Message, frozen=True):
    """Return results of tasks together with the worker's load."""

    results: list[TaskResult]
    load: Load


class Refused(Message, frozen=True):
    """Return attempts that were not started and never will be."""

    reason: RefusedReason
    tasks: list[TaskReference]
    load: Load
    retry_after_ms: float = 0.0


class Cancel(Message, frozen=True):
    """Ask a side process to drop queued tasks and to stop running ones."""

    tasks: list[TaskReference]


class QueryTasks(Call, frozen=True):
    """Query the state of attempts; those not started are refused from then on."""

    tasks: list[TaskReference]


class TaskStates(Reply, frozen=True):
    """Return the state of the queried tasks: ended, running or queued, and never started."""

    ended: list[TaskResult]
    running: list[TaskReference]
    never: list[TaskReference]


class Fence(Call, frozen=True):
    """Ask for the started tasks of shards, and to refuse starts below an epoch from then on."""

    epoch: int
    shards: list[int]


class FencedTask(msgspec.Struct, array_like=True, frozen=True):
    """Identify the tasks of a job that a side process has started."""

    job_id: bytes
    indexes: list[int]


class FencedTasks(Reply, frozen=True):
    """Return the started tasks of the fenced shards, complete since a wall-clock time."""

    jobs: list[FencedTask]
    complete_since_ms: int


class Confirm(Call, frozen=True):
    """Ask a panel member to confirm the lease of an owner under a version."""

    version: int
    owner: str


class CloseVersion(Call, frozen=True):
    """Ask a panel member to confirm no lease under this version or an older one."""

    version: int


class Confirmed(Reply, frozen=True):
    """Answer a panel request, with the newest closed version."""

    accepted: bool
    closed_version: int


class LastSeen(Call, frozen=True):
    """Ask a process when it last received a message from another process."""

    incarnation: str


class Seen(Reply, frozen=True):
    """Return the time since the last message from a process, if it is known."""

    known: bool
    ago_ms: float = 0.0


class Forward(Call, frozen=True):
    """Forward a submission to the entry that owns its shard."""

    request: JobRequest
    hops: int = 0
    submission: str = ""


class Forwarded(Reply, frozen=True):
    """Return the answer to a forwarded submission."""

    answer: JobAnswer


class CancelJob(Call, frozen=True):
    """Forward a cancellation to the entry that owns the job's shard."""

    customer: str
    key: str
    created_at_ms: int


class ShowJob(Call, frozen=True):
    """Ask the entry that owns a job's shard for the job's answer."""

    customer: str
    key: str
    created_at_ms: int


class JobShown(Reply, frozen=True):
    """Return whether a job is known, and its answer if it has one."""

    known: bool
    answer: JobAnswer | None = None


class TaskRow(msgspec.Struct, array_like=True, frozen=True):
    """Describe a task in a handover; the state is None while the task is open."""

    attempt: int
    side: str = ""
    state: TaskState | None = None
    value: Any = None
    error: str = ""


class JobRow(msgspec.Struct, array_like=True, frozen=True):
    """Describe a job in a handover, with its answer if it has one."""

    job_id: bytes
    digest: bytes
    created_at_ms: int
    request: JobRequest | None
    tasks: list[TaskRow]
    answer: JobAnswer | None = None
    accepted_ago_ms: float = 0.0


class RecoveredRow(msgspec.Struct, array_like=True, frozen=True):
    """Describe a job's tasks known to have started, with the side process of each."""

    job_id: bytes
    sides: dict[int, str]


class Handover(Call, frozen=True):
    """Send the job table of shards to their next owner, in parts; the last one is marked."""

    version: int
    shards: list[int]
    jobs: list[JobRow]
    recovered: list[RecoveredRow]
    certain_from_ms: float
    last: bool = True
    cancelled: list[bytes] = []


class HandoverDone(Reply, frozen=True):
    """Confirm that a part of a handover was received."""

    accepted: bool = True


class StreamRecord(msgspec.Struct, array_like=True, frozen=True):
    """Represent a record of a log stream."""

    offset: int
    data: bytes


class RecordsWanted(Call, frozen=True):
    """Ask a peer for the records after an offset of a stream."""

    stream: str
    offset: int = -1


class Records(Reply, frozen=True):
    """Return the records after an offset, or a compressed snapshot of the state at an offset."""

    stream: str
    offset: int
    snapshot: bytes = b""
    records: list[StreamRecord] = []
    # The records follow this offset without a gap.
    after: int = -1
