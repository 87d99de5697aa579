"""Manage the runs on the local worker: start, monitor and stop them within its capacity."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

import msgspec

from currantbarrow.background import BackgroundTasks
from currantbarrow.direct.births import InstanceHistory
from currantbarrow.direct.commands import WorkerCommands
from currantbarrow.direct.crashes import CrashLog
from currantbarrow.direct.guarded import GuardedControl
from currantbarrow.direct.instance import LATE_COMMAND_LIMIT_MS, NO_WORKER, WorkerInstance
from currantbarrow.direct.runs import Run, RunPhase
from currantbarrow.direct.worker import (
    NOT_ANNOUNCED,
    Announcement,
    PollResult,
    RunName,
    StartAnswer,
    StartVerdict,
    WorkerControl,
    WorkerEnd,
    create_unknown_announcement,
)
from currantbarrow.exceptions import (
    UpstreamError,
    WorkerReplaced,
    WorkerRestarted,
    WorkerSilent,
)
from currantbarrow.observe import logger
from currantbarrow.protocol.direct import CrashRow, RunEnd, WorkerState
from currantbarrow.types import Clock, Metrics

__all__ = ["WorkerDriver"]

# A start that is not answered within this time is checked with a poll; answers take up to 5 ms.
START_ANSWER_TIMEOUT_MS = 30.0
# Poll interval while the start or stop of a run is unconfirmed.
UNCONFIRMED_POLL_INTERVAL_MS = 10.0
# Unanswered polls are this far apart at first, and twice as far after each further one. A refused
# connection fails at once, while a lost poll has taken longer than this already.
UNANSWERED_POLL_INTERVAL_MIN_MS = 10.0
UNANSWERED_POLL_INTERVAL_MAX_MS = 250.0
# Interval of attempts to take over a worker that has restarted.
TAKE_OVER_INTERVAL_MS = 100.0
# A worker's clock may have drifted by a tenth of the lease since an older reading.
READING_MAX_AGE_MS = 5000.0
# Interval of checks whether the runs on a worker that shuts down have ended.
DEPARTURE_CHECK_INTERVAL_MS = 10.0
# Polls that ask a worker for its birth, until the next announcement or the next check.
BIRTH_POLL_ATTEMPTS = 5
BIRTH_POLL_INTERVAL_MS = 20.0


class WorkerDriver:
    """Manage all runs on the worker on this host."""

    def __init__(
        self,
        control: WorkerControl,
        *,
        clock: Clock,
        metrics: Metrics,
        lease_ms: float,
        on_end: Callable[[Run, RunEnd], None],
        on_change: Callable[[], None],
        on_crash: Callable[[CrashRow], None],
    ) -> None:
        self.instance: WorkerInstance | None = None
        self.draining = False
        # Whether no run is started because the data centre is evacuated.
        self.evacuated = False
        # Whether this process has taken over a worker and stopped the runs left on it.
        self.has_taken_over = False
        self._commands = WorkerCommands(
            GuardedControl(control, metrics),
            clock,
            metrics,
            self._handle_silence_change,
            self._handle_absence,
        )
        self._crashes = CrashLog()
        self._clock = clock
        self._metrics = metrics
        self._lease_ms = lease_ms
        self._on_end = on_end
        self._on_change = on_change
        self._on_crash = on_crash
        self._background = BackgroundTasks(metrics)
        self._work_available = asyncio.Event()
        self._history = InstanceHistory()
        self._revisions = itertools.count(1)
        # The instance that is polled because it may have restarted.
        self._checking: WorkerInstance | None = None
        # The worker and the birth that are being taken over.
        self._taking_over: tuple[str, int] | None = None
        # The newest announcement of an instance that is not taken over yet.
        self._pending: Announcement | None = None
        self._take_over_lock = asyncio.Lock()

    def handle_announcement(self, announcement: Announcement) -> bool:
        """Apply an announcement, or take over the worker instance if it is new.

        Return whether the announcement counts, since delayed ones change nothing.
        """
        instance = self.instance
        key = (announcement.worker, announcement.born_ms)
        if instance is not None and key == (instance.worker, instance.born_ms):
            return self._apply_announcement(instance, announcement)
        returns = self._history.is_return(announcement)
        if self._history.is_former(announcement) and not returns:
            # The announcement was delayed and its instance has ended since.
            self._metrics.incr("side.late_announcement")
            return False
        self._keep_pending(announcement)
        if instance is not None and instance.worker == announcement.worker:
            if not instance.superseded and self._taking_over != key:
                self._taking_over = key
                self._background.spawn(self._confirm_restart(instance, announcement))
        elif self._taking_over != key:
            self._taking_over = key
            if returns:
                self._metrics.incr("side.worker_returned")
                logger.info(
                    "worker runs although its shutdown was reported",
                    extra={"worker": announcement.worker, "born_ms": announcement.born_ms},
                )
            self._background.spawn(self._take_over(announcement))
        return True

    def handle_departure(self, worker: str) -> None:
        """Stop the runs on the worker instance that reported its shutdown, then end it."""
        instance = self.instance
        if instance is None or instance.worker != worker:
            return
        if instance.superseded or instance.departing:
            # It concerns the former instance, or repeats an earlier report.
            self._metrics.incr("side.late_departure")
            return
        logger.info(
            "worker is shutting down",
            extra={"worker": worker, "born_ms": instance.born_ms, "runs": len(instance.runs)},
        )
        instance.departed_sequence = instance.announcement.sequence
        instance.announcement = msgspec.structs.replace(instance.announcement, leaving=True)
        self._on_change()
        self._background.spawn(self._finish_departure(instance))

    def state(self) -> WorkerState:
        """Return the state of the worker for reports to entries."""
        if self.instance is None:
            state = NO_WORKER
        else:
            accepting = self._accepts_runs(self.instance)
            state = self.instance.state(accepting, self._clock.monotonic_ms())
        return msgspec.structs.replace(state, evacuated=True) if self.evacuated else state

    def submit(self, run: Run) -> None:
        """Queue a run and start it as soon as there is capacity."""
        instance = self.instance
        if instance is None or not self._accepts_runs(instance) or run.name.task in instance.runs:
            run.phase = RunPhase.ENDED
            self._report_end(run, RunEnd.NOT_STARTED)
            return
        instance.runs[run.name.task] = run
        self.start_waiting_runs()

    def cancel(self, run: Run, reason: RunEnd = RunEnd.STOPPED) -> None:
        """Cancel a run: drop it if it is waiting, stop it otherwise."""
        instance = self.instance
        if instance is None or run.phase is RunPhase.ENDED or run.stopping:
            return
        if run.phase is RunPhase.WAITING:
            self._finish(instance, run, RunEnd.NOT_STARTED)
            return
        run.stopping = True
        if not run.has_started:
            self._fence_late_starts(instance)
        run.stop_reason = reason
        run.stop_requested_ms = self._clock.monotonic_ms()
        self._background.spawn(self._stop(instance, run))

    def runs(self) -> list[Run]:
        """Return the runs that have not certainly ended."""
        return list(self.instance.runs.values()) if self.instance is not None else []

    def start_waiting_runs(self) -> None:
        """Start waiting runs in order of urgency while there is capacity."""
        instance = self.instance
        if instance is None or not instance.ready:
            return
        now_ms = self._clock.monotonic_ms()
        is_full = False
        may_have_restarted = instance.may_have_restarted(now_ms)
        for run in instance.waiting_runs():
            if not instance.is_as_ordered(run):
                self._return_outdated(instance, run)
            elif not self._may_start(instance, run, now_ms):
                self._finish(instance, run, RunEnd.NOT_STARTED)
            elif may_have_restarted:
                # It would carry out the start, although its labels may be others now.
                self._check_restart(instance)
            elif (
                not is_full
                and instance.allows_beside_others(run, now_ms)
                and instance.reservations.reserve(run.name.task, run.resources)
            ):
                run.phase = RunPhase.STARTING
                run.sent_ms = now_ms
                instance.assign_number(run)
                self._crashes.record_start(run, now_ms)
                self._background.spawn(self._start(instance, run))
            else:
                # Less urgent runs must not overtake, or large tasks would starve.
                is_full = True
                if now_ms >= run.wait_deadline_ms:
                    self._finish(instance, run, RunEnd.NOT_STARTED)

    def _return_outdated(self, instance: WorkerInstance, run: Run) -> None:
        """Return a run that was ordered from a former instance, or before the worker changed."""
        self._metrics.incr("side.outdated_order")
        logger.info(
            "order rejected",
            extra={
                "job": run.name.job,
                "task": run.name.index,
                "reason": "worker changed",
                "worker": str(instance.name),
                "labels": " ".join(sorted(instance.announcement.labels)),
                "revision": instance.revision,
                "ordered_revision": run.revision,
            },
        )
        self._finish(instance, run, RunEnd.NOT_STARTED)

    def tick(self) -> None:
        """Check for overdue runs and expired leases."""
        instance = self.instance
        # The expiry of a lease proves nothing about runs that a later instance may start.
        if instance is None or not instance.ready or instance.superseded:
            return
        now_ms = self._clock.monotonic_ms()
        if instance.lease.has_expired(self._clock.steady_ms()):
            self._report_lost(instance, now_ms)
        self._stop_overdue(instance, now_ms)

    def _report_lost(self, instance: WorkerInstance, now_ms: float) -> None:
        """Report the runs that the expiry of the lease has ended as lost."""
        lost = [
            run
            for run in instance.runs.values()
            if not run.reported
            and (instance.silent or run.is_overdue(now_ms))
            and not instance.may_run_later(run, now_ms)
        ]
        if not lost:
            return
        steady_ms = self._clock.steady_ms()
        logger.info(
            "lease of worker expired, runs counted as lost",
            extra={
                "worker": instance.worker,
                "runs": len(lost),
                "silent": instance.silent,
                "renewal_age_ms": round(instance.lease.renewal_age_ms(steady_ms)),
                "lease_left_ms": round(instance.lease.left_ms(steady_ms)),
                "reading_age_ms": round(instance.lease.reading_age_ms(steady_ms)),
            },
        )
        if any(not run.has_started for run in lost):
            self._fence_late_starts(instance)
        for run in lost:
            # Its capacity stays reserved until the worker lists the end.
            self._report_end(run, RunEnd.LOST)

    async def run(self) -> None:
        """Poll the worker while it has runs or unacknowledged ends, until cancelled."""
        interval_ms = UNANSWERED_POLL_INTERVAL_MIN_MS
        while True:
            instance = self.instance
            if instance is None or not self._needs_polls(instance):
                self._work_available.clear()
                await self._work_available.wait()
                continue
            has_unconfirmed = any(
                run.stopping or run.phase is RunPhase.UNCONFIRMED for run in instance.runs.values()
            )
            # A lease based on an old reading is short, and the start may come before a new one.
            is_old = instance.lease.reading_age_ms(self._clock.steady_ms()) > READING_MAX_AGE_MS
            has_only_ends = not instance.runs and self._has_unacknowledged_ends(instance)
            at_once = has_unconfirmed or is_old or has_only_ends
            polled_ms = self._clock.monotonic_ms()
            if await self._poll(instance, at_once=at_once):
                interval_ms = UNANSWERED_POLL_INTERVAL_MIN_MS
                if has_unconfirmed:
                    await self._clock.sleep_ms(UNCONFIRMED_POLL_INTERVAL_MS)
                continue
            took_ms = self._clock.monotonic_ms() - polled_ms
            await self._clock.sleep_ms(max(0.0, interval_ms - took_ms))
            interval_ms = min(interval_ms * 2, UNANSWERED_POLL_INTERVAL_MAX_MS)

    def stop(self) -> None:
        """Cancel all background tasks."""
        self._background.cancel_all()

    def _needs_polls(self, instance: WorkerInstance) -> bool:
        return not instance.superseded and (
            bool(instance.runs)
            or self._has_unacknowledged_ends(instance)
            # Only an answer shows that it responds again, and nothing else asks for one.
            or instance.silent
            # The first poll after a restart has to arrive before such a start.
            or self._clock.monotonic_ms() < instance.late_starts_until_ms
        )

    @staticmethod
    def _has_unacknowledged_ends(instance: WorkerInstance) -> bool:
        return instance.applied_end > instance.acknowledged_end

    def _fence_late_starts(self, instance: WorkerInstance) -> None:
        """Let later commands carry a higher token than starts that were not answered.

        The task may run elsewhere soon. If the worker restarts under its id, it knows no stop of
        the run, but rejects its start once any command with the higher token has arrived.
        """
        if instance.born_ms:
            instance.token = self._commands.raise_token()
            instance.late_starts_until_ms = self._clock.monotonic_ms() + LATE_COMMAND_LIMIT_MS

    def _accepts_runs(self, instance: WorkerInstance) -> bool:
        return (
            instance.ready
            and instance.announced
            and not instance.superseded
            and not self.draining
            and not self.evacuated
            and not instance.announcement.leaving
            and not instance.silent
            # A start would prolong the runs that should have ended.
            and not instance.has_overdue_runs(self._clock.monotonic_ms())
        )

    def _may_start(self, instance: WorkerInstance, run: Run, now_ms: float) -> bool:
        started = len(instance.runs) - instance.count_in(RunPhase.WAITING)
        # An entry whose lease has expired may already consider this process lost.
        return (
            self._accepts_runs(instance)
            and run.session.lease.is_valid(now_ms)
            and instance.health.can_start(now_ms, started)
        )

    def _apply_announcement(self, instance: WorkerInstance, announcement: Announcement) -> bool:
        """Apply an announcement of the instance; return whether it is not a delayed one."""
        if announcement.sequence < instance.announcement.sequence or instance.superseded:
            self._metrics.incr("side.late_announcement")
            return False
        if instance.departing:
            # It counts once the runs of the instance have ended.
            self._keep_pending(announcement)
            announcement = msgspec.structs.replace(announcement, leaving=True)
        former, instance.announcement = instance.announcement, announcement
        instance.reservations.capacity = announcement.capacity
        if former.sequence == NOT_ANNOUNCED:
            instance.revision = next(self._revisions)
            self._log_description("worker ready", instance)
            self._on_change()
            return True
        began_leaving = announcement.leaving and not former.leaving
        changed = (announcement.service, announcement.labels) != (former.service, former.labels)
        if changed:
            instance.revision = next(self._revisions)
            self._log_description("worker has changed", instance)
        if began_leaving:
            logger.info("worker is leaving", extra={"worker": instance.worker})
        if changed or began_leaving:
            self.start_waiting_runs()
            self._on_change()
        return True

    def _keep_pending(self, announcement: Announcement) -> None:
        """Keep an announcement until its instance has been taken over."""
        pending = self._pending
        order = (announcement.born_ms, announcement.sequence)
        if (
            pending is None
            or pending.worker != announcement.worker
            or order >= (pending.born_ms, pending.sequence)
        ):
            self._pending = announcement

    async def _finish_departure(self, instance: WorkerInstance) -> None:
        """Stop all runs on a worker instance, and end it once they have ended."""
        # The worker may run them until it receives the answer to its report, or some seconds more.
        while not instance.ended and not instance.superseded:
            for run in list(instance.runs.values()):
                self.cancel(run, RunEnd.LOST)
            # Polls must go on as long as a late start may arrive after a restart under this id.
            may_start_late = (
                self._clock.monotonic_ms() < instance.late_starts_until_ms
                and not self._has_returned(instance)
            )
            if not may_start_late and all(run.reported for run in instance.runs.values()):
                self._end_instance(instance, "worker shut down")
                if self._pending is not None and self._history.is_return(self._pending):
                    self.handle_announcement(self._pending)
            else:
                await self._clock.sleep_ms(DEPARTURE_CHECK_INTERVAL_MS)

    def _has_returned(self, instance: WorkerInstance) -> bool:
        """Return whether an instance has announced itself after its shutdown was reported."""
        pending = self._pending
        return (
            pending is not None
            and self._is_of(instance, pending)
            and not pending.leaving
            and pending.sequence > (instance.departed_sequence or 0)
        )

    async def _take_over(self, announcement: Announcement) -> None:
        """Take over a new worker instance, unless another takeover has settled it meanwhile."""
        # A takeover that overlaps with another one may fence and end the instance that the other
        # has just made ready, or replace a worker by its predecessor, which answered earlier.
        async with self._take_over_lock:
            try:
                instance = self.instance
                if instance is not None and instance.worker == announcement.worker:
                    # Another takeover has begun this instance or a later one.
                    if instance.born_ms == announcement.born_ms:
                        self._apply_announcement(instance, announcement)
                elif self._history.is_return(announcement) or not self._history.is_former(
                    announcement
                ):
                    await self._begin_instance(announcement)
            finally:
                if self._taking_over == (announcement.worker, announcement.born_ms):
                    self._taking_over = None

    async def _confirm_restart(self, instance: WorkerInstance, announcement: Announcement) -> None:
        """Poll the worker for the later birth that was announced under the id of the instance.

        Only the worker itself proves its restart, since others can send announcements.
        """
        try:
            await self._poll_birth(instance)
        finally:
            if self._taking_over == (announcement.worker, announcement.born_ms):
                self._taking_over = None
        if not instance.ended and not instance.superseded:
            self._metrics.incr("side.birth_unconfirmed")
            logger.info(
                "announced restart of worker not confirmed",
                extra={"worker": instance.worker, "born_ms": announcement.born_ms},
            )

    def _check_restart(self, instance: WorkerInstance) -> None:
        """Poll a worker that may have restarted; its answer lets the waiting runs start."""
        if self._checking is not instance:
            self._checking = instance
            self._background.spawn(self._finish_check(instance))

    async def _finish_check(self, instance: WorkerInstance) -> None:
        try:
            await self._poll_birth(instance)
        finally:
            if self._checking is instance:
                self._checking = None

    async def _poll_birth(self, instance: WorkerInstance) -> None:
        """Poll a worker until it answers, which shows whether it has restarted under its id."""
        for _ in range(BIRTH_POLL_ATTEMPTS):
            if await self._poll(instance, at_once=True) or instance.ended:
                break
            await self._clock.sleep_ms(BIRTH_POLL_INTERVAL_MS)

    def _handle_restart(self, former: WorkerInstance, born_ms: int) -> None:
        """Replace an instance by a later one that has answered under its id."""
        if former.ended or former.superseded:
            return
        self._record_crash(former, "restarted under its id")
        former.superseded = True
        self._history.confirm(former.worker, born_ms)
        self._metrics.incr("side.worker_restarted")
        logger.info(
            "worker has restarted under its id",
            extra={
                "worker": former.worker,
                "born_ms": born_ms,
                "former_born_ms": former.born_ms,
                "runs": len(former.runs),
            },
        )
        # Waiting runs were sent to no instance.
        self.start_waiting_runs()
        self._on_change()
        self._background.spawn(self._replace_restarted(former, born_ms))

    async def _replace_restarted(self, former: WorkerInstance, born_ms: int) -> None:
        """Take over the instance that follows a former one, and retry until it is fenced."""
        while not former.ended:
            async with self._take_over_lock:
                if not former.ended:
                    unknown = create_unknown_announcement(former.worker, born_ms)
                    await self._begin_instance(unknown)
            if not former.ended:
                await self._clock.sleep_ms(TAKE_OVER_INTERVAL_MS)

    async def _begin_instance(self, announcement: Announcement) -> None:
        """Begin a new worker instance, after stopping runs that were left on it.

        The runs of the former instance end here, as no command sent to it can start a run any more.
        """
        worker, former = announcement.worker, self.instance
        try:
            instance = await self._commands.fence(announcement, self._lease_ms)
        except WorkerReplaced:
            logger.info("another worker answered", extra={"worker": worker})
            if former is not None and former.worker == worker:
                self._end_instance(former, "another instance answered")
            return
        except UpstreamError as error:
            # The next announcement or the next attempt for a restarted worker follows.
            logger.info("worker not reachable", extra={"worker": worker, "error": str(error)})
            return
        self._history.confirm(worker, instance.born_ms)
        if self.instance is not None:
            if self.instance.worker == worker:
                instance.follow_numbers(self.instance)
                # It may restart again while late starts of the former instance may still arrive.
                instance.late_starts_until_ms = self._clock.monotonic_ms() + LATE_COMMAND_LIMIT_MS
                self._end_instance(self.instance, "worker restarted")
            else:
                self._end_instance(self.instance, "worker replaced")
        instance.ready = True
        instance.revision = next(self._revisions)
        self.instance = instance
        self.has_taken_over = True
        self._work_available.set()
        if instance.announced:
            self._log_description("worker ready", instance)
        pending = self._pending
        if pending is not None and pending.worker == worker:
            # Another worker's announcement waits for its own takeover.
            self._pending = None
            if self._is_of(instance, pending):
                self._apply_announcement(instance, pending)
        self._on_change()

    @staticmethod
    def _is_of(instance: WorkerInstance, announcement: Announcement) -> bool:
        key = (announcement.worker, announcement.born_ms)
        return key == (instance.worker, instance.born_ms)

    @staticmethod
    def _log_description(message: str, instance: WorkerInstance) -> None:
        logger.info(
            message,
            extra={
                "worker": instance.worker,
                "born_ms": instance.born_ms,
                "service": instance.announcement.service,
                "cpu_millis": instance.announcement.capacity.cpu_millis,
                "labels": " ".join(sorted(instance.announcement.labels)),
                "revision": instance.revision,
            },
        )

    def _end_instance(self, instance: WorkerInstance, reason: str) -> None:
        if instance.ended:
            return
        self._record_crash(instance, reason)
        instance.ended = True
        logger.info(
            "worker instance ended",
            extra={"worker": instance.worker, "born_ms": instance.born_ms, "reason": reason},
        )
        self._metrics.incr("side.worker_gone")
        self._history.retire(instance)
        if self.instance is instance:
            self.instance = None
        for run in list(instance.runs.values()):
            started = run.phase is not RunPhase.WAITING
            self._finish(instance, run, RunEnd.LOST if started else RunEnd.NOT_STARTED)
        self._on_change()

    def _record_crash(self, instance: WorkerInstance, evidence: str) -> None:
        """Record that the worker process has ended without having left."""
        if instance.crashed or instance.announcement.leaving:
            return
        instance.crashed = True
        now_ms = self._clock.monotonic_ms()
        crash = self._crashes.describe(instance, now_ms)
        self._metrics.incr("side.worker_crashed")
        logger.info(
            "worker has crashed",
            extra={
                "worker": instance.worker,
                "born_ms": instance.born_ms,
                "evidence": evidence,
                "runs": len(instance.runs),
                "noticed_after_ms": round(crash.age_ms),
                # Job, task, time since its start, and probability of having caused the crash.
                "suspects": " ".join(
                    f"{each.job}/{each.index}:{each.ran_ms:.0f}:{each.share:.2f}"
                    for each in crash.suspects
                ),
                "queues": " ".join(f"{each.queue}:{each.surprise:.2f}" for each in crash.queues),
            },
        )
        self._on_crash(crash)

    def _handle_absence(self, instance: WorkerInstance) -> None:
        self._record_crash(instance, "no process listens at its address")

    def _handle_silence_change(self, instance: WorkerInstance) -> None:
        self.start_waiting_runs()
        self._work_available.set()
        self._on_change()

    async def _start(self, instance: WorkerInstance, run: Run) -> None:
        self._work_available.set()
        if run.isolated:
            # Shows that the worker is up, so that a crash is certainly due to the run.
            await self._poll(instance, at_once=True)
        starting = asyncio.ensure_future(self._commands.start(instance, run))
        done, _ = await asyncio.wait({starting}, timeout=START_ANSWER_TIMEOUT_MS / 1000)
        if not done and run.phase is RunPhase.STARTING:
            run.phase = RunPhase.UNCONFIRMED
            run.unconfirmed_ms = self._clock.monotonic_ms()
            self._metrics.incr("side.start_unanswered")
            logger.info(
                "start not answered in time, polling worker",
                extra={"job": run.name.job, "task": run.name.index, "run": run.name.number},
            )
            await self._poll(instance, at_once=True)
        try:
            answer = await starting
        except WorkerReplaced:
            self._end_instance(instance, "another instance answered")
        except WorkerSilent:
            if run.phase is RunPhase.STARTING:
                run.phase = RunPhase.UNCONFIRMED
                run.unconfirmed_ms = self._clock.monotonic_ms()
        except UpstreamError:
            self._finish(instance, run, RunEnd.NOT_STARTED)
        else:
            self._handle_start_answer(instance, run, answer)

    def _handle_start_answer(self, instance: WorkerInstance, run: Run, answer: StartAnswer) -> None:
        if run.phase not in (RunPhase.STARTING, RunPhase.UNCONFIRMED):
            # A poll has already resolved the start.
            return
        if answer.verdict is StartVerdict.STARTED:
            self._mark_started(run)
            return
        self._metrics.incr(f"side.start_rejected.{answer.verdict.value}")
        logger.info(
            "start rejected",
            extra={
                "job": run.name.job,
                "task": run.name.index,
                "run": run.name.number,
                "reason": answer.verdict.value,
            },
        )
        if answer.verdict is StartVerdict.UNHEALTHY:
            self._record_failure(instance, run)
        invalid = answer.verdict is StartVerdict.INVALID
        self._finish(instance, run, RunEnd.FAILED if invalid else RunEnd.NOT_STARTED)

    def _mark_started(self, run: Run) -> None:
        run.mark_started(self._clock.monotonic_ms())
        self._metrics.incr("side.task_started")

    async def _stop(self, instance: WorkerInstance, run: Run) -> None:
        try:
            await self._commands.stop(instance, run.name)
        except WorkerReplaced:
            self._end_instance(instance, "another instance answered")
            return
        run.stop_confirmed_ms = self._clock.monotonic_ms()
        await self._poll(instance, at_once=True)

    def _stop_overdue(self, instance: WorkerInstance, now_ms: float) -> None:
        """Put a worker with overdue runs of several jobs on probation, and stop those runs."""
        ratios: dict[str, float] = {}
        overdue: list[tuple[float, Run]] = []
        for run in instance.runs.values():
            if run.phase is RunPhase.RUNNING and not run.stopping:
                ratio = instance.health.overdue_ratio(now_ms - run.started_ms, run.expected_ms)
                ratios[run.name.job] = max(ratio, ratios.get(run.name.job, 0.0))
                overdue.append((ratio, run))
        if instance.health.check_running(now_ms, list(ratios.values())):
            logger.info(
                "worker on probation",
                extra={"worker": instance.worker, "reason": "runs overdue", "runs": len(overdue)},
            )
            self._metrics.incr("side.worker_on_trial")
            self._on_change()
        if not instance.health.on_probation:
            return
        for ratio, run in overdue:
            # A run that was moved before is probably long by itself.
            if instance.health.is_overdue(ratio) and run.attempt == 1:
                self.cancel(run, RunEnd.LOST)

    async def _poll(self, instance: WorkerInstance, *, at_once: bool) -> bool:
        """Poll the worker and apply the result; return whether it answered."""
        requested_ms = self._clock.monotonic_ms()
        try:
            result = await self._commands.poll(instance, at_once=at_once)
        except WorkerReplaced:
            self._end_instance(instance, "another instance answered")
            return True
        except WorkerRestarted as restarted:
            self._handle_restart(instance, restarted.born_ms)
            return True
        if result is not None and not instance.ended and not instance.superseded:
            self._apply_poll_result(instance, result, requested_ms)
        return result is not None

    def _apply_poll_result(
        self, instance: WorkerInstance, result: PollResult, requested_ms: float
    ) -> None:
        for end in result.ends:
            if end.position > instance.applied_end:
                self._apply_end(instance, end)
                # Only now, so that the worker lists the end again if an error prevents this.
                instance.applied_end = end.position
        running = set(result.running)
        for run in list(instance.runs.values()):
            self._reconcile(instance, run, run.name in running, requested_ms)
        for name in running - {run.name for run in instance.runs.values()}:
            if name.number > instance.run_numbers.get(name.task, 0):
                instance.record_number(name.task, name.number)
                self._background.spawn(self._stop_stray(instance, name))
        self.start_waiting_runs()

    async def _stop_stray(self, instance: WorkerInstance, name: RunName) -> None:
        """Stop a run that was not ordered through this instance, and would share its lease."""
        self._metrics.incr("side.stray_run")
        logger.warning(
            "stopping run that was not ordered",
            extra={"worker": instance.worker, "job": name.job, "task": name.index},
        )
        try:
            await self._commands.stop(instance, name)
        except WorkerReplaced:
            self._end_instance(instance, "another instance answered")

    def _reconcile(
        self, instance: WorkerInstance, run: Run, listed: bool, requested_ms: float
    ) -> None:
        """Resolve an unconfirmed start or stop from a poll that was sent at requested_ms."""
        if run.reported and not run.stopping:
            if listed:
                self._metrics.incr("side.run_outlived_lease")
                logger.warning(
                    "run that was counted as lost still runs",
                    extra={"job": run.name.job, "task": run.name.index, "run": run.name.number},
                )
            # No run starts here before the worker has listed its end or confirmed a stop.
            self.cancel(run)
        if run.phase is RunPhase.UNCONFIRMED and requested_ms >= run.unconfirmed_ms:
            if listed:
                self._mark_started(run)
            else:
                # The start may still arrive; a stop with its number makes the worker reject it.
                self.cancel(run)
        if run.stop_confirmed_ms and requested_ms >= run.stop_confirmed_ms and not listed:
            self._finish(instance, run, run.stop_reason if run.has_started else RunEnd.NOT_STARTED)

    def _apply_end(self, instance: WorkerInstance, end: WorkerEnd) -> None:
        run = instance.runs.get(end.name.task)
        if run is None or run.name != end.name:
            self._metrics.incr("side.stray_end")
            return
        if not run.has_started:
            run.mark_started(self._clock.monotonic_ms())
        stopped = end.end in (RunEnd.STOPPED, RunEnd.LOST)
        self._finish(instance, run, run.stop_reason if stopped and run.stopping else end.end)

    def _finish(self, instance: WorkerInstance, run: Run, end: RunEnd) -> None:
        """Record the end of a run and release its capacity."""
        if run.phase is RunPhase.ENDED:
            return
        now_ms = self._clock.monotonic_ms()
        if end is RunEnd.DONE:
            instance.health.record_success(now_ms - run.started_ms, run.expected_ms, now_ms)
        elif end is RunEnd.FAILED:
            self._record_failure(instance, run)
        run.phase = RunPhase.ENDED
        instance.reservations.release(run.name.task)
        instance.runs.pop(run.name.task, None)
        self._work_available.set()
        self._report_end(run, end)
        self._on_change()

    def _record_failure(self, instance: WorkerInstance, run: Run) -> None:
        if instance.health.record_failure(run.name.job, self._clock.monotonic_ms()):
            self._metrics.incr("side.worker_on_trial")
            logger.info(
                "worker on probation",
                extra={"worker": instance.worker, "reason": "runs of several jobs failed"},
            )

    def _report_end(self, run: Run, end: RunEnd) -> None:
        if run.reported:
            return
        run.reported = True
        self._metrics.incr(f"side.run_ended.{end.value}")
        self._on_end(run, end)
