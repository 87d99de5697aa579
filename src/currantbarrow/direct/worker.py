"""Define the interface between a side process and the worker on its host."""

from __future__ import annotations

import enum
from typing import Protocol

import msgspec

from currantbarrow.decoding import Count, Integer, Number
from currantbarrow.direct.model import Resources
from currantbarrow.protocol.direct import RunEnd

__all__ = [
    "Announcement",
    "InstanceName",
    "NOT_ANNOUNCED",
    "RunName",
    "RunSpec",
    "StartAnswer",
    "StartVerdict",
    "WorkerControl",
    "WorkerEnd",
    "PollResult",
    "create_unknown_announcement",
]

# Precedes every sequence number that a worker sends.
NOT_ANNOUNCED = -1


class InstanceName(msgspec.Struct, frozen=True):
    """Identify an instance of a worker; a later one may have the same id, but not its birth."""

    worker: str
    # When the instance started, in Unix milliseconds; 0 if it does not say.
    born_ms: int = 0

    def __str__(self) -> str:
        return f"{self.worker}@{self.born_ms}" if self.born_ms else self.worker


class RunName(msgspec.Struct, frozen=True):
    """Identify one run of a task; later runs of a task have higher numbers."""

    job: str
    step: int
    index: int
    number: int

    @property
    def task(self) -> tuple[str, int, int]:
        """Return the job, step and index of the task."""
        return self.job, self.step, self.index


class RunSpec(msgspec.Struct, frozen=True):
    """Describe a run for the worker that is to start it."""

    name: RunName
    payload: str


class Announcement(msgspec.Struct, frozen=True):
    """Describe a worker, as it announces itself to its side process."""

    worker: str
    service: str
    capacity: Resources
    labels: frozenset[str]
    leaving: bool
    # Increases with each announcement of one worker instance.
    sequence: Integer
    # When the instance started, in Unix milliseconds; 0 if it does not say.
    born_ms: Count = 0
    # How much longer the worker is slow after its start.
    cold_remaining_ms: Number = 0.0


def create_unknown_announcement(worker: str, born_ms: int) -> Announcement:
    """Create the placeholder for an instance that has not announced itself yet."""
    return Announcement(worker, "", Resources(), frozenset(), False, NOT_ANNOUNCED, born_ms)


class StartVerdict(enum.Enum):
    """Classify a worker's answer to a start request."""

    STARTED = "started"
    # The worker has seen a higher fencing token, from another process.
    FENCED = "fenced"
    # A run of the task with this number or a higher one has ended or was stopped.
    OUTDATED = "outdated"
    # The lease in the request had already expired on the worker's clock.
    LEASE_EXPIRED = "late"
    INSUFFICIENT_RESOURCES = "no_room"
    INVALID = "invalid"
    # The worker reports that it is unhealthy, and has not started the run.
    UNHEALTHY = "unwell"


class StartAnswer(msgspec.Struct, frozen=True):
    """Contain a worker's answer to a start request, and the time on its clock if it sent it."""

    verdict: StartVerdict
    clock_ms: float | None


class WorkerEnd(msgspec.Struct, frozen=True):
    """Record the end of one run, with its position in the worker's list of ends."""

    position: int
    name: RunName
    end: RunEnd


class PollResult(msgspec.Struct, frozen=True):
    """List a worker's current runs and the ends that were not acknowledged yet."""

    clock_ms: float
    running: list[RunName]
    ends: list[WorkerEnd]
    # When the instance that answered started, in Unix milliseconds; 0 if it does not say.
    born_ms: int = 0


class WorkerControl(Protocol):
    """Send commands to one worker instance.

    timeout_ms bounds the whole call. Calls raise WorkerSilent when no answer arrived, in which case
    the command may still be executed; WorkerUnreached when it was certainly not executed, and
    WorkerAbsent when no process listens at the worker's address, so that the worker has ended; and
    WorkerReplaced when an instance with a different id answered. An instance with the same id and
    another birth answers like the one that the command was meant for; only polls return the birth.
    """

    async def start(
        self, worker: str, run: RunSpec, lease_until_ms: float, token: int, timeout_ms: float
    ) -> StartAnswer:
        """Start a run; the lease ends by the worker's clock and covers all of its runs."""

    async def stop(self, worker: str, run: RunName, token: int, timeout_ms: float) -> bool:
        """Stop a run and reject its start if it arrives later; return False when fenced."""

    async def poll(
        self,
        worker: str,
        token: int,
        *,
        acknowledged_end: int,
        lease_until_ms: float | None,
        wait_ms: float,
        timeout_ms: float,
    ) -> PollResult | None:
        """Return current runs and ends, and renew the lease; return None when fenced.

        The worker answers at once if it has unacknowledged ends, otherwise after up to wait_ms.
        It discards the ends up to position acknowledged_end.
        """
