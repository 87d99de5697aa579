"""Hold what a side process knows of one life of its worker."""

from __future__ import annotations

from currantbarrow.direct.health import WorkerHealth
from currantbarrow.direct.model import Resources
from currantbarrow.direct.reservations import ResourceReservations
from currantbarrow.direct.runs import Run, RunPhase
from currantbarrow.direct.worker import Announcement, RunName
from currantbarrow.protocol.direct import WorkerState

__all__ = ["NO_WORKER", "WorkerInstance"]

# A worker's clock may run 2 % slow against this process's.
CLOCK_DRIFT_FACTOR = 1.02
# What a worker needs beyond a lease's end to kill what it held, and to say so.
LEASE_EXPIRY_MARGIN_MS = 60.0
# Single orders get lost while a worker is well, so only a row of them is silence.
SILENT_AFTER_CALLS = 3
SILENT_AFTER_MS = 250.0
# A worker that answers none of several orders in time may be slow rather than silent, so they are
# given more time, up to this; later answers are of no use to leases of a second.
TIMEOUT_LIMIT_MS = 400.0
# Stops are confirmed in some milliseconds, and tried several times in this time.
STOP_CONFIRM_LIMIT_MS = 250.0
# Once an order was lost, others are likely to be for some seconds.
LOSSY_PERIOD_MS = 3000.0

# What a side process tells of its worker while it knows of none.
NO_WORKER = WorkerState("", "", False, 0, 0, 0, 0, 0, 0, 0, 0, 1.0, False, [])


class WorkerInstance:
    """Keep the clock, the room and the runs of one life of a worker."""

    __slots__ = (
        "_clock_read_ms",
        "_last_answer_ms",
        "_last_unanswered_ms",
        "_renewed_ms",
        "_unanswered_calls",
        "_worker_clock_ms",
        "acknowledged_end",
        "announcement",
        "applied_end",
        "ended",
        "health",
        "lease_ms",
        "ready",
        "reservations",
        "run_numbers",
        "runs",
        "silent",
        "token",
    )

    def __init__(self, announcement: Announcement, token: int, lease_ms: float) -> None:
        self.announcement = announcement
        self.token = token
        self.lease_ms = lease_ms
        self.reservations = ResourceReservations(announcement.capacity)
        self.health = WorkerHealth()
        self.runs: dict[tuple[str, int, int], Run] = {}
        # The highest number that was used for each task, so that a later run gets a higher one.
        self.run_numbers: dict[tuple[str, int, int], int] = {}
        # The last end that was taken in, and the last of which the worker knows that it was.
        self.applied_end = 0
        self.acknowledged_end = 0
        self.ready = False
        self.ended = False
        self.silent = False
        self._unanswered_calls = 0
        self._last_answer_ms = 0.0
        self._last_unanswered_ms = -LOSSY_PERIOD_MS
        self._worker_clock_ms = 0.0
        self._clock_read_ms = 0.0
        self._renewed_ms = 0.0

    @property
    def worker(self) -> str:
        """Return the name of this life."""
        return self.announcement.worker

    def update_clock(self, clock_ms: float, requested_ms: float) -> None:
        """Take the worker's clock from an answer to a question asked at a time."""
        # Taken at the time of asking, the clock is never thought to be behind what it is.
        if (
            clock_ms - (requested_ms - self._clock_read_ms) >= self._worker_clock_ms
            or not self._worker_clock_ms
        ):
            self._worker_clock_ms, self._clock_read_ms = clock_ms, requested_ms

    def lease_until_ms(self, now_ms: float) -> float:
        """Return the end of a lease that is given now, on the worker's clock."""
        self._renewed_ms = now_ms
        return self._worker_clock_ms + (now_ms - self._clock_read_ms) + self.lease_ms

    def have_leases_expired(self, now_ms: float) -> bool:
        """Tell whether every lease given so far has surely ended."""
        return (
            now_ms - self._renewed_ms > self.lease_ms * CLOCK_DRIFT_FACTOR + LEASE_EXPIRY_MARGIN_MS
        )

    def record_answer(self, now_ms: float) -> bool:
        """Take note of an answer; tell whether it ends a silence."""
        self._unanswered_calls = 0
        self._last_answer_ms = now_ms
        was_silent, self.silent = self.silent, False
        return was_silent

    def record_unanswered(self, now_ms: float) -> bool:
        """Take note of an order without an answer; tell whether the worker is silent now."""
        self._unanswered_calls += 1
        self._last_unanswered_ms = now_ms
        if self.silent or self._unanswered_calls < SILENT_AFTER_CALLS:
            return False
        self.silent = now_ms - self._last_answer_ms > SILENT_AFTER_MS
        return self.silent

    def timeout_ms(self, base_ms: float) -> float:
        """Return how long to wait for an answer, twice as long after each order but the first."""
        return min(base_ms * 2.0 ** max(0, self._unanswered_calls - 1), TIMEOUT_LIMIT_MS)

    def is_lossy(self, now_ms: float) -> bool:
        """Tell whether orders were lost lately."""
        return now_ms - self._last_unanswered_ms < LOSSY_PERIOD_MS

    def may_renew_lease(self, now_ms: float) -> bool:
        """Tell whether to keep runs alive.

        One lease holds for all runs. When a stop can't be had, letting the lease end is the only
        way to be sure that the run does not go on beside another one elsewhere.
        """
        return bool(self.runs) and not any(
            run.stopping
            and not run.stop_confirmed_ms
            and now_ms - run.stop_requested_ms > STOP_CONFIRM_LIMIT_MS
            for run in self.runs.values()
        )

    def assign_number(self, run: Run) -> RunName:
        """Give a run a number above all that its task had here."""
        task = run.name.task
        number = max(run.name.number, self.run_numbers.get(task, 0) + 1)
        self.run_numbers[task] = number
        if number != run.name.number:
            run.renumber(number)
        return run.name

    def state(self, accepting: bool, now_ms: float) -> WorkerState:
        """Return what entries need to know of the worker."""
        capacity = self.announcement.capacity
        waiting = self.waiting_runs()
        begun = len(self.runs) - len(waiting)
        free = self.reservations.free if self.health.can_start(now_ms, begun) else Resources()
        return WorkerState(
            self.worker,
            self.announcement.service,
            accepting,
            capacity.cpu_millis,
            capacity.memory_mb,
            capacity.gpus,
            free.cpu_millis,
            free.memory_mb,
            free.gpus,
            len(waiting),
            sum(run.resources.cpu_millis for run in waiting),
            self.health.slowness,
            self.health.on_probation,
            sorted(self.announcement.labels),
        )

    def count_in(self, *phases: RunPhase) -> int:
        """Return how many runs are in some phases."""
        return sum(run.phase in phases for run in self.runs.values())

    def waiting_runs(self) -> list[Run]:
        """Return the runs that wait for room, the most urgent first."""
        waiting = [run for run in self.runs.values() if run.phase is RunPhase.WAITING]
        return sorted(waiting, key=lambda run: run.start_due_ms)
