"""Define the interfaces of the scheduling policies, and the data that they work on."""

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
    "WorkerHealthPolicy",
    "WorkerView",
]


class QueuedTask:
    """Describe a task that waits at its owner and has not been started."""

    __slots__ = (
        "arrived_ms",
        "attempt",
        "cost_ms",
        "customer",
        "index",
        "job_class",
        "job_id",
        "job_task_count",
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
        job_task_count: int = 1,
    ) -> None:
        self.job_id = job_id
        self.index = index
        self.customer = customer
        self.job_class = job_class
        self.arrived_ms = arrived_ms
        self.target_ms = target_ms
        # The estimated run time.
        self.cost_ms = cost_ms
        self.size_slots = size_slots
        self.job_task_count = job_task_count
        self.attempt = 0


class WorkerView:
    """Describe one worker as an owner knows it.

    The owner counts the slots of its own started tasks itself; other load is as last reported by
    the worker's side process.
    """

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
        # Slots in use by this owner's started tasks, and by those of all other owners.
        self.own_slots = 0
        self.others_slots = 0
        # Tasks that wait for a slot at the worker.
        self.queued = 0
        self.leaving = False
        self.reported_ms = 0.0

    @property
    def free_slots(self) -> int:
        """Return the estimated number of free slots, negative if tasks are queued there."""
        return self.slots - self.own_slots - self.others_slots


class AdmissionRequest(msgspec.Struct, frozen=True):
    """Describe a job to admit, with the queue and the workers that the decision depends on."""

    customer: str
    job_class: str
    target_ms: float
    task_costs_ms: list[float]
    largest_task_slots: int
    now_ms: float
    queue: TaskQueue
    workers: Sequence[WorkerView]
    # Number of entry processes that share the workers.
    entry_count: int = 1


class Refusal(msgspec.Struct, frozen=True):
    """Report why a job is not admitted, and when a retry may succeed."""

    code: str
    reason: str
    retry_after_ms: int = 0


class Admission(Protocol):
    """Decide whether a job is admitted."""

    def decide(self, request: AdmissionRequest) -> Refusal | None:
        """Return a refusal, or None to admit the job."""


class TaskQueue(Protocol):
    """Order waiting tasks between customers and within each customer."""

    def add(self, task: QueuedTask) -> None:
        """Queue a new task."""

    def requeue(self, task: QueuedTask) -> None:
        """Put back a taken task that is known not to have started."""

    def take(self, now_ms: float, target_below_ms: float = math.inf) -> QueuedTask | None:
        """Remove and return the next task with a target below the given one, or None."""

    def discard(self, job_id: bytes) -> list[QueuedTask]:
        """Remove a job's waiting tasks and return them."""

    def record_run_time(self, customer: str, job_class: str, cost_ms: float, run_ms: float) -> None:
        """Record the run time of a started task, to correct the estimate charged for it."""

    def backlog_ms(self, customer: str | None = None) -> float:
        """Return the estimated waiting work of one customer, or of all."""

    def work_until_completion_ms(self, customer: str, target_ms: float, work_ms: float) -> float:
        """Return the estimated work, in ms, served until new work of a customer completes.

        The new work, work_ms, is included.
        """

    def __len__(self) -> int:
        """Return the number of waiting tasks."""


class Placement(Protocol):
    """Choose the worker for a task."""

    def choose(self, task: QueuedTask, workers: Sequence[WorkerView]) -> WorkerView | None:
        """Return a worker, or None to keep the task queued."""


class WorkerHealthPolicy(Protocol):
    """Decide from task outcomes which workers are usable."""

    def record_start(self, worker: str, now_ms: float) -> None:
        """Record a task that was sent to a worker."""

    def record_end(
        self, worker: str, customer: str, job_class: str, ok: bool, now_ms: float
    ) -> None:
        """Record the outcome of a task on a worker."""

    def is_usable(self, worker: str, now_ms: float) -> bool:
        """Return whether a worker may be given a task now."""


class RetryPolicy(Protocol):
    """Decide when to retry a refused start; a refusal proves that the task did not run."""

    def delay_ms(self, reason: RefusedReason, attempt: int, now_ms: float) -> float | None:
        """Return the delay before the next attempt, or None to stop retrying."""


class Estimator(Protocol):
    """Estimate run times from declared and measured ones."""

    def estimate_ms(self, customer: str, job_class: str, declared_ms: float) -> float:
        """Return the expected run time of a task."""

    def record(self, customer: str, job_class: str, declared_ms: float, run_ms: float) -> None:
        """Record the measured run time of a task."""


class StragglerPolicy(Protocol):
    """Decide how long a task may run before it is stopped."""

    def stop_after_ms(self, customer: str, job_class: str, estimate_ms: float) -> float:
        """Return the run time after which a task is stopped, 0 for no timeout."""
