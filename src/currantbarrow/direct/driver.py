"""Drive the worker beside a side process: begin, watch and stop runs within its room."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from currantbarrow.background import BackgroundTasks
from currantbarrow.direct.life import NO_WORKER, WorkerLife
from currantbarrow.direct.orders import OrderGiver
from currantbarrow.direct.runs import Run, RunPhase
from currantbarrow.direct.worker import (
    Announcement,
    StartAnswer,
    StartVerdict,
    WorkerControl,
    WorkerEnd,
    WorkerLists,
)
from currantbarrow.exceptions import UpstreamError, WorkerReplaced, WorkerSilent
from currantbarrow.observe import logger
from currantbarrow.protocol.direct import RunEnd, WorkerState
from currantbarrow.types import Clock, Metrics

__all__ = ["WorkerDriver"]

# A start that got no answer in this time is looked for on the worker's lists; answers take 5 ms.
START_DOUBT_MS = 30.0
# Runs whose fate is open are looked for this often.
OPEN_LOOK_MS = 10.0
SILENT_LOOK_MS = 100.0
# Names of lives that ended are kept for this many, against their late announcements.
RETIRED_KEPT = 64


class WorkerDriver:
    """Answer for all runs on the worker beside this process."""

    def __init__(
        self,
        control: WorkerControl,
        *,
        clock: Clock,
        metrics: Metrics,
        lease_ms: float,
        on_end: Callable[[Run, RunEnd], None],
        on_change: Callable[[], None],
    ) -> None:
        self.life: WorkerLife | None = None
        self.closing = False
        self._orders = OrderGiver(control, clock, metrics, self._note_silence)
        self._clock = clock
        self._metrics = metrics
        self._lease_ms = lease_ms
        self._on_end = on_end
        self._on_change = on_change
        self._background = BackgroundTasks(metrics)
        self._work = asyncio.Event()
        self._retired: list[str] = []
        self._adopting = ""

    # Announcements.

    def announce(self, announcement: Announcement) -> None:
        """Take what the worker says of itself."""
        life = self.life
        if life is not None and life.worker == announcement.worker:
            self._update(life, announcement)
        elif announcement.worker in self._retired:
            # Delayed on its way, it tells of a life that has ended since.
            self._metrics.incr("side.late_announcement")
        elif self._adopting != announcement.worker:
            self._adopting = announcement.worker
            self._background.spawn(self._adopt(announcement))

    def leave(self, worker: str) -> None:
        """Take note that a worker has ended."""
        if self.life is not None and self.life.worker == worker:
            self._end_life(self.life, "worker left")

    def state(self) -> WorkerState:
        """Describe the worker."""
        if self.life is None:
            return NO_WORKER
        return self.life.describe(self._accepts(self.life), self._clock.monotonic_ms())

    # Orders.

    def order(self, run: Run) -> None:
        """Begin a run as soon as there is room for it."""
        life = self.life
        if life is None or not self._accepts(life) or run.name.task in life.runs:
            run.phase = RunPhase.ENDED
            self._report(run, RunEnd.NOT_STARTED)
            return
        life.runs[run.name.task] = run
        self.fill()

    def withdraw(self, run: Run, reason: RunEnd = RunEnd.STOPPED) -> None:
        """End a run before its time."""
        life = self.life
        if life is None or run.phase is RunPhase.ENDED or run.stopping:
            return
        if run.phase is RunPhase.WAITING:
            self._finish(life, run, RunEnd.NOT_STARTED)
            return
        run.stopping = True
        run.stop_reason = reason
        run.stop_asked_ms = self._clock.monotonic_ms()
        self._background.spawn(self._stop(life, run))

    def runs(self) -> list[Run]:
        """Return the runs whose end is not proven."""
        return list(self.life.runs.values()) if self.life is not None else []

    def fill(self) -> None:
        """Begin what waits, the most urgent first, as far as there is room."""
        life = self.life
        if life is None or not life.ready:
            return
        now_ms = self._clock.monotonic_ms()
        full = False
        for run in life.waiting():
            if not self._may_begin(life, run, now_ms):
                self._finish(life, run, RunEnd.NOT_STARTED)
            elif not full and life.reservations.reserve(run.name.task, run.resources):
                run.phase = RunPhase.STARTING
                life.number_for(run)
                self._background.spawn(self._start(life, run))
            else:
                # What is less urgent must not go first, or large tasks would wait for long.
                full = True
                if now_ms >= run.give_up_ms:
                    self._finish(life, run, RunEnd.NOT_STARTED)

    def tick(self) -> None:
        """Look for runs that take too long, and for leases that have lapsed."""
        life = self.life
        if life is None or not life.ready:
            return
        now_ms = self._clock.monotonic_ms()
        if life.silent and life.has_lapsed(now_ms):
            for run in list(life.runs.values()):
                # Its room stays booked until the worker lists the end.
                self._report(run, RunEnd.LOST)
        self._stop_overdue(life, now_ms)

    async def run(self) -> None:
        """Look after the worker's runs, until cancelled."""
        while True:
            life = self.life
            if life is None or not (life.runs or life.noted > life.noted_told):
                self._work.clear()
                await self._work.wait()
                continue
            is_open = any(
                run.stopping or run.phase is RunPhase.UNSURE for run in life.runs.values()
            )
            answered = await self._look(life, at_once=is_open or not life.runs)
            if not answered:
                await self._clock.sleep_ms(SILENT_LOOK_MS if life.silent else 0.0)
            elif is_open:
                await self._clock.sleep_ms(OPEN_LOOK_MS)

    def stop(self) -> None:
        """End the work in the background."""
        self._background.cancel_all()

    # Lives of the worker.

    def _accepts(self, life: WorkerLife) -> bool:
        return life.ready and not self.closing and not life.announcement.leaving and not life.silent

    def _may_begin(self, life: WorkerLife, run: Run, now_ms: float) -> bool:
        begun = len(life.runs) - life.count(RunPhase.WAITING)
        # An entry whose lease is over may have given up on this process.
        return (
            self._accepts(life)
            and run.session.lease.holds(now_ms)
            and life.health.can_start(now_ms, begun)
        )

    def _update(self, life: WorkerLife, announcement: Announcement) -> None:
        if announcement.sequence < life.announcement.sequence:
            self._metrics.incr("side.late_announcement")
            return
        began_leaving = announcement.leaving and not life.announcement.leaving
        life.announcement = announcement
        life.reservations.capacity = announcement.capacity
        if began_leaving:
            logger.info("worker leaving", extra={"worker": life.worker})
            self.fill()
            self._on_change()

    async def _adopt(self, announcement: Announcement) -> None:
        """Take over a life of the worker, and clear it of runs that nobody answers for."""
        worker = announcement.worker
        life = WorkerLife(announcement, self._orders.next_token(), self._lease_ms)
        try:
            await self._orders.clear(life)
        except UpstreamError as error:
            # The next announcement begins anew.
            logger.info("worker not reached", extra={"worker": worker, "error": str(error)})
            return
        finally:
            self._adopting = ""
        if self.life is not None:
            self._end_life(self.life, "worker replaced")
        life.ready = True
        self.life = life
        self._work.set()
        logger.info(
            "worker ready",
            extra={"worker": worker, "cpu_millis": announcement.capacity.cpu_millis},
        )
        self._on_change()

    def _end_life(self, life: WorkerLife, reason: str) -> None:
        if life.over:
            return
        life.over = True
        logger.info("worker gone", extra={"worker": life.worker, "reason": reason})
        self._metrics.incr("side.worker_gone")
        self._retired = [*self._retired[-RETIRED_KEPT:], life.worker]
        if self.life is life:
            self.life = None
        for run in list(life.runs.values()):
            begun = run.phase is not RunPhase.WAITING
            self._finish(life, run, RunEnd.LOST if begun else RunEnd.NOT_STARTED)
        self._on_change()

    def _note_silence(self, life: WorkerLife) -> None:
        self.fill()
        self._work.set()
        self._on_change()

    # Runs.

    async def _start(self, life: WorkerLife, run: Run) -> None:
        self._work.set()
        starting = asyncio.ensure_future(self._orders.start(life, run))
        done, _ = await asyncio.wait({starting}, timeout=START_DOUBT_MS / 1000)
        if not done and run.phase is RunPhase.STARTING:
            run.phase = RunPhase.UNSURE
            run.unsure_ms = self._clock.monotonic_ms()
            self._metrics.incr("side.start_unanswered")
            logger.info(
                "start unanswered",
                extra={"job": run.name.job, "task": run.name.index, "run": run.name.number},
            )
            await self._look(life, at_once=True)
        try:
            answer = await starting
        except WorkerReplaced:
            self._end_life(life, "another life answered")
        except WorkerSilent:
            if run.phase is RunPhase.STARTING:
                run.phase = RunPhase.UNSURE
                run.unsure_ms = self._clock.monotonic_ms()
        except UpstreamError:
            self._finish(life, run, RunEnd.NOT_STARTED)
        else:
            self._take_start(life, run, answer)

    def _take_start(self, life: WorkerLife, run: Run, answer: StartAnswer) -> None:
        if run.phase not in (RunPhase.STARTING, RunPhase.UNSURE):
            # A list overtook the answer.
            return
        if answer.verdict is StartVerdict.STARTED:
            self._begin(run)
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
        if answer.verdict is StartVerdict.UNWELL:
            self._note_failed(life, run)
        invalid = answer.verdict is StartVerdict.INVALID
        self._finish(life, run, RunEnd.FAILED if invalid else RunEnd.NOT_STARTED)

    def _begin(self, run: Run) -> None:
        run.begin(self._clock.monotonic_ms())
        self._metrics.incr("side.task_started")

    async def _stop(self, life: WorkerLife, run: Run) -> None:
        try:
            await self._orders.stop(life, run)
        except WorkerReplaced:
            self._end_life(life, "another life answered")
            return
        run.stopped_ms = self._clock.monotonic_ms()
        await self._look(life, at_once=True)

    def _stop_overdue(self, life: WorkerLife, now_ms: float) -> None:
        """Put a worker on trial on which runs of several jobs take too long, and free them."""
        ratios: dict[str, float] = {}
        overdue: list[tuple[float, Run]] = []
        for run in life.runs.values():
            if run.phase is RunPhase.RUNNING and not run.stopping:
                ratio = life.health.overdue_ratio(now_ms - run.began_ms, run.expected_ms)
                ratios[run.name.job] = max(ratio, ratios.get(run.name.job, 0.0))
                overdue.append((ratio, run))
        if life.health.record_overdue(now_ms, list(ratios.values())):
            logger.info(
                "worker on trial",
                extra={"worker": life.worker, "reason": "runs overdue", "runs": len(overdue)},
            )
            self._metrics.incr("side.worker_on_trial")
            self._on_change()
        if not life.health.on_probation:
            return
        for ratio, run in overdue:
            # What was moved once already is likely long by itself.
            if life.health.is_overdue(ratio) and run.attempt == 1:
                self.withdraw(run, RunEnd.LOST)

    async def _look(self, life: WorkerLife, *, at_once: bool) -> bool:
        """Compare the worker's lists with the runs; tell whether it answered."""
        asked_ms = self._clock.monotonic_ms()
        try:
            lists = await self._orders.look(life, at_once=at_once, renew=life.may_renew(asked_ms))
        except WorkerReplaced:
            self._end_life(life, "another life answered")
            return True
        if lists is not None and not life.over:
            self._take_lists(life, lists, asked_ms)
        return lists is not None

    def _take_lists(self, life: WorkerLife, lists: WorkerLists, asked_ms: float) -> None:
        for end in lists.ends:
            if end.place > life.noted:
                life.noted = end.place
                self._take_end(life, end)
        running = set(lists.running)
        for run in list(life.runs.values()):
            self._compare(life, run, run.name in running, asked_ms)
        self.fill()

    def _compare(self, life: WorkerLife, run: Run, listed: bool, asked_ms: float) -> None:
        """Settle a run whose fate is open by a list that was asked for at a time."""
        if run.phase is RunPhase.UNSURE and asked_ms >= run.unsure_ms:
            if listed:
                self._begin(run)
            else:
                # The start may still arrive; a stop of its number makes it come to nothing.
                self.withdraw(run)
        if run.stopped_ms and asked_ms >= run.stopped_ms and not listed:
            self._finish(life, run, run.stop_reason if run.begun else RunEnd.NOT_STARTED)

    def _take_end(self, life: WorkerLife, end: WorkerEnd) -> None:
        run = life.runs.get(end.name.task)
        if run is None or run.name != end.name:
            self._metrics.incr("side.stray_end")
            return
        if not run.begun:
            run.begin(self._clock.monotonic_ms())
        stopped = end.end in (RunEnd.STOPPED, RunEnd.LOST)
        self._finish(life, run, run.stop_reason if stopped and run.stopping else end.end)

    def _finish(self, life: WorkerLife, run: Run, end: RunEnd) -> None:
        """Let go of a run that has surely ended."""
        if run.phase is RunPhase.ENDED:
            return
        now_ms = self._clock.monotonic_ms()
        if end is RunEnd.DONE:
            life.health.record_success(now_ms - run.began_ms, run.expected_ms, now_ms)
        elif end is RunEnd.FAILED:
            self._note_failed(life, run)
        run.phase = RunPhase.ENDED
        life.reservations.release(run.name.task)
        life.runs.pop(run.name.task, None)
        self._work.set()
        self._report(run, end)
        self._on_change()

    def _note_failed(self, life: WorkerLife, run: Run) -> None:
        if life.health.record_failure(run.name.job, self._clock.monotonic_ms()):
            self._metrics.incr("side.worker_on_trial")
            logger.info(
                "worker on trial", extra={"worker": life.worker, "reason": "runs of many jobs fail"}
            )

    def _report(self, run: Run, end: RunEnd) -> None:
        if run.reported:
            return
        run.reported = True
        self._metrics.incr(f"side.run_ended.{end.value}")
        self._on_end(run, end)
