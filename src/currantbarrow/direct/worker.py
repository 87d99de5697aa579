"""Tell what a side process asks of the worker beside it."""

from __future__ import annotations

import enum
from typing import Protocol

import msgspec

from currantbarrow.direct.model import Resources
from currantbarrow.protocol.direct import RunEnd

__all__ = [
    "Announcement",
    "RunName",
    "RunSpec",
    "StartAnswer",
    "StartVerdict",
    "WorkerControl",
    "WorkerEnd",
    "PollResult",
]


class RunName(msgspec.Struct, frozen=True):
    """Name one run of a task; a higher number is a later run."""

    job: str
    step: int
    index: int
    number: int

    @property
    def task(self) -> tuple[str, int, int]:
        """Return the task that this is a run of."""
        return self.job, self.step, self.index


class RunSpec(msgspec.Struct, frozen=True):
    """Hold what a worker needs to begin a run."""

    name: RunName
    payload: str


class Announcement(msgspec.Struct, frozen=True):
    """Hold what a worker says of itself."""

    worker: str
    service: str
    capacity: Resources
    labels: frozenset[str]
    leaving: bool
    # Rises with each announcement of one life of a worker.
    sequence: int


class StartVerdict(enum.Enum):
    """Name a worker's answer to the order to begin a run."""

    STARTED = "started"
    # Another process has given orders under a higher fencing token.
    FENCED = "fenced"
    # A run of this number or above ended or was stopped there.
    OUTDATED = "outdated"
    # The lease in the order had passed on the worker's clock.
    LEASE_EXPIRED = "late"
    INSUFFICIENT_RESOURCES = "no_room"
    INVALID = "invalid"
    # The worker says that it is unwell and has done nothing.
    UNHEALTHY = "unwell"


class StartAnswer(msgspec.Struct, frozen=True):
    """Hold a worker's answer to a start, with its clock."""

    verdict: StartVerdict
    clock_ms: float | None


class WorkerEnd(msgspec.Struct, frozen=True):
    """Hold one end in a worker's list, by its place there."""

    position: int
    name: RunName
    end: RunEnd


class PollResult(msgspec.Struct, frozen=True):
    """Hold what runs on a worker, and the ends that were not taken note of yet."""

    clock_ms: float
    running: list[RunName]
    ends: list[WorkerEnd]


class WorkerControl(Protocol):
    """Give orders to one life of a worker.

    Patience is how long to wait for an answer in all. Calls raise WorkerSilent when there was no
    answer, so that the order may still be carried out; WorkerUnreached when it surely was not;
    WorkerReplaced when another life answered.
    """

    async def start(
        self, worker: str, run: RunSpec, lease_until_ms: float, token: int, timeout_ms: float
    ) -> StartAnswer:
        """Begin a run; the lease is a time on the worker's clock and holds for all its runs."""

    async def stop(self, worker: str, run: RunName, token: int, timeout_ms: float) -> bool:
        """Stop a run, and have later arrivals of its start rejected; False when fenced."""

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
        """Return the lists, after a wait for an end, and renew leases; None when fenced."""
