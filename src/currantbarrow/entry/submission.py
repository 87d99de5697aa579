"""Read callers' submissions, naming the field of every mistake."""

from __future__ import annotations

import uuid
from typing import Any

import msgspec

from currantbarrow.exceptions import JobInvalid
from currantbarrow.jobs import JobRequest, TaskRequest

__all__ = ["creation_time_ms", "read_submission"]

UUID7_VERSION = 7
UUID7_TIME_SHIFT = 80
MAX_KEY_CHARS = 200


class _Task(msgspec.Struct, forbid_unknown_fields=True):
    payload: Any = None
    declared_ms: float = 0.0
    size_slots: int = 1
    idempotent: bool = False


class _Submission(msgspec.Struct, forbid_unknown_fields=True):
    key: str
    customer: str
    job_class: str = msgspec.field(name="class")
    tasks: list[_Task]
    created_at_ms: int | None = None
    wait: bool = True


def read_submission(body: bytes, max_tasks: int) -> tuple[JobRequest, bool]:
    """Return a job and whether its caller waits for the answer; raise JobInvalid."""
    try:
        submission = msgspec.json.decode(body, type=_Submission)
    except msgspec.ValidationError as error:
        message, _, path = str(error).partition(" - at `$")
        raise JobInvalid(message, field=path.strip("`.")) from error
    except msgspec.DecodeError as error:
        raise JobInvalid(f"the body is not JSON: {error}", code="json_invalid") from error
    _check(submission, max_tasks)
    tasks = [
        TaskRequest(task.payload, task.declared_ms, task.size_slots, task.idempotent)
        for task in submission.tasks
    ]
    created_at_ms = creation_time_ms(submission.key, submission.created_at_ms)
    request = JobRequest(
        submission.key, created_at_ms, submission.customer, submission.job_class, tasks
    )
    return request, submission.wait


def creation_time_ms(key: str, created_at_ms: int | None) -> int:
    """Return a key's creation time, its own or the one given beside it; raise JobInvalid."""
    if created_at_ms is not None:
        return created_at_ms
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        parsed = None
    if parsed is None or parsed.version != UUID7_VERSION:
        message = "a key that is no UUIDv7 needs its creation time in created_at_ms"
        raise JobInvalid(message, field="created_at_ms", code="key_without_time")
    return parsed.int >> UUID7_TIME_SHIFT


def _check(submission: _Submission, max_tasks: int) -> None:
    if not 0 < len(submission.key) <= MAX_KEY_CHARS:
        raise JobInvalid(f"a key has 1 to {MAX_KEY_CHARS} characters", field="key")
    if not submission.customer:
        raise JobInvalid("the customer is missing", field="customer")
    if not 0 < len(submission.tasks) <= max_tasks:
        raise JobInvalid(f"a job has 1 to {max_tasks} tasks", field="tasks")
    for index, task in enumerate(submission.tasks):
        if task.size_slots < 1:
            raise JobInvalid("a task needs at least 1 slot", field=f"tasks[{index}].size_slots")
        if task.declared_ms < 0:
            raise JobInvalid("a run time is not negative", field=f"tasks[{index}].declared_ms")
