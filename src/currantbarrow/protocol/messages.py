"""Define the messages between processes; new fields are added at the end, with defaults."""

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
    """Name the kinds of process that open links."""

    ENTRY = "entry"
    SIDE = "side"


class RefusedReason(enum.StrEnum):
    """Name why a side process did not start a task; each proves that it never started."""

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
        # Whatever a newer peer's reason is, the refusal proves that the task did not start.
        return cls.OTHER


class Message(msgspec.Struct, array_like=True, frozen=True, tag=True):
    """Be the base of all messages."""


class Call(Message, frozen=True):
    """Be the base of messages that want a reply with the same call id."""

    call_id: int


class Reply(Message, frozen=True):
    """Be the base of replies to calls."""

    call_id: int


class Failure(Reply, frozen=True):
    """Answer a call that could not be carried out."""

    code: str
    reason: str = ""


class Hello(Message, frozen=True):
    """Introduce a process on a new link; both ends send one."""

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
    """Tell how occupied a worker is, on the side process's own clock."""

    clock_ms: float
    slots: int
    running: int
    queued: int
    leaving: bool = False
    # Slots that the receiver's own tasks take here, running and waiting; -1 when not told.
    yours: int = -1


class Heartbeat(Message, frozen=True):
    """Keep an idle link alive; a side process adds its load."""

    load: Load | None = None
    cluster_offset: int = -1
    class_offset: int = -1


class Start(Message, frozen=True):
    """Ask a side process to start tasks, under an epoch and a stamp of its own clock."""

    epoch: int
    stamp_ms: float
    tasks: list[TaskRun]


class TaskReference(msgspec.Struct, array_like=True, frozen=True):
    """Name one attempt at a task."""

    job_id: bytes
    index: int
    attempt: int


class TaskResult(msgspec.Struct, array_like=True, frozen=True):
    """Carry the end of one task."""

    job_id: bytes
    index: int
    attempt: int
    state: TaskState
    value: Any = None
    error: str = ""
    run_ms: float = 0.0


class Result(Message, frozen=True):
    """Return the ends of tasks together with the worker's load."""

    results: list[TaskResult]
    load: Load


class Refused(Message, frozen=True):
    """Return attempts that were not and never will be started."""

    reason: RefusedReason
    tasks: list[TaskReference]
    load: Load
    retry_after_ms: float = 0.0


class Cancel(Message, frozen=True):
    """Ask a side process to drop queued tasks and to stop running ones."""

    tasks: list[TaskReference]


class QueryTasks(Call, frozen=True):
    """Ask what became of attempts; those not started are refused from then on."""

    tasks: list[TaskReference]


class TaskStates(Reply, frozen=True):
    """Answer a query: ended tasks, running ones, and those that never started."""

    ended: list[TaskResult]
    running: list[TaskReference]
    never: list[TaskReference]


class Fence(Call, frozen=True):
    """Refuse starts for shards below an epoch, and tell which tasks were started."""

    epoch: int
    shards: list[int]


class FencedTask(msgspec.Struct, array_like=True, frozen=True):
    """Tell which tasks of a job a side process has started."""

    job_id: bytes
    indexes: list[int]


class FencedTasks(Reply, frozen=True):
    """Answer a fence; the record reaches back to a wall clock time."""

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
    """Answer a panel request with the newest version that is closed."""

    accepted: bool
    closed_version: int


class LastSeen(Call, frozen=True):
    """Ask a process when it last heard of another one."""

    incarnation: str


class Seen(Reply, frozen=True):
    """Tell how long ago a process was heard of, if it was of late."""

    known: bool
    ago_ms: float = 0.0


class Forward(Call, frozen=True):
    """Pass a submission to the entry that owns its shard."""

    request: JobRequest
    hops: int = 0
    submission: str = ""


class Forwarded(Reply, frozen=True):
    """Return the answer to a forwarded submission."""

    answer: JobAnswer


class CancelJob(Call, frozen=True):
    """Pass a cancellation to the entry that owns the job's shard."""

    customer: str
    key: str
    created_at_ms: int


class ShowJob(Call, frozen=True):
    """Ask the entry that owns a job's shard for the job's answer."""

    customer: str
    key: str
    created_at_ms: int


class JobShown(Reply, frozen=True):
    """Tell whether a job is known, and its answer when it has one."""

    known: bool
    answer: JobAnswer | None = None


class TaskRow(msgspec.Struct, array_like=True, frozen=True):
    """Carry the state of one task in a handover; state is empty while it is open."""

    attempt: int
    side: str = ""
    state: TaskState | None = None
    value: Any = None
    error: str = ""


class JobRow(msgspec.Struct, array_like=True, frozen=True):
    """Carry one job in a handover, with its answer when it has one."""

    job_id: bytes
    digest: bytes
    created_at_ms: int
    request: JobRequest | None
    tasks: list[TaskRow]
    answer: JobAnswer | None = None
    accepted_ago_ms: float = 0.0


class RecoveredRow(msgspec.Struct, array_like=True, frozen=True):
    """Carry the tasks of a job that are known to have started, by side process."""

    job_id: bytes
    sides: dict[int, str]


class Handover(Call, frozen=True):
    """Give the job table of shards to their next owner; the last part says so."""

    version: int
    shards: list[int]
    jobs: list[JobRow]
    recovered: list[RecoveredRow]
    certain_from_ms: float
    last: bool = True
    cancelled: list[bytes] = []


class HandoverDone(Reply, frozen=True):
    """Confirm that a part of a handover was taken in."""

    accepted: bool = True


class StreamRecord(msgspec.Struct, array_like=True, frozen=True):
    """Carry one record of the log between processes."""

    offset: int
    data: bytes


class RecordsWanted(Call, frozen=True):
    """Ask a peer for what follows an offset of a stream."""

    stream: str
    offset: int = -1


class Records(Reply, frozen=True):
    """Give the records that follow, or the whole state at an offset, compressed."""

    stream: str
    offset: int
    snapshot: bytes = b""
    records: list[StreamRecord] = []
    # The records continue a state at this offset without a gap.
    after: int = -1
