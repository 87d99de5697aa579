"""Hold jobs that live with the entry that took them, and what they need."""

from __future__ import annotations

import enum

import msgspec

__all__ = ["JobSpec", "JobState", "Resources", "StepSpec", "WorkQueue"]


class Resources(msgspec.Struct, frozen=True):
    """Measure what a task takes up on a worker, or what a worker has."""

    cpu_millis: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def plus(self, other: Resources) -> Resources:
        """Return both together."""
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def minus(self, other: Resources) -> Resources:
        """Return what is left without another; it may be below nothing."""
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )

    def covers(self, other: Resources) -> bool:
        """Tell whether there is room for another."""
        return (
            self.cpu_millis >= other.cpu_millis
            and self.memory_mb >= other.memory_mb
            and self.gpus >= other.gpus
        )


class StepSpec(msgspec.Struct, frozen=True):
    """Describe the alike tasks of one step of a job."""

    count: int
    resources: Resources
    estimate_ms: float
    required_label: str = ""
    # The steps, by their place, whose tasks must all be done before.
    after: tuple[int, ...] = ()


class JobSpec(msgspec.Struct, frozen=True):
    """Describe a job as its caller handed it in."""

    job_id: str
    payload: str
    steps: tuple[StepSpec, ...]


class WorkQueue(msgspec.Struct, frozen=True):
    """Describe a class of work: who may call it, its response target, its workers."""

    name: str
    host: str
    path_prefix: str
    service: str
    # Queues with a lower number go first where all can't be served.
    priority: int
    # What a job may take beyond its stretched work to be on time.
    target_ms: float
    # How many times its own work a job may take to be on time, before the target is added.
    stretch: float
    max_attempts: int
    # The time after which the caller's connection is given up; 0 is none.
    timeout_ms: float
    # Only some workers may run a step, and a service of the platform has to name them.
    needs_placement_advice: bool = False


class JobState(enum.StrEnum):
    """Name what becomes of a job."""

    OPEN = "open"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    # Nothing of the job has run, and nothing will.
    REFUSED = "refused"
    # Another entry goes on with the job.
    MOVED = "moved"
