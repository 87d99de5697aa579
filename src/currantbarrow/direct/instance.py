"""Track the state of one instance of the worker, from its start to its end."""

from __future__ import annotations

from currantbarrow.direct.health import WorkerHealth
from currantbarrow.direct.leases import WorkerLease
from currantbarrow.direct.model import Resources
from currantbarrow.direct.reservations import ResourceReservations
from currantbarrow.direct.runs import Run, RunPhase
from currantbarrow.direct.worker import NOT_ANNOUNCED, Announcement, InstanceName, RunName
from currantbarrow.protocol.direct import WorkerState

__all__ = ["LATE_COMMAND_LIMIT_MS", "NO_WORKER", "TIMEOUT_LIMIT_MS", "WorkerInstance"]

# Single commands get lost on healthy workers too, so a worker is silent only after several of them
# in a row, and this long after its last answer.
SILENT_AFTER_CALLS = 3
SILENT_AFTER_MS = 250.0
# A worker that misses several timeouts may be slow rather than silent, so the timeout grows up to
# this limit. Leases last one second, so later answers would not help.
TIMEOUT_LIMIT_MS = 400.0
# After a lost command, further losses are likely for some seconds.
LOSSY_PERIOD_MS = 3000.0

# The longest time after which commands were seen to be carried out, 12 s, with a margin.
LATE_COMMAND_LIMIT_MS = 13_000.0

# A worker that has answered a command within this time is taken to be up.
CONTACT_MS = 100.0

# While polls go on, the answers of a worker arrive at shorter intervals.
ANSWER_INTERVAL_LIMIT_MS = 300.0

# How long nothing else is started beside a run that may crash the worker.
ISOLATION_MS = 250.0

# Tasks whose run numbers are remembered, some minutes of starts. Callers resubmit within seconds.
RUN_NUMBERS_KEPT = 20_000

# The state that is reported while no worker is known.
NO_WORKER = WorkerState("", "", False, 0, 0, 0, 0, 0, 0, 0, 0, 1.0, False, [])


class WorkerInstance:
    """Track the clock, the lease, the capacity and the runs of one worker instance."""

    __slots__ = (
        "_last_answer_ms",
        "_last_unanswered_ms",
        "_unanswered_calls",
        "acknowledged_end",
        "announcement",
        "applied_end",
        "contact_lost_ms",
        "crashed",
        "departed_sequence",
        "ended",
        "former_numbers",
        "health",
        "late_starts_until_ms",
        "lease",
        "ready",
        "reservations",
        "revision",
        "run_numbers",
        "runs",
        "silent",
        "superseded",
        "token",
    )

    def __init__(self, announcement: Announcement, token: int, lease_ms: float) -> None:
        self.announcement = announcement
        # Numbers the descriptions of the worker that entries place tasks by; 0 until it is ready.
        self.revision = 0
        self.token = token
        self.lease = WorkerLease(lease_ms)
        self.reservations = ResourceReservations(announcement.capacity)
        self.health = WorkerHealth()
        self.runs: dict[tuple[str, int, int], Run] = {}
        # The highest run number used for each task, least recently used first; later runs need
        # higher ones.
        self.run_numbers: dict[tuple[str, int, int], int] = {}
        # The numbers used by the former instance under the same id. Commands with them may still
        # arrive, so later runs need higher ones.
        self.former_numbers: dict[tuple[str, int, int], int] = {}
        # Positions of the last end that was applied here, and of the last that the worker knows to
        # be applied.
        self.applied_end = 0
        self.acknowledged_end = 0
        self.ready = False
        self.ended = False
        self.silent = False
        # Whether the worker process was seen to have ended without leaving.
        self.crashed = False
        # When the first command after the last answer failed, 0 if none has.
        self.contact_lost_ms = 0.0
        # Whether an instance with a later birth has answered under the same id. No command is sent
        # for this instance then, and its runs are settled once the later one is fenced.
        self.superseded = False
        # The sequence of the last announcement when a shutdown was reported, or None.
        self.departed_sequence: int | None = None
        # Until when a start that was given up may still be carried out, if only by a later instance
        # under the same id.
        self.late_starts_until_ms = 0.0
        self._unanswered_calls = 0
        self._last_answer_ms = 0.0
        self._last_unanswered_ms = -LOSSY_PERIOD_MS

    @property
    def worker(self) -> str:
        """Return the id of this worker instance, which a later instance may have as well."""
        return self.announcement.worker

    @property
    def born_ms(self) -> int:
        """Return when this instance started, in Unix milliseconds, or 0 if it does not say."""
        return self.announcement.born_ms

    @property
    def name(self) -> InstanceName:
        """Return the id and the birth, which together name the instance."""
        return InstanceName(self.worker, self.born_ms)

    @property
    def announced(self) -> bool:
        """Return whether the instance has announced its capacity and labels."""
        return self.announcement.sequence > NOT_ANNOUNCED

    @property
    def departing(self) -> bool:
        """Return whether the shutdown of the instance was reported."""
        return self.departed_sequence is not None

    def record_answer(self, now_ms: float) -> bool:
        """Record an answer; return whether the worker was silent before."""
        self._unanswered_calls = 0
        self.contact_lost_ms = 0.0
        self._last_answer_ms = now_ms
        was_silent, self.silent = self.silent, False
        return was_silent

    def record_unanswered(self, now_ms: float, *, absent: bool = False) -> bool:
        """Record a command without an answer; return whether it makes the worker silent.

        One command is enough if no process listens at the worker's address.
        """
        if not self._unanswered_calls:
            self.contact_lost_ms = now_ms
        self._unanswered_calls += 1
        self._last_unanswered_ms = now_ms
        if self.silent:
            return False
        self.silent = absent or (
            self._unanswered_calls >= SILENT_AFTER_CALLS
            and now_ms - self._last_answer_ms > SILENT_AFTER_MS
        )
        return self.silent

    def is_in_contact(self, now_ms: float) -> bool:
        """Return whether the worker has just answered a command."""
        return not self._unanswered_calls and now_ms - self._last_answer_ms <= CONTACT_MS

    def may_have_restarted(self, now_ms: float) -> bool:
        """Return whether a restart under the same id may not have been noticed yet."""
        answer_age_ms = now_ms - self._last_answer_ms
        # A restart breaks the connection of a pending poll.
        in_doubt = self._unanswered_calls > 0 or answer_age_ms > ANSWER_INTERVAL_LIMIT_MS
        return self.born_ms > 0 and in_doubt

    def timeout_ms(self, base_ms: float) -> float:
        """Return the timeout of a call, doubled for each unanswered call after the first."""
        return min(base_ms * 2.0 ** max(0, self._unanswered_calls - 1), TIMEOUT_LIMIT_MS)

    def is_lossy(self, now_ms: float) -> bool:
        """Return whether commands were lost recently."""
        return now_ms - self._last_unanswered_ms < LOSSY_PERIOD_MS

    def is_as_ordered(self, run: Run) -> bool:
        """Return whether this is the instance that a run was ordered from, as it was then."""
        # Entries of earlier versions send no revision.
        return run.revision in (0, self.revision)

    def has_overdue_runs(self, now_ms: float) -> bool:
        """Return whether a run is left that should have ended.

        All runs share one lease. Letting it expire is then the only way to guarantee the end.
        """
        return any(run.is_overdue(now_ms) for run in self.runs.values())

    def may_run_later(self, run: Run, now_ms: float) -> bool:
        """Return whether a start without an answer may be carried out after the lease expired.

        A later instance under the same id has another clock, on which the lease may not be over.
        """
        if not self.born_ms or run.has_started:
            return False
        return now_ms - (run.unconfirmed_ms or now_ms) < LATE_COMMAND_LIMIT_MS

    def may_renew_lease(self, now_ms: float) -> bool:
        """Return whether a command may renew the lease of the runs."""
        return bool(self.runs) and not self.has_overdue_runs(now_ms)

    def record_number(self, task: tuple[str, int, int], number: int) -> None:
        """Record a run number that is used for a task."""
        self.run_numbers.pop(task, None)
        self.run_numbers[task] = number
        if len(self.run_numbers) > RUN_NUMBERS_KEPT:
            del self.run_numbers[next(iter(self.run_numbers))]

    def follow_numbers(self, former: WorkerInstance) -> None:
        """Use higher run numbers than a former instance under the same id."""
        numbers = {**former.former_numbers, **former.run_numbers}
        self.former_numbers = dict(list(numbers.items())[-RUN_NUMBERS_KEPT:])

    def assign_number(self, run: Run) -> RunName:
        """Assign the run a number higher than all that its task has used on this instance."""
        task = run.name.task
        used = max(self.run_numbers.get(task, 0), self.former_numbers.get(task, 0))
        number = max(run.name.number, used + 1)
        self.record_number(task, number)
        if number != run.name.number:
            run.renumber(number)
        return run.name

    def state(self, accepting: bool, now_ms: float) -> WorkerState:
        """Return the state that is reported to entries."""
        capacity = self.announcement.capacity
        waiting = self.waiting_runs()
        begun = len(self.runs) - len(waiting)
        can_start = self.health.can_start(now_ms, begun) and not self.is_isolating(now_ms)
        free = self.reservations.free if can_start else Resources()
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
            self.born_ms,
            revision=self.revision,
        )

    def is_isolating(self, now_ms: float) -> bool:
        """Return whether a run that may crash the worker has just started."""
        return any(
            run.isolated
            and run.phase is not RunPhase.WAITING
            and now_ms - run.sent_ms < ISOLATION_MS
            for run in self.runs.values()
        )

    def allows_beside_others(self, run: Run, now_ms: float) -> bool:
        """Return whether a run may start beside those that are on the worker."""
        if run.isolated:
            return self.count_in(RunPhase.WAITING) == len(self.runs)
        return not self.is_isolating(now_ms)

    def count_in(self, *phases: RunPhase) -> int:
        """Return the number of runs in any of the phases."""
        return sum(run.phase in phases for run in self.runs.values())

    def waiting_runs(self) -> list[Run]:
        """Return the runs that wait for capacity, most urgent first."""
        waiting = [run for run in self.runs.values() if run.phase is RunPhase.WAITING]
        return sorted(waiting, key=lambda run: run.start_due_ms)
