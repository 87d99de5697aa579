"""Parse jobs in the format of the platform's callers."""

from __future__ import annotations

import re

import msgspec

from currantbarrow.decoding import Integer, decode_json
from currantbarrow.direct.model import JobSpec, Resources, StepSpec
from currantbarrow.exceptions import JobInvalid, ValueUndecodable

__all__ = ["MAX_TASKS", "is_job_id", "parse_job"]

JOB_ID = re.compile(r"[0-9a-f]{16}")
MAX_SPEC_BYTES = 4000
# An entry keeps an object for each task, so a larger job could take all of its memory. The largest
# jobs that are planned for have a tenth of this.
MAX_TASKS = 2200
# Tasks take some seconds at the most. Sums and logarithms of larger times are no longer finite.
MAX_ESTIMATE_MS = 86_400_000.0


class _Phase(msgspec.Struct):
    """Describe a step of a job in the platform's format; all its tasks are alike."""

    count: Integer
    # Thousandths of a core.
    cpu: Integer = 0
    mem_mb: Integer = 0
    gpus: Integer = 0
    estimate_ms: float = 0.0
    after: list[Integer] = []
    requires: str = ""
    gang: bool = False
    fills: bool = False
    # A rack label.
    affinity: str | None = None
    # At most this many tasks on one worker; 0 for no limit.
    anti_affinity: Integer = 0
    rack_local: bool | None = None
    may_miss: Integer = 0


class _Body(msgspec.Struct):
    spec: str
    phases: list[_Phase]
    # The job is answered when it ends, and its result is not kept for later requests.
    best_effort: bool = False
    long_running: bool = False
    repeats: int = 0
    start_at_ms: float = 0.0


def is_job_id(job_id: str) -> bool:
    """Return whether a job may have this id."""
    return JOB_ID.fullmatch(job_id) is not None


def parse_job(job_id: str, body: bytes) -> JobSpec:
    """Parse a job; raise JobInvalid, with code "unsupported" for unsupported features."""
    if not is_job_id(job_id):
        raise JobInvalid("the id has to have 16 hexadecimal digits", field="id")
    try:
        request = decode_json(body, _Body)
    except ValueUndecodable as error:
        raise JobInvalid(str(error)) from error
    if len(request.spec.encode()) > MAX_SPEC_BYTES:
        raise JobInvalid(f"at most {MAX_SPEC_BYTES} bytes", field="spec")
    _check_steps(request.phases)
    _check_supported(request)
    return JobSpec(job_id, request.spec, tuple(_parse_step(phase) for phase in request.phases))


def _parse_step(phase: _Phase) -> StepSpec:
    return StepSpec(
        phase.count,
        Resources(phase.cpu, phase.mem_mb, phase.gpus),
        phase.estimate_ms,
        phase.requires,
        tuple(phase.after),
        phase.affinity or "",
        phase.anti_affinity,
        bool(phase.rack_local),
    )


def _check_steps(phases: list[_Phase]) -> None:
    if not phases:
        raise JobInvalid("a job has at least one step", field="phases")
    if sum(phase.count for phase in phases) > MAX_TASKS:
        raise JobInvalid(f"at most {MAX_TASKS} tasks", field="phases.count")
    for position, phase in enumerate(phases):
        if not 0 <= phase.estimate_ms <= MAX_ESTIMATE_MS:
            raise JobInvalid(
                f"an estimate is from 0 to {MAX_ESTIMATE_MS:.0f} ms", field="phases.estimate_ms"
            )
        if phase.count < 1 or min(phase.cpu, phase.mem_mb, phase.gpus) < 0:
            raise JobInvalid(
                "a step has at least one task, and sizes of at least 0", field="phases"
            )
        if phase.anti_affinity < 0:
            raise JobInvalid("a limit is at least 0", field="phases.anti_affinity")
        if any(dependency < 0 or dependency >= position for dependency in phase.after):
            raise JobInvalid("a step comes after earlier ones only", field="phases.after")


def _check_supported(request: _Body) -> None:
    """Reject jobs that use unsupported features."""
    unsupported = [
        name
        for name, requested in (
            ("kept jobs", not request.best_effort),
            ("lasting tasks", request.long_running),
            ("repeats", request.repeats > 0 or request.start_at_ms > 0),
            ("gangs", any(phase.gang for phase in request.phases)),
            ("filling tasks", any(phase.fills for phase in request.phases)),
        )
        if requested
    ]
    if unsupported:
        raise JobInvalid(f"not served: {', '.join(unsupported)}", code="unsupported")
