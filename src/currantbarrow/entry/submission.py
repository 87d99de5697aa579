"""Decode and validate submissions; errors name the invalid field."""

from __future__ import annotations

import re
import uuid
from typing import Annotated, Any

import msgspec

from currantbarrow.exceptions import JobInvalid, ValueTooComplex
from currantbarrow.jobs import JobRequest, TaskRequest
from currantbarrow.protocol.values import check_value

__all__ = ["SubmissionBody", "creation_time_ms", "read_name", "read_submission"]

UUID7_VERSION = 7
UUID7_TIME_SHIFT = 80
# Names are part of a job's identity, so they must not contain control characters.
NAME_PATTERN = r"^[^\x00-\x1f\x7f]{1,200}$"
MAX_TIME_MS = 2**53
MAX_DURATION_MS = 86_400_000.0
MAX_SLOTS = 100_000
# msgspec's message for an unknown or missing field names the field, but its path omits it.
_FIELD_ERROR = re.compile(r"(?:unknown|missing required) field `([^`]*)`")

_Name = Annotated[str, msgspec.Meta(pattern=NAME_PATTERN)]
_TimeMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_TIME_MS)]
_DurationMs = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_DURATION_MS)]
_Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]


class TaskSubmission(msgspec.Struct, forbid_unknown_fields=True):
    """Take in one task of a submission."""

    payload: Any = None
    declared_ms: _DurationMs = 0.0
    size_slots: _Slots = 1
    idempotent: bool = False


class SubmissionBody(msgspec.Struct, forbid_unknown_fields=True):
    """Take in a job; a key that is no UUIDv7 needs its creation time beside it."""

    key: _Name
    customer: _Name
    job_class: _Name = msgspec.field(name="class")
    tasks: list[TaskSubmission]
    created_at_ms: _TimeMs | None = None
    wait: bool = True
    # Time from acceptance after which the answer is no longer needed; 0 for no limit.
    timeout_ms: _DurationMs = 0.0


def read_submission(body: bytes, max_tasks: int) -> tuple[JobRequest, bool]:
    """Return a job and whether its caller waits for the answer; raise JobInvalid."""
    submission = _decode(body)
    # The `$` of the pattern accepts a newline at the end; the full match in read_name does not.
    read_name(submission.key, "key")
    read_name(submission.customer, "customer")
    read_name(submission.job_class, "class")
    if not 0 < len(submission.tasks) <= max_tasks:
        raise JobInvalid(f"a job has 1 to {max_tasks} tasks", field="tasks", code="task_count")
    created_at_ms = creation_time_ms(submission.key, submission.created_at_ms)
    tasks = [_read_task(index, task) for index, task in enumerate(submission.tasks)]
    request = JobRequest(
        submission.key,
        created_at_ms,
        submission.customer,
        submission.job_class,
        tasks,
        submission.timeout_ms,
    )
    return request, submission.wait


def read_name(text: str | None, field: str) -> str:
    """Return a name if it is valid; raise JobInvalid."""
    if not text or not re.fullmatch(NAME_PATTERN, text):
        raise JobInvalid("a name has 1 to 200 characters, none a control character", field=field)
    return text


def creation_time_ms(key: str, created_at_ms: int | None) -> int:
    """Return the creation time that was passed, or that of a UUIDv7 key; raise JobInvalid."""
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


def _decode(body: bytes) -> SubmissionBody:
    try:
        return msgspec.json.decode(body, type=SubmissionBody)
    except msgspec.ValidationError as error:
        message, _, path = str(error).partition(" - at `$")
        raise JobInvalid(message, field=_field_path(message, path)) from error
    except msgspec.DecodeError as error:
        raise JobInvalid(f"the body is not JSON: {error}", code="json_invalid") from error
    except RecursionError as error:
        raise JobInvalid("the body is nested too deep", code="json_invalid") from error


def _field_path(message: str, path: str) -> str:
    parent = path.strip("`.")
    field_error = _FIELD_ERROR.search(message)
    if field_error is None:
        return parent
    return f"{parent}.{field_error[1]}" if parent else field_error[1]


def _read_task(index: int, task: TaskSubmission) -> TaskRequest:
    try:
        check_value(task.payload, f"tasks[{index}].payload")
    except ValueTooComplex as error:
        raise JobInvalid(str(error), field=error.path, code=error.code) from error
    return TaskRequest(task.payload, task.declared_ms, task.size_slots, task.idempotent)
