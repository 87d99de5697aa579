"""Hold the runs that a side process answers for."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from currantbarrow.direct.model import Resources
from currantbarrow.direct.worker import RunName
from currantbarrow.protocol.direct import EndRow, RunEnd, TaskOrder

if TYPE_CHECKING:
    from currantbarrow.direct.side import SideSession

__all__ = ["Run", "RunPhase"]


class RunPhase(enum.Enum):
    """Name how far a run has come."""

    WAITING = "waiting"
    STARTING = "starting"
    RUNNING = "running"
    # The start got no answer, so the run may begin, or not.
    UNSURE = "unsure"
    ENDED = "ended"


class Run:
    """Follow one run from its order to the proof of its end."""

    __slots__ = (
        "attempt",
        "began_ms",
        "due_ms",
        "expected_ms",
        "give_up_ms",
        "name",
        "ordered_ms",
        "payload",
        "phase",
        "reported",
        "resources",
        "session",
        "stop_asked_ms",
        "stop_reason",
        "stopped_ms",
        "stopping",
        "unsure_ms",
    )

    def __init__(
        self, session: SideSession, job: str, payload: str, order: TaskOrder, now_ms: float
    ) -> None:
        self.session = session
        self.payload = payload
        self.attempt = order.attempt
        self.name = RunName(job, order.step, order.index, order.attempt)
        self.resources = Resources(order.cpu_millis, order.memory_mb, order.gpus)
        self.expected_ms = order.expected_ms
        self.ordered_ms = now_ms
        self.due_ms = now_ms + order.start_within_ms
        self.give_up_ms = now_ms + order.wait_ms
        self.phase = RunPhase.WAITING
        self.began_ms = 0.0
        self.unsure_ms = 0.0
        # When the worker confirmed that it has stopped the run, or will never begin it.
        self.stopped_ms = 0.0
        self.stopping = False
        self.stop_asked_ms = 0.0
        self.stop_reason = RunEnd.STOPPED
        self.reported = False

    @property
    def begun(self) -> bool:
        """Tell whether the worker has surely begun the run."""
        return self.began_ms > 0

    def renumber(self, number: int) -> None:
        """Take a higher run number."""
        self.name = RunName(self.name.job, self.name.step, self.name.index, number)

    def begin(self, now_ms: float) -> None:
        """Note that the worker has begun the run."""
        self.phase = RunPhase.RUNNING
        if not self.begun:
            self.began_ms = now_ms

    def end_row(self, end: RunEnd, now_ms: float) -> EndRow:
        """Return what to tell the entry of the run's end."""
        ran_ms = now_ms - self.began_ms if self.begun else 0.0
        name = self.name
        return EndRow(name.job, name.step, name.index, self.attempt, end, ran_ms)
