"""Run an entry of direct dispatch, and connect its components.

In direct dispatch a job lives and ends with the entry that accepted it. If that entry fails, the
caller resubmits the job to another one. In `currantbarrow.entry`, in contrast, jobs are divided
among the entries by shard, and another entry takes over the shards of one that fails.
"""

from __future__ import annotations

import asyncio
import functools
import math
import random
from collections.abc import Callable

import msgspec

from currantbarrow.background import BackgroundTasks
from currantbarrow.direct.admission import Refusal
from currantbarrow.direct.cancelling import JobCancelling
from currantbarrow.direct.confirmation import (
    RESUBMISSION_MIN_AGE_MS,
    JobConfirmation,
    move_resubmitted,
)
from currantbarrow.direct.dispatcher import JobDispatcher
from currantbarrow.direct.evacuation import STORE_SOURCE, EvacuationState, KnownEvacuations
from currantbarrow.direct.fleet import SideFleet
from currantbarrow.direct.history import RETENTION_MS, Acceptance, JobHistory
from currantbarrow.direct.hosts import ConfigurationSource, HostDirectory
from currantbarrow.direct.job import OpenJob
from currantbarrow.direct.model import JobSpec, WorkQueue
from currantbarrow.direct.peers import EntryPeers
from currantbarrow.direct.processes import ProcessEvidence, is_linkable
from currantbarrow.direct.routing import Configuration
from currantbarrow.direct.session import ORDER_END_LIMIT_MS
from currantbarrow.direct.standings import FINAL_STANDINGS, CancelOutcome, earlier_outcome
from currantbarrow.direct.submissions import Caller, PendingSubmission, PendingSubmissions
from currantbarrow.direct.supervision import Loop, start_loops
from currantbarrow.exceptions import ConfigurationError, LinkError
from currantbarrow.observe import logger
from currantbarrow.open_requests import OpenRequests
from currantbarrow.protocol import Hello, Role
from currantbarrow.protocol.direct import (
    CancelledRow,
    DemandRow,
    EntryPing,
    HostRow,
    JobStanding,
    ReportedJobs,
    ReportJobs,
    ShareHosts,
    ShowStanding,
    Standing,
    TakenRow,
)
from currantbarrow.types import Clock, Link, Metrics, Network

__all__ = ["DirectEntry", "DirectEntryOptions"]

EXPIRY_INTERVAL_MS = 1000.0
# How long to wait for the runs of a job to stop when another entry requests its release.
RELEASE_TIMEOUT_MS = 700.0
# How often another entry is asked for a release while it still has runs. One that has lost its link
# to a side process knows within three of these waits that they have ended.
RELEASE_REQUESTS = 4
# How long a job that ended here and is submitted again waits for its earlier runs to end. Those of
# a lost side process are certain to have ended sooner.
EARLIER_RUNS_TIMEOUT_MS = 3000.0
# Time to leave the directory and to answer after a drain that took all the time it may take.
WITHDRAW_MIN_MS = 50.0
DRAIN_POLL_INTERVAL_MS = 50.0
# Retry-After of a submission that is not received whole: other clients are refused meanwhile.
UNRECEIVED_RETRY_S = 1
ANSWER_POLL_INTERVAL_MS = 5.0

Parser = Callable[[bytes], Configuration]


class DirectEntryOptions(msgspec.Struct, frozen=True):
    """Configure an entry."""

    name: str
    incarnation: str
    # The address that others connect to, and the address to listen on.
    link_address: str
    listener_address: str
    data_centre: str
    # Addresses of entries that may already be running.
    seeds: tuple[str, ...]
    # How long new jobs are still accepted while draining, as callers learn of it with a delay.
    drain_accept_ms: float
    # The longest time from the start of draining to the exit of the process.
    drain_limit_ms: float
    # Whether operators may evacuate data centres.
    evacuations: bool = False
    # How much longer a task takes on a worker that is far from its data.
    far_factor: float = 1.0


class DirectEntry:
    """Accept jobs, and track the configuration and the other processes."""

    def __init__(
        self,
        options: DirectEntryOptions,
        *,
        clock: Clock,
        network: Network,
        rng: random.Random,
        metrics: Metrics,
        directory: HostDirectory,
        source: ConfigurationSource,
        parse: Parser,
    ) -> None:
        self.options = options
        self.current_configuration: Configuration | None = None
        self.draining = False
        self.requests = OpenRequests()
        self.evacuations = KnownEvacuations(clock, required=options.evacuations)
        self.history = JobHistory(clock)
        self.dispatcher = JobDispatcher(clock=clock, metrics=metrics, rng=rng, history=self.history)
        self.dispatcher.far_factor = options.far_factor
        self._clock = clock
        self._network = network
        self._metrics = metrics
        self._directory = directory
        self._source = source
        self._parse = parse
        # The other known entries and side processes, by address; several may run on one machine.
        self._processes: dict[str, HostRow] = {}
        self._evidence = ProcessEvidence(options.link_address)
        # The addresses of entries that end as soon as their jobs have ended.
        self._draining_entries: set[str] = set()
        self._submissions = PendingSubmissions(clock)
        self._background = BackgroundTasks(metrics)
        self._tasks: list[asyncio.Task[None]] = []
        self._drain_began_ms = 0.0
        self._hello = Hello(
            Role.ENTRY, options.name, options.incarnation, data_centre=options.data_centre
        )
        self.fleet = SideFleet(
            self._hello,
            options.link_address,
            clock=clock,
            network=network,
            rng=rng,
            metrics=metrics,
            listener=self.dispatcher,
            evacuations=self.evacuations,
        )
        self.dispatcher.fleet = self.dispatcher.risks.fleet = self.fleet
        self.peers = EntryPeers(
            self._hello,
            options.link_address,
            self.history,
            self,
            clock=clock,
            network=network,
            rng=rng,
            metrics=metrics,
            evacuations=self.evacuations,
            requests=self.requests,
        )
        self._cancelling = JobCancelling(
            self.history, self.peers, self.fleet, self, clock=clock, metrics=metrics
        )
        self._confirmation = JobConfirmation(
            self.dispatcher, self.peers, clock, metrics, self._handle_cancelled
        )

    async def start(self) -> None:
        """Listen for links, publish this entry and discover other processes."""
        await self._network.listen(self.options.listener_address, self._hello, self._serve)
        for seed in self.options.seeds:
            if seed != self.options.link_address:
                self.peers.add(seed)
        loops: dict[str, Loop] = {
            "publish": functools.partial(self._directory.publish, self._own_row()),
            "hosts": functools.partial(
                self._directory.follow,
                self._handle_published,
                self._handle_withdrawn,
                self._evidence.record_listing,
            ),
            "configuration": functools.partial(
                self._source.follow,
                self.apply_configuration,
                self._apply_stored_evacuations if self.options.evacuations else None,
            ),
            "fleet": self.fleet.run,
            "peers": self.peers.run,
            "tick": self._tick,
            "history": self._expire_history,
        }
        self._tasks = start_loops(loops, clock=self._clock, metrics=self._metrics)

    def is_ready(self) -> bool:
        """Return whether callers should be routed here."""
        return (
            not self.draining
            and self.current_configuration is not None
            and not self.evacuations.is_missing()
            and bool(self.fleet.handles())
        )

    async def drain(self) -> None:
        """Serve until callers are routed elsewhere and all is answered, or the limit passes.

        Peers keep their links to this entry meanwhile, since callers may cancel its jobs at other
        entries or resubmit them there. Jobs left at the limit are returned to their callers.
        """
        self.draining = True
        self._drain_began_ms = self._clock.monotonic_ms()
        logger.info("draining", extra=self._unfinished())
        self.peers.ping_all()
        while not self._has_drained():
            await self._clock.sleep_ms(DRAIN_POLL_INTERVAL_MS)
        logger.info("drained", extra=self._unfinished())
        for job in list(self.dispatcher.jobs.values()):
            self.dispatcher.move(job, "entry is shutting down")
        left_ms = max(WITHDRAW_MIN_MS, self.options.drain_limit_ms - self._drained_for_ms())
        until_ms = self._clock.monotonic_ms() + left_ms
        try:
            async with asyncio.timeout(left_ms / 1000):
                await self._directory.withdraw(self._own_row())
        except TimeoutError:
            logger.warning("directory did not answer in time", extra={"for_ms": round(left_ms)})
        # The jobs that were left are being answered, and so are requests read meanwhile.
        while self.requests and self._clock.monotonic_ms() < until_ms:
            await self._clock.sleep_ms(ANSWER_POLL_INTERVAL_MS)

    async def stop(self) -> None:
        """Stop immediately and close all links."""
        for task in self._tasks:
            task.cancel()
        self._background.cancel_all()
        self._confirmation.stop()
        self._cancelling.stop()
        self.fleet.stop()
        self.peers.stop()
        await self._network.stop()

    async def submit(
        self,
        spec: JobSpec,
        queue: WorkQueue,
        caller_timeout_ms: float,
        caller: Caller | None = None,
    ) -> OpenJob | Refusal | Standing:
        """Accept or join a job, or return its refusal or its earlier outcome."""
        received_ms = self._clock.monotonic_ms()
        job = self.dispatcher.jobs.get(spec.job_id)
        if job is not None:
            self._metrics.incr("entry.job_joined")
            return job
        outcome = earlier_outcome(self.history.known(spec.job_id))
        if outcome is not None:
            self._metrics.incr("entry.job_repeated")
            return outcome
        refusal = self._check_call(spec.job_id, caller)
        if refusal is not None:
            return refusal
        answer = await self._end_earlier_runs(spec.job_id)
        # The job may have been submitted here meanwhile.
        job = self.dispatcher.jobs.get(spec.job_id)
        if job is not None:
            return job
        if answer is not None:
            return answer
        if self.draining and self._is_past_drain_limit():
            # This submission has waited for earlier runs, so tasks of the job may have run.
            return Refusal("draining", 1, 0.0, may_have_run=True)
        if self.dispatcher.give_up_submitted(spec, queue):
            return Standing.FAILED
        if caller_timeout_ms > 0:
            caller_timeout_ms -= self._clock.monotonic_ms() - received_ms
            if caller_timeout_ms <= 0:
                return self._refuse_earlier(spec.job_id, "caller_left")
        if _has_left(caller):
            return self._refuse_earlier(spec.job_id, "caller_left")
        accepted = self.dispatcher.check_spread(spec, queue) or self.dispatcher.submit(
            spec, queue, caller_timeout_ms
        )
        if isinstance(accepted, Refusal):
            return self._complete_refusal(spec.job_id, accepted)
        return accepted

    def _check_call(self, job_id: str, caller: Caller | None) -> Refusal | None:
        """Return the refusal of a call for which nothing must be released elsewhere, if it is."""
        if self.draining and not self._accepts_while_draining():
            return self._complete_refusal(job_id, Refusal("draining", 1, 0.0))
        if _has_left(caller):
            # A busy entry reads a call late. Its job may run elsewhere, where the caller waits.
            return self._refuse_earlier(job_id, "caller_left")
        if self.dispatcher.has_stalled_lately():
            # The call may have arrived before, and its caller have left without a sign.
            return self._refuse_earlier(job_id, "isolated")
        return None

    def refuse_unreceived(self, job_id: str, reason: str) -> Refusal:
        """Return the refusal of a submission that is not received whole."""
        refusal = self._complete_refusal(job_id, Refusal(reason, UNRECEIVED_RETRY_S, 0.0))
        if job_id in self.dispatcher.jobs or self.history.final_standing(job_id) in FINAL_STANDINGS:
            return msgspec.structs.replace(refusal, may_have_run=True)
        return refusal

    async def cancel(self, job_id: str) -> CancelOutcome:
        """Cancel a job here and at the other processes, and return what is known of it."""
        # A submission that arrives after this, here or elsewhere, must not run, known or not.
        self.history.record_cancelled(job_id)
        self._submissions.withdraw(job_id)
        job = self.dispatcher.jobs.get(job_id)
        if job is not None:
            self.dispatcher.cancel(job, "cancelled by its caller")
        if self.history.final_standing(job_id) in FINAL_STANDINGS:
            return CancelOutcome.CANCELLED
        # A job that was abandoned, refused or moved may have been accepted elsewhere since.
        return await self._cancelling.cancel(job_id)

    def awaited_entries(self) -> set[str]:
        """Return the other entries that may have jobs, whether or not they are linked."""
        entries = {*self.options.seeds, *self.dispatcher.peers} - {self.options.link_address}
        return self._evidence.awaited(entries, self._clock.monotonic_ms())

    def awaited_sides(self) -> set[str]:
        """Return the side processes that may have runs, whether or not they are linked."""
        rows = self._processes.values()
        sides = {row.address for row in rows if row.role == Role.SIDE.value}
        return self._evidence.awaited(sides, self._clock.monotonic_ms())

    def standing_of(self, job_id: str) -> Standing:
        """Return the current standing of a job at this entry, without changing it."""
        return (
            Standing.OPEN if job_id in self.dispatcher.jobs else self.history.final_standing(job_id)
        )

    def _complete_refusal(self, job_id: str, refusal: Refusal) -> Refusal:
        """Say that a refused job may have run if it was accepted before, here or elsewhere."""
        if not self.history.attempts_used(job_id):
            return refusal
        return msgspec.structs.replace(refusal, may_have_run=True)

    async def _end_earlier_runs(self, job_id: str) -> Refusal | Standing | None:
        """Wait until earlier runs of a job have ended; return why it can't be accepted, if so."""
        with self._submissions.hold(job_id) as submission:
            standing = await self._release_elsewhere(job_id, submission)
            if standing in FINAL_STANDINGS:
                return standing
        if submission.withdrawn:
            reason = "withdrawn"
        elif self.dispatcher.was_isolated_since(submission.received_ms):
            # The caller may have left this entry and submitted the job to a peer meanwhile.
            reason = "isolated"
        elif standing is Standing.OPEN:
            reason = "earlier_runs"
        else:
            return None
        return self._refuse_earlier(job_id, reason)

    def _refuse_earlier(self, job_id: str, reason: str) -> Refusal:
        """Return the refusal of a job that an earlier submission may have started."""
        self._metrics.incr(f"entry.job_refused.{reason}")
        logger.info("job refused", extra={"job": job_id, "reason": reason})
        return Refusal(reason, 1, 0.0, may_have_run=True)

    async def _release_elsewhere(self, job_id: str, submission: PendingSubmission) -> Standing:
        """Wait until runs of a job here and at other entries have ended.

        Return its outcome elsewhere, if it has one, or OPEN if runs are left.
        """
        asked: set[str] = set()
        # A peer that accepted the job later than this submission keeps it.
        while not submission.withdrawn:
            acceptance = self.history.accepted_elsewhere(job_id)
            if acceptance is not None and acceptance.incarnation not in asked:
                asked.add(acceptance.incarnation)
                standing = await self._take_over(job_id, acceptance)
                if standing in FINAL_STANDINGS or standing is Standing.OPEN:
                    return standing
            if not await self.dispatcher.ending.wait_for_runs(job_id, EARLIER_RUNS_TIMEOUT_MS):
                return Standing.OPEN
            # A peer may have reported meanwhile that it had accepted the job.
            acceptance = self.history.accepted_elsewhere(job_id)
            if acceptance is None or acceptance.incarnation in asked:
                return Standing.UNKNOWN
        return Standing.OPEN

    async def _take_over(self, job_id: str, acceptance: Acceptance) -> Standing:
        """Make another entry release a job that its caller has resubmitted here.

        Return its outcome there, if it has one, or OPEN if runs that the entry ordered are left.
        """
        self._metrics.incr("entry.job_sent_again")
        answer = await self.peers.request_release(acceptance, job_id)
        logger.info(
            "job resubmitted here",
            extra={
                "job": job_id,
                "address": acceptance.address,
                "standing": answer and answer.standing.value,
            },
        )
        if answer is not None and answer.standing in FINAL_STANDINGS:
            return answer.standing
        if answer is None or answer.standing is Standing.OPEN or answer.cleared:
            # That entry is unreachable or still has runs, which the side processes stop; or it has
            # cleared the job, so they reject the orders of this entry.
            confirmed = await self._clear_job(job_id)
            if answer is None:
                unseen_end_ms = self._unseen_runs_end_ms(acceptance, confirmed)
                wait_ms = unseen_end_ms - self._clock.monotonic_ms()
                if wait_ms > EARLIER_RUNS_TIMEOUT_MS:
                    return Standing.OPEN
                if wait_ms > 0:
                    await self._clock.sleep_ms(wait_ms)
        # Side processes that this entry has no link to were not asked to stop the runs.
        standing = answer.standing if answer is not None else Standing.UNKNOWN
        for _ in range(RELEASE_REQUESTS - 1):
            if standing is not Standing.OPEN:
                break
            answer = await self.peers.request_release(acceptance, job_id)
            # Without an answer the runs are still left, as far as this entry knows.
            standing = answer.standing if answer is not None else Standing.OPEN
        return standing

    def _unseen_runs_end_ms(self, acceptance: Acceptance, confirmed: set[str]) -> float:
        """Return when the runs of an unreachable entry at unreachable side processes have ended.

        They reach each other behind a partition, and the entry keeps the job while it believes that
        its caller waits. An entry that has not said how long may do so is taken to have ended.
        """
        kept_until_ms = min(acceptance.kept_until_ms, self.peers.successor_since_ms(acceptance))
        if math.isinf(kept_until_ms) or not self.awaited_sides() - confirmed:
            return -math.inf
        return kept_until_ms + ORDER_END_LIMIT_MS

    async def _clear_job(self, job_id: str) -> set[str]:
        """Have side processes stop other entries' runs of a job; return who confirmed it."""
        self.history.record_cleared(job_id)
        began_ms = self._clock.monotonic_ms()
        confirmed = await self.fleet.clear_job(job_id)
        missing = self.awaited_sides() - confirmed
        logger.info(
            "runs of job stopped at side processes",
            extra={
                "job": job_id,
                "everywhere": not missing,
                "took_ms": round(self._clock.monotonic_ms() - began_ms),
                "unlinked": len(missing),
            },
        )
        return confirmed

    def configuration(self) -> tuple[int, bytes]:
        """Return version and document of the current configuration."""
        if self.current_configuration is None:
            return 0, b""
        return self.current_configuration.version, self.current_configuration.document

    def known_processes(self) -> list[HostRow]:
        """Return the known processes, including this one."""
        return [self._own_row(), *self._processes.values()]

    def apply_configuration(self, document: bytes) -> None:
        """Apply a configuration if it is newer than the current one."""
        try:
            configured = self._parse(document)
        except ConfigurationError as error:
            self._metrics.incr("entry.configuration_unreadable")
            logger.warning("invalid configuration ignored", extra={"error": str(error)})
            return
        before = self.current_configuration.version if self.current_configuration is not None else 0
        if configured.version <= before:
            return
        self.current_configuration = configured
        self._metrics.gauge("entry.configuration_version", configured.version)
        logger.info(
            "configuration applied", extra={"version": configured.version, "before": before}
        )

    def apply_evacuations(self, state: EvacuationState, source: str) -> None:
        """Apply the evacuated data centres if they are newer than those known, and pass them on."""
        if not self.options.evacuations:
            self._metrics.incr("entry.unexpected_message")
        elif self.evacuations.apply(state, source):
            self._metrics.gauge("entry.evacuated_data_centres", len(state.data_centres))
            self.fleet.share_evacuations()
            self.peers.share_evacuations()
            self.dispatcher.handle_evacuations()

    def _apply_stored_evacuations(self, state: EvacuationState) -> None:
        self.apply_evacuations(state, STORE_SOURCE)

    def demand(self) -> tuple[list[DemandRow], list[DemandRow]]:
        """Return the work that waits at this entry, and what arrives per second."""
        return self.dispatcher.demand()

    def has_waiting_peers(self) -> bool:
        """Return whether work waits at a peer."""
        return self.dispatcher.scarcity.peers.is_any_waiting(self._clock.monotonic_ms())

    def add_processes(self, rows: list[HostRow]) -> None:
        """Add the processes that a peer knows."""
        for row in rows:
            if row.address not in self._processes and not self._evidence.was_withdrawn(row):
                self._add_linkable(row)

    async def answer_standing(self, call: ShowStanding) -> JobStanding:
        """Answer with the standing of a job, after releasing it if the call requests it."""
        standing = await self._release(call.job) if call.release else self.standing_of(call.job)
        return JobStanding(call.call_id, standing, self.history.was_cleared(call.job))

    async def _release(self, job_id: str) -> Standing:
        """Stop and release a job if it is open, and return its standing.

        The runs of a job that may be run again have up to RELEASE_TIMEOUT_MS to stop; the standing
        is OPEN if some are left then.
        """
        self._submissions.withdraw(job_id)
        open_job = self.dispatcher.jobs.get(job_id)
        if open_job is not None:
            self.dispatcher.move(open_job)
        outcome = earlier_outcome(self.history.known(job_id))
        if outcome is not None:
            return outcome
        if not await self.dispatcher.ending.wait_for_runs(job_id, RELEASE_TIMEOUT_MS):
            return Standing.OPEN
        return self.history.final_standing(job_id)

    def stop_job(self, job_id: str, address: str) -> Standing:
        """Cancel a job, and return its standing before."""
        standing = self.standing_of(job_id)
        self._handle_cancelled([CancelledRow(job_id, 0.0)], address)
        return standing

    def _handle_cancelled(self, rows: list[CancelledRow], address: str) -> None:
        """Cancel jobs that a peer reports as cancelled, and run no later submissions of them."""
        for row in rows:
            # An age that is not a number would never expire.
            if not 0 <= row.age_ms <= RETENTION_MS:
                continue
            self.history.record_cancelled_elsewhere(row, address)
            self._submissions.withdraw(row.job)
            if row.job in self.dispatcher.jobs:
                job = self.dispatcher.jobs[row.job]
                self.dispatcher.cancel(job, "cancelled through another entry")

    def handle_peer_ping(self, ping: EntryPing, incarnation: str) -> None:
        """Record the jobs that a peer accepted, and release those resubmitted to it."""
        self._set_draining(ping.address, ping.draining)
        self.dispatcher.scarcity.peers.record(ping, self._clock.monotonic_ms())
        self._handle_cancelled(ping.cancelled, ping.address)
        self._handle_taken(ping.address, incarnation, ping.taken)

    def answer_reported_jobs(self, call: ReportJobs, incarnation: str) -> ReportedJobs:
        """Record the jobs of a peer that was out of contact, and return their acceptances."""
        self._handle_taken(call.address, incarnation, call.jobs)
        jobs = [row.job for row in call.jobs]
        taken = self.history.acceptances(jobs, incarnation)
        return ReportedJobs(call.call_id, taken, self.history.cancellings(jobs))

    def _handle_taken(self, address: str, incarnation: str, rows: list[TakenRow]) -> None:
        # An age that is not a number would hide all later acceptances of the job.
        rows = [row for row in rows if 0 <= row.age_ms < math.inf]
        self.history.record_peer_jobs(address, incarnation, rows)
        for row in rows:
            self._submissions.withdraw(row.job, row.age_ms + RESUBMISSION_MIN_AGE_MS)
        move_resubmitted(self.dispatcher, rows, address, self._clock.monotonic_ms())

    def _own_row(self) -> HostRow:
        options = self.options
        return HostRow(
            Role.ENTRY.value, options.link_address, options.incarnation, options.data_centre
        )

    async def _serve(self, link: Link) -> None:
        try:
            if link.peer.role is Role.ENTRY:
                await self.peers.serve_incoming(link)
                return
            # A side process that cannot reach the directory sends its own row.
            message = await link.receive()
            if isinstance(message, ShareHosts):
                for row in message.hosts:
                    self._evidence.record_registered(row)
                    self.fleet.connect_now(row.address)
                self.add_processes(message.hosts)
        except LinkError as error:
            logger.info("link closed", extra={"peer": link.peer.name, "error": str(error)})
        except Exception:
            self._metrics.incr("link.handler_failed")
            logger.exception("link handler failed", extra={"peer": link.peer.name})

    def _handle_published(self, row: HostRow) -> None:
        self._evidence.record_published(row)
        self._add_linkable(row)

    def _handle_withdrawn(self, address: str) -> None:
        if address == self.options.link_address and not self.draining:
            # The previous process at this address withdrew its row, which arrived late.
            logger.warning("own row removed from the directory, publishing it again")
            self._background.spawn(self._directory.publish(self._own_row()))
            return
        self._evidence.record_withdrawn(address, self._processes.get(address))
        self._remove_process(address)

    def _forget_departed(self) -> None:
        """Remove processes of which neither the directory nor a link shows that they exist."""
        self._evidence.record_links(
            {*self.options.seeds, *self._processes}, self._is_linked, self._clock.monotonic_ms()
        )
        addresses = [each for each in self._processes if each not in self.options.seeds]
        for address in self._evidence.find_departed(
            addresses, self._is_linked, self._clock.monotonic_ms()
        ):
            logger.info("process without directory row and link", extra={"address": address})
            self._metrics.incr("entry.process_forgotten")
            self._remove_process(address)

    def _is_linked(self, address: str) -> bool:
        return self.fleet.is_linked(address) or self.peers.is_linked(address)

    def _add_linkable(self, row: HostRow) -> None:
        """Add a process, unless no link can be opened to it."""
        if is_linkable(row):
            self._add_process(row)
            return
        # Any writer may have stored it; as an entry, it would also count as one that gets jobs.
        self._metrics.incr("entry.process_unlinkable")
        logger.warning(
            "process without a valid address ignored",
            extra={"role": row.role[:20], "address": row.address[:100]},
        )

    def _add_process(self, row: HostRow) -> None:
        if row.address == self.options.link_address:
            return
        former = self._processes.get(row.address)
        if former is None:
            logger.info("process added", extra={"role": row.role, "address": row.address})
        elif former.incarnation != row.incarnation:
            self.fleet.connect_now(row.address)
        self._processes[row.address] = row
        if row.role == Role.SIDE.value:
            self.fleet.add(row.address)
        elif row.role == Role.ENTRY.value:
            self.peers.add(row.address)
        self._update_entries()

    def _set_draining(self, address: str, draining: bool) -> None:
        if draining == (address in self._draining_entries):
            return
        logger.info("peer draining", extra={"address": address, "draining": draining})
        if draining:
            self._draining_entries.add(address)
        else:
            self._draining_entries.discard(address)
        self._update_entries()

    def _remove_process(self, address: str) -> None:
        row = self._processes.pop(address, None)
        if row is None:
            return
        logger.info("process removed", extra={"role": row.role, "address": address})
        if row.role == Role.SIDE.value:
            self.fleet.remove(address)
        else:
            self.peers.remove(address)
        self._update_entries()

    def _update_entries(self) -> None:
        rows = self._processes.values()
        others = [
            row.address
            for row in rows
            if row.role == Role.ENTRY.value and row.address not in self._draining_entries
        ]
        # Callers may have resubmitted jobs to entries that drain, too.
        self.dispatcher.peers = tuple(row.address for row in rows if row.role == Role.ENTRY.value)
        self.dispatcher.scarcity.set_peers(others)
        self.dispatcher.risks.entry_count = self.dispatcher.entry_count
        self.fleet.set_entries(others)

    async def _tick(self) -> None:
        while True:
            await self._clock.sleep_ms(self.dispatcher.tick_interval_ms())
            self.dispatcher.tick()
            self._confirmation.ask_peers()

    async def _expire_history(self) -> None:
        while True:
            await self._clock.sleep_ms(EXPIRY_INTERVAL_MS)
            self.history.expire()
            self.dispatcher.ending.expire()
            self.dispatcher.risks.expire()
            self._forget_departed()
            self._metrics.gauge("entry.open_jobs", len(self.dispatcher.jobs))

    def _drained_for_ms(self) -> float:
        return self._clock.monotonic_ms() - self._drain_began_ms

    def _accepts_while_draining(self) -> bool:
        return self._drained_for_ms() < self.options.drain_accept_ms

    def _is_past_drain_limit(self) -> bool:
        return self._drained_for_ms() > self.options.drain_limit_ms

    def _has_drained(self) -> bool:
        if self._is_past_drain_limit():
            return True
        is_unfinished = bool(self.dispatcher.jobs) or bool(self.requests)
        return not is_unfinished and not self._accepts_while_draining()

    def _unfinished(self) -> dict[str, int]:
        return {"jobs": len(self.dispatcher.jobs), "requests": len(self.requests)}


def _has_left(caller: Caller | None) -> bool:
    """Return whether the caller of a call is known to have left."""
    return caller is not None and caller.has_left()
