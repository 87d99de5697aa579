"""Classify how a dispatch to a side process can fail and whether the task may have run."""

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
    """List the phases in which a dispatch can fail."""

    BEFORE_SENDING = "before_sending"
    REFUSED = "refused"
    AFTER_START = "after_start"
    UNKNOWN = "unknown"


# Failures in these phases prove that the task never started. After a failure in any other
# phase the task may have run, so it is not retried.
NOT_STARTED_PHASES = frozenset({FailurePhase.BEFORE_SENDING, FailurePhase.REFUSED})


class DispatchFailure:
    """Describe a failed dispatch: its phase, the error code for callers and the cause."""

    __slots__ = ("cause", "code", "phase")

    def __init__(self, phase: FailurePhase, code: str, cause: str) -> None:
        self.phase = phase
        self.code = code
        self.cause = cause

    @property
    def proves_not_started(self) -> bool:
        """Return whether the task is proven not to have started and may be retried."""
        return self.phase in NOT_STARTED_PHASES

    @property
    def task_state(self) -> TaskState:
        """Return the task state that the failure implies."""
        if self.proves_not_started:
            return TaskState.NOT_RUN
        return TaskState.RAN if self.phase is FailurePhase.AFTER_START else TaskState.UNKNOWN


def before_sending(cause: str) -> DispatchFailure:
    """Return the failure of a start that was never sent."""
    return DispatchFailure(FailurePhase.BEFORE_SENDING, "not_started", cause)


def refused(reason: RefusedReason | None) -> DispatchFailure:
    """Return the failure of a start that its side process refused, or will if it arrives."""
    cause = f"no worker took a task: {reason}" if reason else "the task never reached its worker"
    return DispatchFailure(FailurePhase.REFUSED, "not_started", cause)


def after_start(result: TaskResult) -> DispatchFailure:
    """Return the failure of a task that was started and did not succeed."""
    if result.state is TaskState.UNKNOWN:
        return outcome_unknown(result.error)
    return DispatchFailure(FailurePhase.AFTER_START, "task_failed", result.error)


def answer_too_large() -> DispatchFailure:
    """Return the failure of a task whose result exceeds the size limit of the job's answer."""
    cause = "the results of the job are too large to be kept and sent"
    return DispatchFailure(FailurePhase.AFTER_START, "answer_too_large", cause)


def outcome_unknown(cause: str) -> DispatchFailure:
    """Return the failure of a start whose outcome can no longer be queried."""
    return DispatchFailure(FailurePhase.UNKNOWN, "outcome_unknown", cause)
