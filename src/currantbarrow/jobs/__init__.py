"""Model jobs and tasks, and keep the table that removes duplicates."""

from currantbarrow.jobs.model import (
    SHARD_COUNT,
    JobAnswer,
    JobRequest,
    JobStatus,
    TaskAnswer,
    TaskRequest,
    TaskRun,
    TaskRunResult,
    TaskState,
    digest_request,
    make_job_id,
    retention_ms,
    shard_of,
)

__all__ = [
    "SHARD_COUNT",
    "JobAnswer",
    "JobRequest",
    "JobStatus",
    "TaskAnswer",
    "TaskRequest",
    "TaskRun",
    "TaskRunResult",
    "TaskState",
    "digest_request",
    "make_job_id",
    "retention_ms",
    "shard_of",
]
