"""Classify how handing a task to a side process can fail, and what each failure proves."""

from __future__ import annotations

import enum

from currantbarrow.jobs import TaskState
from currantbarrow.protocol import RefusedReason, TaskResult

__all__ = [
    "DispatchFailure",
    "FailurePhase",
    "after_start",
    "answer_too_large",
    "before_sending",
    "outcome_unknown",
    "refused",
]


class FailurePhase(enum.StrEnum):
    """Name how far a dispatch had come when it failed."""

    BEFORE_SENDING = "before_sending"
    REFUSED = "refused"
    AFTER_START = "after_start"
    UNKNOWN = "unknown"


# Only these prove that the task never started; whatever is not proven is not tried again.
NOT_STARTED_PHASES = frozenset({FailurePhase.BEFORE_SENDING, FailurePhase.REFUSED})


class DispatchFailure:
    """Hold one failed dispatch of a task: its phase, the code for callers and the cause."""

    __slots__ = ("cause", "code", "phase")

    def __init__(self, phase: FailurePhase, code: str, cause: str) -> None:
        self.phase = phase
        self.code = code
        self.cause = cause

    @property
    def proves_not_started(self) -> bool:
        """Tell whether the task surely did not start, so that it may be sent again."""
        return self.phase in NOT_STARTED_PHASES

    @property
    def task_state(self) -> TaskState:
        """Return what is known of the task."""
        if self.proves_not_started:
            return TaskState.NOT_RUN
        return TaskState.RAN if self.phase is FailurePhase.AFTER_START else TaskState.UNKNOWN


def before_sending(cause: str) -> DispatchFailure:
    """Classify a start that never left this process."""
    return DispatchFailure(FailurePhase.BEFORE_SENDING, "not_started", cause)


def refused(reason: RefusedReason | None) -> DispatchFailure:
    """Classify a start that the receiver refused, or says that it never took and never will."""
    cause = f"no worker took a task: {reason}" if reason else "the task never reached its worker"
    return DispatchFailure(FailurePhase.REFUSED, "not_started", cause)


def after_start(result: TaskResult) -> DispatchFailure:
    """Classify a task that was started and did not end well."""
    if result.state is TaskState.UNKNOWN:
        return outcome_unknown(result.error)
    return DispatchFailure(FailurePhase.AFTER_START, "task_failed", result.error)


def answer_too_large() -> DispatchFailure:
    """Classify a task whose result does not fit into the job's answer any more."""
    cause = "the results of the job are too large to be kept and sent"
    return DispatchFailure(FailurePhase.AFTER_START, "answer_too_large", cause)


def outcome_unknown(cause: str) -> DispatchFailure:
    """Classify a start whose receiver can no longer be asked."""
    return DispatchFailure(FailurePhase.UNKNOWN, "outcome_unknown", cause)
