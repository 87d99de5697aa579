"""Send commands to a worker, and track its clock, its fencing token and lost answers.

About one command in twenty gets no answer and is executed seconds later or never. Answers normally
take one or two milliseconds, so an overdue command is resolved by a further command rather than
by waiting for its answer.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from currantbarrow.direct.instance import WorkerInstance
from currantbarrow.direct.runs import Run
from currantbarrow.direct.worker import (
    Announcement,
    PollResult,
    RunName,
    RunSpec,
    StartAnswer,
    StartVerdict,
    WorkerControl,
    create_unknown_announcement,
)
from currantbarrow.exceptions import (
    UpstreamError,
    WorkerAbsent,
    WorkerReplaced,
    WorkerRestarted,
    WorkerSilent,
    WorkerUnreached,
)
from currantbarrow.observe import logger
from currantbarrow.types import Clock, Metrics

__all__ = ["WorkerCommands"]

# How long the worker delays the answer to a poll while no run ends. Polls renew the lease, so a
# lease of one second is renewed four times before it expires.
POLL_WAIT_MS = 200.0
POLL_TIMEOUT_MS = 60.0
# Used while commands are being lost, to limit how long a lost poll delays the ends of runs.
LOSSY_POLL_WAIT_MS = 60.0
LOSSY_POLL_TIMEOUT_MS = 40.0
# Answers take up to 5 ms, and longer while the host is under load.
STOP_TIMEOUT_MS = 50.0
START_TIMEOUT_MS = 350.0
# Attempts to start a run; each corrects the token, run number or lease that the worker rejected.
START_ATTEMPTS = 4
# Increment of a run number that the worker rejected because it knows a higher one.
RUN_NUMBER_STEP = 16
# Increment of a fencing token after another process used a higher one. Tokens are times in
# milliseconds, and one minute exceeds any jump of a clock.
TOKEN_STEP = 60_000
# First and longest pause before a command without an answer is repeated.
RETRY_BACKOFF_MIN_MS = 10.0
RETRY_BACKOFF_MAX_MS = 150.0


class WorkerCommands:
    """Send commands to the worker on this host."""

    __slots__ = (
        "_clock",
        "_control",
        "_last_token",
        "_metrics",
        "_on_absence",
        "_on_silence_change",
    )

    def __init__(
        self,
        control: WorkerControl,
        clock: Clock,
        metrics: Metrics,
        on_silence_change: Callable[[WorkerInstance], None],
        on_absence: Callable[[WorkerInstance], None],
    ) -> None:
        self._control = control
        self._clock = clock
        self._metrics = metrics
        self._on_silence_change = on_silence_change
        self._on_absence = on_absence
        self._last_token = 0

    def next_token(self) -> int:
        """Return a token after a rejection: it exceeds all that a predecessor may have used."""
        # The wall clock keeps tokens increasing across restarts of this process.
        self._last_token = max(self._last_token + TOKEN_STEP, self._clock.wall_ms())
        return self._last_token

    def raise_token(self) -> int:
        """Return a fencing token higher than all that this process has used.

        It stays close to the wall clock, so that a successor of this process uses higher ones.
        """
        self._last_token = max(self._last_token + 1, self._clock.wall_ms())
        return self._last_token

    def _handle_fenced(self, instance: WorkerInstance, token: int) -> None:
        """Raise the token of an instance, unless that was done after the command was sent."""
        if instance.token == token:
            instance.token = self.next_token()

    async def start(self, instance: WorkerInstance, run: Run) -> StartAnswer:
        """Start a run; raise WorkerSilent, WorkerUnreached or WorkerReplaced."""
        # Without an attempt, the run counts as one that the worker has rejected.
        answer = StartAnswer(StartVerdict.LEASE_EXPIRED, None)
        for _ in range(START_ATTEMPTS):
            # Read before the check, as the process may be suspended after it.
            steady_ms = self._clock.steady_ms()
            requested_ms = self._clock.monotonic_ms()
            if not self._may_start(instance, run, requested_ms):
                break
            token = instance.token
            run.sent_ms = requested_ms
            run.sent_in_contact = instance.is_in_contact(requested_ms)
            try:
                answer = await self._control.start(
                    instance.worker,
                    RunSpec(run.name, run.payload),
                    instance.lease.renew(steady_ms),
                    token,
                    START_TIMEOUT_MS,
                )
            except UpstreamError as error:
                if isinstance(error, WorkerUnreached | WorkerReplaced):
                    run.sent_ms = 0.0
                self._record_unanswered(instance, error)
                raise
            self._record_answer(instance)
            now_ms = self._clock.monotonic_ms()
            self._metrics.timing("side.start_answer_ms", now_ms - requested_ms)
            if answer.clock_ms is not None:
                instance.lease.record_reading(answer.clock_ms, self._clock.steady_ms())
            if answer.verdict is StartVerdict.FENCED:
                self._handle_fenced(instance, token)
            elif answer.verdict is StartVerdict.OUTDATED:
                instance.record_number(run.name.task, run.name.number + RUN_NUMBER_STEP)
                instance.assign_number(run)
            elif answer.verdict is not StartVerdict.LEASE_EXPIRED:
                break
        return answer

    @staticmethod
    def _may_start(instance: WorkerInstance, run: Run, now_ms: float) -> bool:
        """Return whether a start would neither revive a run nor prolong one that has to end."""
        is_obsolete = run.stopping or run.reported or instance.ended or instance.superseded
        return (
            not is_obsolete
            and instance.is_as_ordered(run)
            and run.session.lease.is_valid(now_ms)
            and instance.may_renew_lease(now_ms)
        )

    async def stop(self, instance: WorkerInstance, name: RunName) -> None:
        """Stop a run, and retry until the worker confirms it; raise WorkerReplaced."""
        pause_ms = RETRY_BACKOFF_MIN_MS
        while not instance.ended:
            if instance.superseded or instance.silent:
                # A higher token would revive the commands of a superseded instance at the later
                # one. Polls probe a silent one; if every run did, each call would open a
                # connection.
                await self._clock.sleep_ms(RETRY_BACKOFF_MIN_MS)
                continue
            token = instance.token
            try:
                timeout_ms = instance.timeout_ms(STOP_TIMEOUT_MS)
                if await self._control.stop(instance.worker, name, token, timeout_ms):
                    self._record_answer(instance)
                    return
                self._handle_fenced(instance, token)
            except WorkerReplaced:
                raise
            except UpstreamError as error:
                self._metrics.incr("side.stop_unanswered")
                self._record_unanswered(instance, error)
                await self._clock.sleep_ms(pause_ms)
                pause_ms = min(pause_ms * 2, RETRY_BACKOFF_MAX_MS)

    async def poll(self, instance: WorkerInstance, *, at_once: bool = False) -> PollResult | None:
        """Poll the worker; return None if it did not answer or was fenced.

        Raise WorkerReplaced, or WorkerRestarted if an instance with a later birth answered.
        """
        if instance.ended or instance.superseded:
            return None
        # Read before the check, as the process may be suspended after it.
        steady_ms = self._clock.steady_ms()
        requested_ms = self._clock.monotonic_ms()
        lossy = instance.is_lossy(requested_ms)
        wait_ms = 0.0 if at_once else LOSSY_POLL_WAIT_MS if lossy else POLL_WAIT_MS
        # The lease of a silent worker is left to expire, after which its runs have ended.
        renews = not instance.silent and instance.may_renew_lease(requested_ms)
        applied_end = instance.applied_end
        token = instance.token
        try:
            result = await self._control.poll(
                instance.worker,
                token,
                acknowledged_end=applied_end,
                lease_until_ms=instance.lease.renew(steady_ms) if renews else None,
                wait_ms=wait_ms,
                timeout_ms=wait_ms
                + instance.timeout_ms(LOSSY_POLL_TIMEOUT_MS if lossy else POLL_TIMEOUT_MS),
            )
        except WorkerReplaced:
            raise
        except UpstreamError as error:
            self._metrics.incr("side.look_unanswered")
            self._record_unanswered(instance, error)
            return None
        if result is not None:
            try:
                self._check_birth(instance, result)
            except WorkerSilent as error:
                self._record_unanswered(instance, error)
                return None
        self._record_answer(instance)
        if result is None:
            self._handle_fenced(instance, token)
            return None
        instance.acknowledged_end = max(instance.acknowledged_end, applied_end)
        instance.lease.record_reading(result.clock_ms, self._clock.steady_ms())
        return result

    async def fence(self, announcement: Announcement, lease_ms: float) -> WorkerInstance:
        """Return the instance that answers, fenced and without runs; raise UpstreamError.

        It was not announced yet if it has a later birth than the announcement.
        """
        while True:
            instance = WorkerInstance(announcement, self.raise_token(), lease_ms)
            try:
                await self.stop_stray_runs(instance)
            except WorkerRestarted as restarted:
                announcement = create_unknown_announcement(instance.worker, restarted.born_ms)
                continue
            return instance

    async def stop_stray_runs(self, instance: WorkerInstance) -> None:
        """Stop all runs that earlier commands left on the worker; raise UpstreamError."""
        while True:
            result = await self._control.poll(
                instance.worker,
                instance.token,
                acknowledged_end=0,
                lease_until_ms=None,
                wait_ms=0.0,
                timeout_ms=POLL_TIMEOUT_MS,
            )
            if result is None:
                instance.token = self.next_token()
                continue
            self._check_birth(instance, result)
            instance.lease.record_reading(result.clock_ms, self._clock.steady_ms())
            instance.record_answer(self._clock.monotonic_ms())
            if not result.running:
                instance.applied_end = max((end.position for end in result.ends), default=0)
                return
            self._metrics.incr("side.stray_run", len(result.running))
            logger.info(
                "stopping runs left on worker",
                extra={"worker": instance.worker, "runs": len(result.running)},
            )
            stopped = await asyncio.gather(
                *(
                    self._control.stop(instance.worker, name, instance.token, STOP_TIMEOUT_MS)
                    for name in result.running
                ),
                return_exceptions=True,
            )
            for error in stopped:
                # The next poll shows whether a run whose stop was not answered is left.
                if isinstance(error, UpstreamError) and not isinstance(error, WorkerReplaced):
                    self._metrics.incr("side.stop_unanswered")
                elif isinstance(error, BaseException):
                    raise error
            await self._clock.sleep_ms(RETRY_BACKOFF_MIN_MS)

    def _check_birth(self, instance: WorkerInstance, result: PollResult) -> None:
        """Check that the instance itself answered; raise WorkerRestarted or WorkerSilent."""
        if not result.born_ms:
            # Without a birth, the answer counts as one of the instance that was asked.
            return
        if result.born_ms > instance.born_ms:
            raise WorkerRestarted(result.born_ms)
        if result.born_ms < instance.born_ms:
            # It proves nothing about the instance, no more than a lost answer.
            self._metrics.incr("side.late_poll_answer")
            raise WorkerSilent(f"an answer of the instance with birth {result.born_ms} was delayed")

    def _record_answer(self, instance: WorkerInstance) -> None:
        if instance.record_answer(self._clock.monotonic_ms()):
            logger.info("worker is responding again", extra={"worker": instance.worker})
            self._on_silence_change(instance)

    def _record_unanswered(self, instance: WorkerInstance, error: UpstreamError) -> None:
        if instance.ended:
            return
        is_absent = isinstance(error, WorkerAbsent)
        became_silent = instance.record_unanswered(self._clock.monotonic_ms(), absent=is_absent)
        if is_absent:
            self._on_absence(instance)
        if became_silent:
            self._metrics.incr("side.worker_silent")
            logger.info(
                "worker is not responding",
                extra={"worker": instance.worker, "runs": len(instance.runs), "error": str(error)},
            )
            self._on_silence_change(instance)
