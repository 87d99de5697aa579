"""Track the runs that a side process manages on its worker."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from currantbarrow.direct.leases import STOP_CONFIRM_LIMIT_MS
from currantbarrow.direct.model import Resources
from currantbarrow.direct.worker import RunName
from currantbarrow.protocol.direct import EndRow, RunEnd, TaskOrder

if TYPE_CHECKING:
    from currantbarrow.direct.side import SideSession

__all__ = ["Run", "RunPhase"]


class RunPhase(enum.Enum):
    """Define the phases of a run."""

    WAITING = "waiting"
    STARTING = "starting"
    RUNNING = "running"
    # The start was not answered, so the run may or may not have started.
    UNCONFIRMED = "unsure"
    ENDED = "ended"


class Run:
    """Track one run from its order until its end is certain."""

    __slots__ = (
        "attempt",
        "expected_ms",
        "isolated",
        "name",
        "ordered_ms",
        "payload",
        "phase",
        "queue",
        "reported",
        "resources",
        "revision",
        "sent_in_contact",
        "sent_ms",
        "session",
        "start_due_ms",
        "started_ms",
        "stop_confirmed_ms",
        "stop_reason",
        "stop_requested_ms",
        "stopping",
        "unconfirmed_ms",
        "wait_deadline_ms",
    )

    def __init__(
        self,
        session: SideSession,
        job: str,
        payload: str,
        order: TaskOrder,
        now_ms: float,
        queue: str = "",
        revision: int = 0,
    ) -> None:
        self.session = session
        self.queue = queue
        # The revision of the worker's state that the entry placed the task by; 0 if unknown.
        self.revision = revision
        self.payload = payload
        self.attempt = order.attempt
        self.name = RunName(job, order.step, order.index, order.attempt)
        self.resources = Resources(order.cpu_millis, order.memory_mb, order.gpus)
        self.expected_ms = order.expected_ms
        self.isolated = order.isolated
        self.ordered_ms = now_ms
        self.start_due_ms = now_ms + order.start_within_ms
        self.wait_deadline_ms = now_ms + order.wait_ms
        self.phase = RunPhase.WAITING
        # When the last start was sent that may have reached the worker, 0 if there is none.
        self.sent_ms = 0.0
        # Whether the worker had answered another command just before.
        self.sent_in_contact = False
        self.started_ms = 0.0
        self.unconfirmed_ms = 0.0
        # When the worker confirmed that the run is stopped, or will never start.
        self.stop_confirmed_ms = 0.0
        self.stopping = False
        self.stop_requested_ms = 0.0
        self.stop_reason = RunEnd.STOPPED
        self.reported = False

    @property
    def has_started(self) -> bool:
        """Return whether the worker is known to have started the run."""
        return self.started_ms > 0

    def is_overdue(self, now_ms: float) -> bool:
        """Return whether the run should have ended on the worker, and possibly has not."""
        if self.phase is RunPhase.WAITING or self.stop_confirmed_ms:
            return False
        if self.reported:
            # It was counted as lost, and the task may run elsewhere.
            return True
        due_ms = self.session.lease.expires_ms
        if self.stopping:
            due_ms = min(due_ms, self.stop_requested_ms)
        return now_ms - due_ms > STOP_CONFIRM_LIMIT_MS

    def renumber(self, number: int) -> None:
        """Assign a higher run number."""
        self.name = RunName(self.name.job, self.name.step, self.name.index, number)

    def mark_started(self, now_ms: float) -> None:
        """Record that the worker has started the run."""
        self.phase = RunPhase.RUNNING
        if not self.has_started:
            self.started_ms = now_ms

    def end_row(self, end: RunEnd, now_ms: float) -> EndRow:
        """Return the row that reports the end of the run to its entry."""
        ran_ms = now_ms - self.started_ms if self.has_started else 0.0
        name = self.name
        return EndRow(name.job, name.step, name.index, self.attempt, end, ran_ms)
