"""Read jobs as callers of the platform send them."""

from __future__ import annotations

import re

import msgspec

from currantbarrow.direct.model import JobSpec, Resources, StepSpec
from currantbarrow.exceptions import JobInvalid

__all__ = ["parse_job"]

JOB_ID = re.compile(r"[0-9a-f]{16}")
MAX_SPEC_BYTES = 4000


class _Phase(msgspec.Struct):
    """Is a step; its tasks are alike."""

    count: int
    # In thousandths of a core.
    cpu: int = 0
    mem_mb: int = 0
    gpus: int = 0
    estimate_ms: float = 0.0
    after: list[int] = []
    requires: str = ""
    gang: bool = False
    fills: bool = False
    anti_affinity: int = 0
    may_miss: int = 0


class _Body(msgspec.Struct):
    spec: str
    phases: list[_Phase]
    # The answer is the job's end, and nobody asks for it later.
    best_effort: bool = False
    long_running: bool = False
    repeats: int = 0
    start_at_ms: float = 0.0


def parse_job(job_id: str, body: bytes) -> JobSpec:
    """Return a job; raise JobInvalid, with unsupported as code for what is not served."""
    if JOB_ID.fullmatch(job_id) is None:
        raise JobInvalid("the id has to have 16 hexadecimal digits", field="id")
    try:
        plain = msgspec.json.decode(body, type=_Body)
    except msgspec.MsgspecError as error:
        raise JobInvalid(str(error)) from error
    if len(plain.spec.encode()) > MAX_SPEC_BYTES:
        raise JobInvalid(f"at most {MAX_SPEC_BYTES} bytes", field="spec")
    _check_steps(plain.phases)
    _check_supported(plain)
    return JobSpec(job_id, plain.spec, tuple(_parse_step(phase) for phase in plain.phases))


def _parse_step(phase: _Phase) -> StepSpec:
    return StepSpec(
        phase.count,
        Resources(phase.cpu, phase.mem_mb, phase.gpus),
        phase.estimate_ms,
        phase.requires,
        tuple(phase.after),
    )


def _check_steps(phases: list[_Phase]) -> None:
    if not phases:
        raise JobInvalid("a job has at least one step", field="phases")
    for place, phase in enumerate(phases):
        if phase.count < 1 or min(phase.cpu, phase.mem_mb, phase.gpus) < 0:
            raise JobInvalid(
                "a step has at least one task, and sizes of at least 0", field="phases"
            )
        if any(before < 0 or before >= place for before in phase.after):
            raise JobInvalid("a step comes after earlier ones only", field="phases.after")


def _check_supported(plain: _Body) -> None:
    """Refuse what is not built, before anything of it runs."""
    unsupported = [
        name
        for name, requested in (
            ("kept jobs", not plain.best_effort),
            ("lasting tasks", plain.long_running),
            ("repeats", plain.repeats > 0 or plain.start_at_ms > 0),
            ("gangs", any(phase.gang for phase in plain.phases)),
            ("filling tasks", any(phase.fills for phase in plain.phases)),
            ("spread tasks", any(phase.anti_affinity for phase in plain.phases)),
        )
        if requested
    ]
    if unsupported:
        raise JobInvalid(f"not served: {', '.join(unsupported)}", code="unsupported")
