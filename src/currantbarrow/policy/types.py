"""Gather the decisions that vary, as interfaces, and what they are asked about."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Protocol

import msgspec

from currantbarrow.protocol import RefusedReason

__all__ = [
    "Admission",
    "AdmissionRequest",
    "Estimator",
    "Placement",
    "QueuedTask",
    "Refusal",
    "RetryPolicy",
    "StragglerPolicy",
    "TaskQueue",
    "WorkerHealth",
    "WorkerView",
]


class QueuedTask:
    """Hold one task that waits at its owner, never started so far."""

    __slots__ = (
        "arrived_ms",
        "attempt",
        "cost_ms",
        "customer",
        "index",
        "job_class",
        "job_id",
        "job_tasks",
        "size_slots",
        "target_ms",
    )

    def __init__(
        self,
        job_id: bytes,
        index: int,
        *,
        customer: str,
        job_class: str,
        arrived_ms: float,
        target_ms: float,
        cost_ms: float,
        size_slots: int = 1,
        job_tasks: int = 1,
    ) -> None:
        self.job_id = job_id
        self.index = index
        self.customer = customer
        self.job_class = job_class
        self.arrived_ms = arrived_ms
        self.target_ms = target_ms
        self.cost_ms = cost_ms
        self.size_slots = size_slots
        self.job_tasks = job_tasks
        self.attempt = 0


class WorkerView:
    """Hold what an owner knows of one worker: its own starts exactly, the rest as reported."""

    __slots__ = (
        "data_centre",
        "incarnation",
        "leaving",
        "name",
        "others_slots",
        "own_slots",
        "queued",
        "rack",
        "reported_ms",
        "slots",
    )

    def __init__(self, name: str, incarnation: str, data_centre: str, rack: str) -> None:
        self.name = name
        self.incarnation = incarnation
        self.data_centre = data_centre
        self.rack = rack
        self.slots = 0
        # Slots that this owner's own open starts need, and those of all other owners.
        self.own_slots = 0
        self.others_slots = 0
        self.queued = 0
        self.leaving = False
        self.reported_ms = 0.0

    @property
    def free_slots(self) -> int:
        """Return the slots believed to be free, negative when tasks wait there."""
        return self.slots - self.own_slots - self.others_slots


class AdmissionRequest(msgspec.Struct, frozen=True):
    """Describe a job that asks to be let in, and the state of the system."""

    customer: str
    job_class: str
    target_ms: float
    task_costs_ms: list[float]
    largest_task_slots: int
    now_ms: float
    queue: TaskQueue
    workers: Sequence[WorkerView]
    # The number of entry processes that share the workers.
    owners: int = 1


class Refusal(msgspec.Struct, frozen=True):
    """Say why a job is not let in, and when it may be worth coming back."""

    code: str
    reason: str
    retry_after_ms: int = 0


class Admission(Protocol):
    """Decide whether a job is let in."""

    def decide(self, request: AdmissionRequest) -> Refusal | None:
        """Return a refusal, None to let the job in."""


class TaskQueue(Protocol):
    """Order waiting tasks, between customers and within each."""

    def add(self, task: QueuedTask) -> None:
        """Queue a new task."""

    def requeue(self, task: QueuedTask) -> None:
        """Put back a task that was taken and surely did not start."""

    def take(self, now_ms: float, target_below_ms: float = math.inf) -> QueuedTask | None:
        """Return the task to start next, of a class with a shorter target than one given."""

    def discard(self, job_id: bytes) -> list[QueuedTask]:
        """Remove a job's waiting tasks and return them."""

    def record_run_time(self, customer: str, job_class: str, cost_ms: float, run_ms: float) -> None:
        """Take note of the work that a started task took in the end."""

    def backlog_ms(self, customer: str | None = None) -> float:
        """Return the estimated work that waits, of one customer or of all."""

    def completion_work_ms(self, customer: str, target_ms: float, work_ms: float) -> float:
        """Return the work that is done by the time a customer's new work of a class is."""

    def __len__(self) -> int:
        """Return the number of waiting tasks."""


class Placement(Protocol):
    """Choose the worker for a task."""

    def choose(self, task: QueuedTask, workers: Sequence[WorkerView]) -> WorkerView | None:
        """Return a worker, None to keep the task waiting."""


class WorkerHealth(Protocol):
    """Judge workers by how their tasks end."""

    def record_start(self, worker: str, now_ms: float) -> None:
        """Take note of a task that was sent to a worker."""

    def record_end(
        self, worker: str, customer: str, job_class: str, ok: bool, now_ms: float
    ) -> None:
        """Take note of one task's end on a worker."""

    def is_usable(self, worker: str, now_ms: float) -> bool:
        """Tell whether a worker may get a task now."""


class RetryPolicy(Protocol):
    """Decide about starts that were refused, which proves that nothing ran."""

    def delay_ms(self, reason: RefusedReason, attempt: int, now_ms: float) -> float | None:
        """Return how long to wait before the next attempt, None to give up."""


class Estimator(Protocol):
    """Estimate run times from what was declared and what was measured."""

    def estimate_ms(self, customer: str, job_class: str, declared_ms: float) -> float:
        """Return the expected run time of a task."""

    def record(self, customer: str, job_class: str, declared_ms: float, run_ms: float) -> None:
        """Learn from the run time of a task that ended."""


class StragglerPolicy(Protocol):
    """Decide how long a task may run before it is stopped."""

    def stop_after_ms(self, customer: str, job_class: str, estimate_ms: float) -> float:
        """Return the bound for a task's run time, 0 for none."""
