"""Define jobs, their steps and resource requirements, and classes of work."""

from __future__ import annotations

import enum

import msgspec

from currantbarrow.decoding import Count

__all__ = ["JobSpec", "JobState", "Resources", "StepSpec", "WorkQueue"]


class Resources(msgspec.Struct, frozen=True):
    """Describe the resources that a task requires or that a worker has."""

    cpu_millis: Count = 0
    memory_mb: Count = 0
    gpus: Count = 0

    def plus(self, other: Resources) -> Resources:
        """Return the sum."""
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def minus(self, other: Resources) -> Resources:
        """Return the difference, which may be negative."""
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )

    def covers(self, other: Resources) -> bool:
        """Return whether these resources are sufficient for a requirement."""
        return (
            self.cpu_millis >= other.cpu_millis
            and self.memory_mb >= other.memory_mb
            and self.gpus >= other.gpus
        )


class StepSpec(msgspec.Struct, frozen=True):
    """Describe a step of a job, with tasks that have the same requirements."""

    count: int
    resources: Resources
    estimate_ms: float
    required_label: str = ""
    # Indices of the steps whose tasks must all be done first.
    after: tuple[int, ...] = ()
    # The rack near the tasks' data; on others they take longer. Empty if there is none.
    affinity: str = ""
    # At most this many tasks of the step may be on one worker; 0 for no limit.
    max_per_worker: int = 0
    # Whether the tasks take longer if they are on more than one rack.
    same_rack: bool = False


class JobSpec(msgspec.Struct, frozen=True):
    """Describe a job as submitted by its caller."""

    job_id: str
    payload: str
    steps: tuple[StepSpec, ...]


class WorkQueue(msgspec.Struct, frozen=True):
    """Describe a class of work: host and path, service, priority and response-time target."""

    name: str
    host: str
    path_prefix: str
    service: str
    # Configured precedence under overload, lower numbers first; not read by the dispatcher.
    priority: int
    # Time allowed in addition to the expected run time multiplied by `stretch`.
    target_ms: float
    # Multiple of its expected run time that a job may take, before `target_ms` is added.
    stretch: float
    max_attempts: int
    # Configured time after which the caller's connection is closed, 0 for no limit; not read by
    # the dispatcher.
    timeout_ms: float
    # Whether a platform service has to name the workers that may run each step.
    needs_placement_advice: bool = False


class JobState(enum.StrEnum):
    """Define the states of a job."""

    OPEN = "open"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    # The caller has left.
    ABANDONED = "abandoned"
    # No task of the job has run or will run.
    REFUSED = "refused"
    # Another entry has taken over the job.
    MOVED = "moved"
