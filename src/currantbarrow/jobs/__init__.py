"""Jobs, tasks and their answers, and the table that detects duplicate submissions."""

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
from currantbarrow.jobs.size import (
    MAX_ANSWER_BYTES,
    MAX_PART_BYTES,
    MAX_VALUE_BYTES,
    count_bytes,
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
    "MAX_ANSWER_BYTES",
    "MAX_PART_BYTES",
    "MAX_VALUE_BYTES",
    "count_bytes",
    "make_job_id",
    "retention_ms",
    "shard_of",
]
