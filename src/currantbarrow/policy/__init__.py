"""Scheduling policies: admission, queueing, placement, health and retries; no I/O."""

from currantbarrow.policy.bundle import Policies, create_policies
from currantbarrow.policy.types import (
    Admission,
    AdmissionRequest,
    Estimator,
    Placement,
    QueuedTask,
    Refusal,
    RetryPolicy,
    StragglerPolicy,
    TaskQueue,
    WorkerHealthPolicy,
    WorkerView,
)

__all__ = [
    "Admission",
    "AdmissionRequest",
    "Estimator",
    "Placement",
    "Policies",
    "QueuedTask",
    "Refusal",
    "RetryPolicy",
    "StragglerPolicy",
    "TaskQueue",
    "WorkerHealthPolicy",
    "WorkerView",
    "create_policies",
]
