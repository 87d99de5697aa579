"""Define the messages of direct dispatch; add new fields at the end, with defaults."""

from __future__ import annotations

import enum

import msgspec

from currantbarrow.decoding import Integer, Number
from currantbarrow.protocol.messages import Call, Message, Reply

__all__ = [
    "CancelledRow",
    "ClearJob",
    "ClearedJob",
    "CrashRow",
    "DemandRow",
    "DropTasks",
    "EndRow",
    "EntryPing",
    "HostRow",
    "JobStanding",
    "PeerPing",
    "QueueRow",
    "RunEnd",
    "ReportJobs",
    "ReportedJobs",
    "RunTasks",
    "SessionPing",
    "ShareConfiguration",
    "ShareEvacuations",
    "ShareHosts",
    "ShowStanding",
    "SideReport",
    "Standing",
    "StopJob",
    "SuspectRow",
    "TakenRow",
    "TaskOrder",
    "WorkerState",
]


class RunEnd(enum.StrEnum):
    """Define how a run of a task can end."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    # The worker aborted the run because its lease expired, or the worker itself ended.
    LOST = "lost"
    # The run was not started and never will be.
    NOT_STARTED = "not_started"
    # The run was not started, because another entry has taken over its job.
    MOVED = "moved"
    # The run was not started, because its job was cancelled through another entry.
    CANCELLED = "cancelled"

    @classmethod
    def _missing_(cls, value: object) -> RunEnd:
        # A job cannot rely on an end that only a newer peer knows, so the run counts as lost.
        return cls.LOST


class Standing(enum.StrEnum):
    """Define the states of a job at an entry."""

    UNKNOWN = "unknown"
    OPEN = "open"
    COMPLETED = "completed"
    FAILED = "failed"
    # Its caller has left, and may submit it again. Earlier versions send the same value for a job
    # that its caller has cancelled.
    ABANDONED = "cancelled"
    REFUSED = "refused"
    # Its caller has cancelled it, so it never runs again.
    CANCELLED = "cancelled_by_caller"

    @classmethod
    def _missing_(cls, value: object) -> Standing:
        return cls.UNKNOWN


class TaskOrder(msgspec.Struct, array_like=True, frozen=True):
    """Order one run of a task, with the resources that it needs."""

    step: int
    index: int
    attempt: int
    cpu_millis: int
    memory_mb: int
    gpus: int
    expected_ms: float
    # Time from receipt of the order to the latest start that lets the job meet its target.
    start_within_ms: float
    # How long the order may wait for free resources; 0 rejects it if there are none.
    wait_ms: float = 0.0
    # Whether the run may crash its worker, so that it starts there alone.
    isolated: bool = False


class SessionPing(Message, frozen=True):
    """Acknowledge a side process's reports up to a stamp."""

    # Stamp of the newest report that the entry has received, on the side process's clock.
    heard_ms: float
    # Whether the entry may send orders soon and needs a report at each change of free resources.
    warm: bool = True
    # Whether the entry tolerates infrequent reports while it has no runs.
    infrequent: bool = False


class RunTasks(Message, frozen=True):
    """Order runs of tasks of a job."""

    # A time on the side process's clock that has passed: the stamp of the newest report that the
    # entry has received, and the time since then. It does not tell the age of that report.
    heard_ms: float
    sequence: int
    job: str
    payload: str
    tasks: list[TaskOrder]
    # The queue of the job; empty if the sender does not say.
    queue: str = ""
    # WorkerState.revision when the tasks were placed; 0 if the sender does not say.
    revision: int = 0


class DropTasks(Message, frozen=True):
    """Withdraw a job's runs: waiting runs are dropped, started ones are stopped."""

    # As in SessionPing.
    heard_ms: float
    job: str


class ClearJob(Call, frozen=True):
    """Ask a side process to end other entries' runs of a job and to reject their orders for it."""

    job: str
    # Whether the job was cancelled, rather than taken over by the sender.
    cancelled: bool = False


class ClearedJob(Reply, frozen=True):
    """Confirm that no other entry's run of a job is left on the worker."""


class EndRow(msgspec.Struct, array_like=True, frozen=True):
    """Report the end of one run."""

    job: str
    step: int
    index: int
    attempt: int
    end: RunEnd
    # Time from the worker's acceptance of the run to its end; 0 if it was not started.
    ran_ms: float


class WorkerState(msgspec.Struct, array_like=True, frozen=True):
    """Describe the state of a worker as its side process sees it."""

    worker: str
    service: str
    accepting: bool
    capacity_cpu_millis: Integer
    capacity_memory_mb: Integer
    capacity_gpus: Integer
    free_cpu_millis: Integer
    free_memory_mb: Integer
    free_gpus: Integer
    waiting_tasks: Integer
    waiting_cpu_millis: Integer
    # Ratio of actual to expected run times on this worker; 1 is as expected.
    slowness: Number
    # After failures or time-outs the worker gets one task at a time, until it proves healthy.
    on_trial: bool
    labels: list[str]
    # When this instance of the worker started, in Unix milliseconds; 0 if it does not say.
    born_ms: Integer = 0
    # Whether no run is started because the data centre is evacuated.
    evacuated: bool = False
    # Increases whenever the instance, its service or its labels change, on one link; 0 if the side
    # process does not say.
    revision: Integer = 0


class SuspectRow(msgspec.Struct, array_like=True, frozen=True):
    """Report a run that was on a worker when it crashed."""

    job: str
    step: int
    index: int
    queue: str
    # Time from the start of the run to the crash.
    ran_ms: float
    # The probability that this run crashed the worker; 0 if unknown.
    share: float
    # Whether the worker was certainly up when the run was sent; otherwise it may not have started.
    started: bool = True


class QueueRow(msgspec.Struct, array_like=True, frozen=True):
    """Report how improbable it is that a queue's last start so shortly before a crash is chance."""

    queue: str
    # The negative natural logarithm of that probability; 1 on average if it is chance.
    surprise: float


class CrashRow(msgspec.Struct, array_like=True, frozen=True):
    """Report the crash of a worker instance, and the runs that were on it."""

    # The worker's name and birth.
    worker: str
    service: str
    # Time since the crash.
    age_ms: float
    suspects: list[SuspectRow]
    # The queues of these runs; empty if the time of the crash is unknown.
    queues: list[QueueRow]


class SideReport(Message, frozen=True):
    """Report a worker's state and the ends of the receiver's runs."""

    stamp_ms: float
    # Sequence number of the receiver's last order that the state includes.
    seen: int
    state: WorkerState
    ends: list[EndRow] = []
    # Crashes of the worker since the last report over this link.
    crashes: list[CrashRow] = []


class HostRow(msgspec.Struct, array_like=True, frozen=True):
    """Describe the address of one process; a machine may run several processes."""

    role: str
    address: str
    incarnation: str
    data_centre: str


class TakenRow(msgspec.Struct, array_like=True, frozen=True):
    """Report a job that an entry has accepted, with the time since then."""

    job: str
    age_ms: float
    # How long the sender keeps the job at most; 0 if it does not say.
    kept_for_ms: float = 0.0


class CancelledRow(msgspec.Struct, array_like=True, frozen=True):
    """Report a job that its caller has cancelled, with the time since then."""

    job: str
    age_ms: float


class DemandRow(msgspec.Struct, array_like=True, frozen=True):
    """Report the work of one service that waits at an entry, by the time it can still wait."""

    service: str
    # Cores and core-milliseconds of the waiting tasks in each band of slack, least slack first.
    cores: list[float]
    core_ms: list[float]


class ShareEvacuations(Message, frozen=True):
    """Report the evacuated data centres after all operator records before a position."""

    position: int
    data_centres: list[str]


class EntryPing(Message, frozen=True):
    """Report the jobs accepted since the last ping, and the version of the configuration."""

    configuration: int
    taken: list[TakenRow]
    # Address at which the sender accepts links.
    address: str
    # Whether the sender ends as soon as its jobs have ended.
    draining: bool = False
    # Whether the receiver answers with PeerPing.
    answer: bool = True
    # The position of the sender's evacuation state in the operators' topic; 0 if it has none.
    operator_position: int = 0
    # The work that waits at the sender; None if it does not say.
    demand: list[DemandRow] | None = None
    # The work that arrives at the sender per second, by bands of run time; None if it does not say.
    offered: list[DemandRow] | None = None
    # The jobs cancelled through the sender since the last ping, and through any entry in the first.
    cancelled: list[CancelledRow] = []


class PeerPing(Message, frozen=True):
    """Keep a link alive."""


class ShareConfiguration(Message, frozen=True):
    """Send a peer the newest known configuration, as it was published."""

    version: int
    document: bytes


class ShareHosts(Message, frozen=True):
    """Send a peer the known processes."""

    hosts: list[HostRow]


class ShowStanding(Call, frozen=True):
    """Ask a peer for the state of a job; with release, the peer also abandons an open job."""

    job: str
    release: bool = False


class StopJob(Call, frozen=True):
    """Ask a peer to cancel a job."""

    job: str
    # Address at which the sender accepts links.
    address: str = ""


class JobStanding(Reply, frozen=True):
    """Return the state of a job."""

    standing: Standing
    # Whether side processes reject orders for the job from all entries but the sender.
    cleared: bool = False


class ReportJobs(Call, frozen=True):
    """Report jobs accepted before the sender was out of contact, and ask who accepted them later.

    A peer that accepts one of them after this call has the sender release it.
    """

    jobs: list[TakenRow]
    # Address at which the sender accepts links.
    address: str


class ReportedJobs(Reply, frozen=True):
    """Return the last acceptances of the reported jobs at other entries, as the receiver knows."""

    taken: list[TakenRow]
    # The reported jobs that their callers have cancelled.
    cancelled: list[CancelledRow] = []
