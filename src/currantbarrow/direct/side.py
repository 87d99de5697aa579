"""Serve entries beside a worker: execute their orders, report ends of runs and capacity."""

from __future__ import annotations

import asyncio
import collections
import functools

import msgspec

from currantbarrow.background import BackgroundTasks
from currantbarrow.direct.driver import WorkerDriver
from currantbarrow.direct.evacuation import KnownEvacuations
from currantbarrow.direct.history import RETENTION_MS
from currantbarrow.direct.hosts import AnnouncementStore, HostDirectory
from currantbarrow.direct.instance import WorkerInstance
from currantbarrow.direct.leases import LEASE_END_LIMIT_MS
from currantbarrow.direct.model import Resources
from currantbarrow.direct.registration import keep_registered
from currantbarrow.direct.reporting import NO_DELAY_MS, needs_prompt_report, report_delay_ms
from currantbarrow.direct.results import RecentResults
from currantbarrow.direct.runs import Run, RunPhase
from currantbarrow.direct.session import PING_INTERVAL_MS, EntryLease, LinkActivity
from currantbarrow.direct.supervision import Loop, start_loops
from currantbarrow.direct.warmup import WarmUp
from currantbarrow.direct.worker import Announcement, WorkerControl
from currantbarrow.exceptions import LinkError
from currantbarrow.observe import logger
from currantbarrow.protocol import Hello, Message, Role
from currantbarrow.protocol.direct import (
    ClearedJob,
    ClearJob,
    CrashRow,
    DropTasks,
    EndRow,
    HostRow,
    RunEnd,
    RunTasks,
    SessionPing,
    ShareEvacuations,
    SideReport,
    WorkerState,
)
from currantbarrow.types import Clock, Link, Metrics, Network

__all__ = ["DirectSide", "DirectSideOptions", "SideSession"]

TICK_INTERVAL_MS = 50.0
# Interval while the worker has no runs.
IDLE_TICK_INTERVAL_MS = 200.0
# How long the last ends need to reach the entries.
LAST_REPORTS_MS = 10.0
# Crashes that are reported over new links; entries remember them as long as they can use them.
CRASHES_KEPT = 32
# Poll interval while runs of another session or entry end.
END_POLL_INTERVAL_MS = 2.0
# Workers consider an announcement lost after one second without an answer. The first attempt to
# store it may go over a connection that has gone silent.
SAVE_TIMEOUTS_MS = (300.0, 600.0)
SAVE_RETRY_DELAY_MS = 700.0
# An entry that was isolated for as long as peers remember its jobs may still order them.
CLEARED_JOB_RETENTION_MS = RETENTION_MS
REJECTION_REASONS = {
    RunEnd.MOVED: "job moved",
    RunEnd.CANCELLED: "job cancelled",
    RunEnd.NOT_STARTED: "link lease expired",
}


class DirectSideOptions(msgspec.Struct, frozen=True):
    """Configure a side process."""

    name: str
    incarnation: str
    # The address that others connect to, and the address to listen on.
    link_address: str
    listener_address: str
    data_centre: str
    # Addresses of entries that may already be running.
    seeds: tuple[str, ...]
    # The longest lease that a worker accepts.
    worker_lease_ms: float
    # How long to wait for runs to end after the request to stop.
    drain_ms: float


class _ClearedJobRecord(msgspec.Struct, frozen=True):
    """Describe a job whose orders are rejected from all entries but one."""

    # The entry that cleared the job.
    incarnation: str
    cancelled: bool
    cleared_ms: float


class _NoticedCrash(msgspec.Struct, frozen=True):
    """Describe a crash of the worker, and when it was noticed."""

    row: CrashRow
    noticed_ms: float

    def report(self, now_ms: float) -> CrashRow:
        """Return the row with its present age."""
        age_ms = self.row.age_ms + now_ms - self.noticed_ms
        return msgspec.structs.replace(self.row, age_ms=age_ms)


class SideSession:
    """Track the link to one entry, its lease and its unreported ends."""

    __slots__ = (
        "closed",
        "crashes",
        "ends",
        "infrequent",
        "last_order_sequence",
        "last_report_ms",
        "lease",
        "link",
        "report_due_ms",
        "report_timer",
        "reported_state",
        "warm",
    )

    def __init__(self, link: Link, now_ms: float) -> None:
        self.link = link
        self.closed = False
        self.lease = EntryLease(now_ms)
        self.last_order_sequence = 0
        self.ends: list[EndRow] = []
        # Crashes that were not reported to the entry yet, and when they were noticed.
        self.crashes: list[_NoticedCrash] = []
        self.last_report_ms = 0.0
        self.report_timer: asyncio.TimerHandle | None = None
        self.report_due_ms = 0.0
        # The worker state that was last reported to the entry.
        self.reported_state: WorkerState | None = None
        # Whether the entry may send orders soon and needs changes of capacity.
        self.warm = True
        # Whether the entry tolerates infrequent reports while it has no runs.
        self.infrequent = False

    def activity(self, busy: bool) -> LinkActivity:
        """Return how much the link is used, given whether the entry has runs."""
        if busy or not self.infrequent:
            return LinkActivity.BUSY
        return LinkActivity.IDLE if self.warm else LinkActivity.COLD

    def has_expired(self, now_ms: float, busy: bool) -> bool:
        """Return whether the entry has acknowledged no report for too long."""
        return self.lease.age_ms(now_ms) >= self.activity(busy).timeout_ms

    def is_report_due(self, now_ms: float, busy: bool, margin_ms: float) -> bool:
        """Return whether a periodic report to the entry is due, or will be within a margin."""
        interval_ms = self.activity(busy).report_interval_ms
        return now_ms - self.last_report_ms >= interval_ms - margin_ms


class DirectSide:
    """Run the side process of a worker."""

    def __init__(
        self,
        options: DirectSideOptions,
        control: WorkerControl,
        *,
        clock: Clock,
        network: Network,
        metrics: Metrics,
        directory: HostDirectory,
        announcements: AnnouncementStore,
    ) -> None:
        self.options = options
        self._directory = directory
        self._announcements = announcements
        # The worker, its birth, its leaving flag and its capacity in the last stored announcement.
        self._saved_key: tuple[str, int, bool, Resources] | None = None
        # The same of the newest announcement that was to be stored.
        self._newest_key: tuple[str, int, bool, Resources] | None = None
        self.address = ""
        self._clock = clock
        self._network = network
        self._metrics = metrics
        self._background = BackgroundTasks(metrics)
        self._sessions: list[SideSession] = []
        self._results = RecentResults()
        self._crashes: collections.deque[_NoticedCrash] = collections.deque(maxlen=CRASHES_KEPT)
        self._cleared_jobs: dict[str, _ClearedJobRecord] = {}
        self._evacuations = KnownEvacuations(clock)
        self._warm_up = WarmUp()
        # When the leases that an earlier process granted to the worker have expired.
        self._stray_runs_until_ms = 0.0
        self._tasks: list[asyncio.Task[None]] = []
        self.driver = WorkerDriver(
            control,
            clock=clock,
            metrics=metrics,
            lease_ms=options.worker_lease_ms,
            on_end=self._handle_run_end,
            on_change=self._handle_worker_change,
            on_crash=self._handle_crash,
        )

    async def start(self) -> None:
        """Listen for entries."""
        hello = Hello(
            Role.SIDE,
            self.options.name,
            self.options.incarnation,
            data_centre=self.options.data_centre,
        )
        self.address = await self._network.listen(self.options.listener_address, hello, self._serve)
        # An earlier process has ended, or this one could not listen on its address.
        self._stray_runs_until_ms = self._clock.monotonic_ms() + LEASE_END_LIMIT_MS
        row = HostRow(
            Role.SIDE.value,
            self.options.link_address,
            self.options.incarnation,
            self.options.data_centre,
        )
        registering = functools.partial(
            keep_registered,
            row,
            self.options.seeds,
            hello,
            directory=self._directory,
            network=self._network,
            clock=self._clock,
            count_links=lambda: len(self._sessions),
        )
        loops: dict[str, Loop] = {
            "registration": registering,
            "announcement": self._restore_announcement,
            "polls": self.driver.run,
            "tick": self._tick,
        }
        self._tasks = start_loops(loops, clock=self._clock, metrics=self._metrics)

    async def handle_announcement(self, announcement: Announcement) -> None:
        """Apply an announcement, and store it if the worker, its flag or its capacity changed."""
        counts = self.driver.handle_announcement(announcement)
        # The announcement may have raised the capacity again.
        self._warm_up.limit(self.driver.instance, self._clock.monotonic_ms())
        if not counts:
            # A delayed one must not replace the stored announcement of a later instance.
            return
        instance = self.driver.instance
        key = (announcement.worker, announcement.born_ms)
        if instance is not None and key == (instance.worker, instance.born_ms):
            # A delayed announcement must not replace that of a worker which has begun to leave.
            announcement = instance.announcement
        await self._save(announcement)

    def handle_departure(self, worker: str) -> None:
        """Apply a worker's report of its shutdown, and store that it leaves."""
        self.driver.handle_departure(worker)
        instance = self.driver.instance
        if instance is not None and instance.worker == worker:
            self._background.spawn(self._save_departure(instance))

    async def _save_departure(self, instance: WorkerInstance) -> None:
        """Store that a worker instance leaves, which it reports only once."""
        while (
            instance.announcement.leaving
            # The announcement of a successor must not be replaced.
            and self.driver.instance in (None, instance)
            and not await self._save(instance.announcement)
        ):
            await self._clock.sleep_ms(SAVE_RETRY_DELAY_MS)

    async def _save(self, announcement: Announcement) -> bool:
        """Store an announcement, unless nothing of it has changed; return whether it is stored."""
        key = (
            announcement.worker,
            announcement.born_ms,
            announcement.leaving,
            announcement.capacity,
        )
        self._newest_key = key
        if key == self._saved_key:
            return True
        # After a restart, the side process must not mistake a leaving worker for one that stays, or
        # exceed a capacity that has shrunk. An attempt without an answer may have stored it.
        self._saved_key = None
        for timeout_ms in SAVE_TIMEOUTS_MS:
            if await self._announcements.save(announcement, timeout_ms):
                self._saved_key = key
                return True
            if self._newest_key != key:
                # A second attempt would replace a newer announcement.
                break
        # The next announcement tries again.
        logger.warning("announcement not stored", extra={"worker": announcement.worker})
        return False

    async def _restore_announcement(self) -> None:
        announcement = await self._announcements.load()
        if announcement is not None and self.driver.instance is None and not self._newest_key:
            logger.info(
                "announcement restored",
                extra={"worker": announcement.worker, "born_ms": announcement.born_ms},
            )
            self.driver.handle_announcement(announcement)

    async def drain(self) -> None:
        """Accept no more orders, and wait for the runs to end."""
        self.driver.draining = True
        self.driver.start_waiting_runs()
        self._handle_worker_change()
        until_ms = self._clock.monotonic_ms() + self.options.drain_ms
        while self.driver.runs() and self._clock.monotonic_ms() < until_ms:
            await self._clock.sleep_ms(TICK_INTERVAL_MS)
        # Allow the last ends to be reported before the links close.
        await self._clock.sleep_ms(LAST_REPORTS_MS)

    async def stop(self) -> None:
        """Stop immediately and close all links."""
        for task in self._tasks:
            task.cancel()
        self.driver.stop()
        self._background.cancel_all()
        await self._network.stop()

    async def _serve(self, link: Link) -> None:
        await self._end_earlier_sessions(link.peer.incarnation)
        session = SideSession(link, self._clock.monotonic_ms())
        # Reports on an earlier link may not have arrived.
        session.ends = self._results.recent(link.peer.incarnation)
        session.crashes = list(self._crashes)
        self._sessions.append(session)
        logger.info("entry connected", extra={"entry": link.peer.name})
        try:
            self._report(session)
            while True:
                self._handle(session, await link.receive())
        except LinkError as error:
            logger.info("entry disconnected", extra={"entry": link.peer.name, "error": str(error)})
        except Exception:
            # The entry opens a new link, over which it learns that its runs here have ended.
            self._metrics.incr("link.handler_failed")
            logger.exception("link handler failed", extra={"peer": link.peer.name})
        finally:
            self._close_session(session)

    async def _end_earlier_sessions(self, incarnation: str) -> None:
        """Close earlier sessions of an entry and wait until their runs have ended.

        The first report on a new link therefore confirms to the entry that they have ended.
        """
        for session in list(self._sessions):
            if session.link.peer.incarnation == incarnation:
                session.link.abort()
                self._close_session(session)
        while any(
            run.session.link.peer.incarnation == incarnation and not run.reported
            for run in self.driver.runs()
        ):
            await self._clock.sleep_ms(END_POLL_INTERVAL_MS)

    def _handle(self, session: SideSession, message: Message) -> None:
        if session.closed:
            # The link still delivers what it had received. Runs ordered now would not be reported,
            # and the entry may already count them as ended.
            logger.info(
                "message on closed link ignored",
                extra={"entry": session.link.peer.name, "type": type(message).__name__},
            )
            return
        match message:
            case SessionPing():
                self._renew_lease(session, message.heard_ms)
                session.infrequent = message.infrequent
                self._set_warm(session, message.warm)
            case RunTasks():
                self._handle_orders(session, message)
            case DropTasks():
                self._renew_lease(session, message.heard_ms)
                self._cancel_runs(session, message.job)
            case ShareEvacuations():
                self._apply_evacuations(session, message)
            case ClearJob():
                self._background.spawn(self._clear_job(session, message))
            case _:
                self._metrics.incr("side.unexpected_message")

    def _apply_evacuations(self, session: SideSession, message: ShareEvacuations) -> None:
        """Start nothing while the data centre is evacuated, and let the current runs end."""
        self._evacuations.apply_message(message, session.link.peer.name)
        evacuated = self._evacuations.is_evacuated(self.options.data_centre)
        if evacuated != self.driver.evacuated:
            self.driver.evacuated = evacuated
            if evacuated:
                waiting = [run for run in self.driver.runs() if run.phase is RunPhase.WAITING]
                self._metrics.incr("side.order_evacuated", len(waiting))
            else:
                self._warm_up.begin(self._clock.monotonic_ms())
                self._warm_up.limit(self.driver.instance, self._clock.monotonic_ms())
            self.driver.start_waiting_runs()
            # Entries with cold links count the worker's capacity, too.
            for each in self._sessions:
                self._schedule_report(each, NO_DELAY_MS)
        # Confirms the receipt, also of a state that was known.
        self._report(session)

    def _renew_lease(self, session: SideSession, heard_ms: float) -> None:
        if heard_ms <= self._clock.monotonic_ms():
            session.lease.renew(heard_ms)
        else:
            # No report has a later stamp; the lease would not expire before it.
            self._metrics.incr("side.unexpected_message")

    def _set_warm(self, session: SideSession, warm: bool) -> None:
        was_warm, session.warm = session.warm, warm
        if warm and not was_warm:
            # The entry sends no orders before it has received the current state.
            self._report(session)

    def _handle_orders(self, session: SideSession, orders: RunTasks) -> None:
        now_ms = self._clock.monotonic_ms()
        self._renew_lease(session, orders.heard_ms)
        session.last_order_sequence = max(session.last_order_sequence, orders.sequence)
        cleared = self._cleared_jobs.get(orders.job)
        rejection: RunEnd | None = None
        if cleared is not None and cleared.incarnation != session.link.peer.incarnation:
            rejection = RunEnd.CANCELLED if cleared.cancelled else RunEnd.MOVED
        elif not session.lease.is_valid(now_ms):
            rejection = RunEnd.NOT_STARTED
        for order in orders.tasks:
            run = Run(
                session,
                orders.job,
                orders.payload,
                order,
                now_ms,
                orders.queue,
                orders.revision,
            )
            if rejection is None:
                if self.driver.evacuated:
                    self._metrics.incr("side.order_evacuated")
                self.driver.submit(run)
                # The entry expects frequent reports from its first order on.
                self._schedule_report(session, PING_INTERVAL_MS)
            else:
                self._reject_order(session, run, rejection, now_ms)

    def _reject_order(
        self, session: SideSession, run: Run, rejection: RunEnd, now_ms: float
    ) -> None:
        self._metrics.incr("side.stale_order")
        logger.info(
            "order rejected",
            extra={
                "job": run.name.job,
                "task": run.name.index,
                "reason": REJECTION_REASONS[rejection],
                "age_ms": round(session.lease.age_ms(now_ms)),
            },
        )
        session.ends.append(run.end_row(rejection, now_ms))
        self._schedule_report(session, NO_DELAY_MS)

    def _cancel_runs(self, session: SideSession, job: str | None = None) -> None:
        """Cancel the runs of an entry, all of them or those of one job."""
        for run in self.driver.runs():
            if run.session is session and job in (None, run.name.job):
                self.driver.cancel(run)

    async def _clear_job(self, session: SideSession, call: ClearJob) -> None:
        now_ms = self._clock.monotonic_ms()
        cleared = self._cleared_jobs.get(call.job)
        # An entry that takes over the job may have missed its cancelling.
        if call.cancelled or cleared is None or not cleared.cancelled:
            self._cleared_jobs[call.job] = _ClearedJobRecord(
                session.link.peer.incarnation, call.cancelled, now_ms
            )
        runs = [
            run
            for run in self.driver.runs()
            if run.name.job == call.job and run.session is not session
        ]
        for run in runs:
            self.driver.cancel(run)
        while self._may_have_stray_runs() or not all(run.reported for run in runs):
            await self._clock.sleep_ms(END_POLL_INTERVAL_MS)
        if not session.link.closed:
            session.link.post(ClearedJob(call.call_id))

    def _may_have_stray_runs(self) -> bool:
        """Return whether runs that an earlier process ordered may still run on the worker."""
        return (
            not self.driver.has_taken_over
            and self._clock.monotonic_ms() < self._stray_runs_until_ms
        )

    async def _tick(self) -> None:
        while True:
            interval_ms = TICK_INTERVAL_MS if self.driver.runs() else IDLE_TICK_INTERVAL_MS
            await self._clock.sleep_ms(interval_ms)
            now_ms = self._clock.monotonic_ms()
            busy = {run.session for run in self.driver.runs()}
            for session in list(self._sessions):
                if session.has_expired(now_ms, session in busy):
                    logger.info(
                        "entry did not acknowledge reports, closing link",
                        extra={
                            "entry": session.link.peer.name,
                            "age_ms": round(session.lease.age_ms(now_ms)),
                        },
                    )
                    self._metrics.incr("side.entry_silent")
                    session.link.abort()
                    self._close_session(session)
                elif session.is_report_due(now_ms, session in busy, interval_ms):
                    self._report(session)
            self._warm_up.limit(self.driver.instance, now_ms)
            self._results.expire(now_ms)
            self.driver.tick()
            self.driver.start_waiting_runs()
            for job, cleared in list(self._cleared_jobs.items()):
                if now_ms - cleared.cleared_ms > CLEARED_JOB_RETENTION_MS:
                    del self._cleared_jobs[job]

    def _close_session(self, session: SideSession) -> None:
        """Close the session of an entry that is lost, and cancel its runs."""
        if session not in self._sessions:
            return
        self._sessions.remove(session)
        session.closed = True
        if session.report_timer is not None:
            session.report_timer.cancel()
        self._cancel_runs(session)

    def _handle_run_end(self, run: Run, end: RunEnd) -> None:
        now_ms = self._clock.monotonic_ms()
        logger.info(
            "run ended",
            extra={
                "job": run.name.job,
                "task": run.name.index,
                "run": run.name.number,
                "end": end.value,
                "waited_ms": round((run.started_ms or now_ms) - run.ordered_ms),
                "ran_ms": round(now_ms - run.started_ms) if run.has_started else 0,
                "expected_ms": round(run.expected_ms),
            },
        )
        row = run.end_row(end, now_ms)
        run.session.ends.append(row)
        self._results.record(run.session.link.peer.incarnation, row, now_ms)
        self._schedule_report(run.session, NO_DELAY_MS)

    def _handle_crash(self, row: CrashRow) -> None:
        """Report a crash to all entries, as any of them may order the blamed tasks next."""
        crash = _NoticedCrash(row, self._clock.monotonic_ms())
        self._crashes.append(crash)
        for session in self._sessions:
            session.crashes.append(crash)
            self._schedule_report(session, NO_DELAY_MS)

    def _handle_worker_change(self) -> None:
        # The worker may be a new instance.
        self._warm_up.limit(self.driver.instance, self._clock.monotonic_ms())
        state = self.driver.state()
        warm = [session for session in self._sessions if session.warm]
        for session in warm:
            reported = session.reported_state
            if needs_prompt_report(reported, state):
                self._schedule_report(session, report_delay_ms(reported, state, len(warm)))

    def _schedule_report(self, session: SideSession, delay_ms: float) -> None:
        if session not in self._sessions:
            return
        due_ms = self._clock.monotonic_ms() + delay_ms
        if session.report_timer is not None:
            if session.report_due_ms <= due_ms:
                return
            session.report_timer.cancel()
        loop = asyncio.get_running_loop()
        session.report_due_ms = due_ms
        session.report_timer = loop.call_later(delay_ms / 1000, self._report, session)

    def _report(self, session: SideSession) -> None:
        if session.report_timer is not None:
            session.report_timer.cancel()
            session.report_timer = None
        now_ms = self._clock.monotonic_ms()
        session.reported_state = self.driver.state()
        report = SideReport(
            now_ms,
            session.last_order_sequence,
            session.reported_state,
            session.ends,
            [crash.report(now_ms) for crash in session.crashes],
        )
        try:
            session.link.post(report)
        except LinkError:
            # The link's reader closes the session, and a new link confirms that its runs ended.
            self._metrics.incr("side.owner_unreachable")
            return
        session.last_report_ms = now_ms
        session.ends = []
        session.crashes = []
