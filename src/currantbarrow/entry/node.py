"""Assemble an entry process and run it from start to drain."""

from __future__ import annotations

import asyncio
import contextlib
import random

import msgspec

from currantbarrow.background import BackgroundTasks
from currantbarrow.classes import ClassState, change_class, change_record_id
from currantbarrow.cluster import ClusterState, Lease, Member
from currantbarrow.entry.dispatch import Dispatcher
from currantbarrow.entry.handover import HandoverSender
from currantbarrow.entry.members import MemberRow, describe_members, find_retirable_incarnations
from currantbarrow.entry.membership import ENTRY_SUSPECT_MS, MembershipManager
from currantbarrow.entry.ownership import Ownership, OwnershipOptions
from currantbarrow.entry.peers import EntryPool
from currantbarrow.entry.router import Router
from currantbarrow.entry.serving import LinkServer
from currantbarrow.entry.sides import SidePool
from currantbarrow.exceptions import (
    CurrantbarrowError,
    LogServiceError,
)
from currantbarrow.jobs import JobAnswer, JobRequest, retention_ms
from currantbarrow.jobs.table import JobTable
from currantbarrow.logservice import (
    CLASS_STREAM,
    CLUSTER_STREAM,
    ClassDefinition,
    LogFollower,
    PeerSync,
    SnapshotRule,
    SnapshotWriter,
    sync_from_peers,
)
from currantbarrow.observe import EventRing, logger
from currantbarrow.open_requests import OpenRequests, raise_interrupted
from currantbarrow.policy import Policies
from currantbarrow.protocol import (
    Hello,
    Role,
    RpcClient,
)
from currantbarrow.types import Clock, LogService, Metrics, Network

__all__ = ["EntryNode", "EntryOptions"]

HEARTBEAT_MS = 1000.0
MAINTENANCE_INTERVAL_MS = 250.0
DRAIN_POLL_INTERVAL_MS = 20.0
# While the log service is reachable, records that peers have are requested from them only
# after this process has lagged behind for this time.
LAG_TOLERANCE_MS = 1500.0


class EntryOptions(msgspec.Struct, frozen=True):
    """Configure an entry process."""

    name: str
    incarnation: str
    link_address: str
    data_centre: str = ""
    rack: str = ""
    token: str = ""
    operator_address: str = ""
    lease_ms: float = 3000.0
    permission_ms: float = 2000.0
    skew_ms: float = 1000.0
    window_ms: float = 600_000.0
    drain_ms: float = 20_000.0
    peers: tuple[str, ...] = ()
    log_retention_ms: float = 86_400_000.0


class EntryNode:
    """Own shards, dispatch their jobs, and forward other jobs to their owners."""

    def __init__(
        self,
        options: EntryOptions,
        *,
        clock: Clock,
        network: Network,
        log: LogService,
        rng: random.Random,
        metrics: Metrics,
        events: EventRing,
        policies: Policies,
    ) -> None:
        self.options = options
        self.cluster = ClusterState()
        self.classes = ClassState()
        self.events = events
        self.metrics = metrics
        self.draining = False
        self._clock = clock
        self._network = network
        self._log = log
        self._rng = rng
        self._tasks: list[asyncio.Task[None]] = []
        self._background = BackgroundTasks(metrics)
        self._background_submissions: set[asyncio.Task[JobAnswer]] = set()
        self.requests = OpenRequests()
        self._hello = Hello(
            Role.ENTRY,
            options.name,
            options.incarnation,
            options.token,
            options.data_centre,
            options.rack,
        )
        self._build(policies)

    def _build(self, policies: Policies) -> None:
        options = self.options
        self.cluster_follower = self._follow(CLUSTER_STREAM, self.cluster)
        self.class_follower = self._follow(CLASS_STREAM, self.classes)
        self._followers = [self.cluster_follower, self.class_follower]
        self.peer_sync = PeerSync(
            [follower.replica for follower in self._followers],
            self._lag_tolerance_ms,
            clock=self._clock,
            rng=self._rng,
            metrics=self.metrics,
        )
        self.dispatcher = Dispatcher(
            clock=self._clock,
            metrics=self.metrics,
            events=self.events,
            policies=policies,
            table=JobTable(self._clock, retention_ms(options.window_ms, options.skew_ms)),
            may_start=self._may_start,
            epoch=lambda: self.ownership.version,
            owners=lambda: max(1, len(self.cluster.by_role(Role.ENTRY))),
        )
        self.sides = SidePool(
            self._hello,
            clock=self._clock,
            network=self._network,
            rng=self._rng,
            metrics=self.metrics,
            listener=self.dispatcher,
            peer_sync=self.peer_sync,
        )
        self.dispatcher.pool = self.sides
        self.entries = EntryPool(
            self._hello,
            clock=self._clock,
            network=self._network,
            rng=self._rng,
            peer_sync=self.peer_sync,
        )
        ownership_options = OwnershipOptions(
            lease_ms=options.lease_ms,
            permission_ms=options.permission_ms,
            skew_ms=options.skew_ms,
            window_ms=options.window_ms,
        )
        self.ownership = Ownership(
            options.incarnation,
            self.cluster,
            ownership_options,
            clock=self._clock,
            metrics=self.metrics,
            events=self.events,
            pool=self.sides,
            release_shards=lambda lost, to_hand_over: self.handovers.release_shards(
                self.ownership, lost, to_hand_over
            ),
            is_down=lambda owner: self.entries.down_for_ms(owner) > ENTRY_SUSPECT_MS,
            reported_version=self.entries.reported_version,
        )
        self.handovers = HandoverSender(
            clock=self._clock,
            metrics=self.metrics,
            background=self._background,
            cluster=self.cluster,
            dispatcher=self.dispatcher,
            entries=self.entries,
        )
        self.lease = Lease(
            options.incarnation,
            options.lease_ms,
            clock=self._clock,
            metrics=self.metrics,
            panel=self._panel_clients,
        )
        self.router = Router(
            options.incarnation,
            ownership_options,
            clock=self._clock,
            metrics=self.metrics,
            cluster=self.cluster,
            classes=self.classes,
            ownership=self.ownership,
            entries=self.entries,
            dispatcher=self.dispatcher,
            lease_held=self._may_start,
            classes_known=self.class_follower.caught_up.is_set,
        )
        self.server = LinkServer(
            HEARTBEAT_MS,
            clock=self._clock,
            metrics=self.metrics,
            background=self._background,
            router=self.router,
            ownership=self.ownership,
            dispatcher=self.dispatcher,
            sides=self.sides,
            classes=self.classes,
            peer_sync=self.peer_sync,
            requests=self.requests,
        )

    async def start(self) -> None:
        """Listen for links, follow the log and register as a member."""
        address = await self._network.listen(
            self.options.link_address, self._hello, self.server.serve
        )
        member = Member(
            Role.ENTRY,
            self.options.name,
            self.options.incarnation,
            address,
            self.options.data_centre,
            self.options.rack,
            self._clock.wall_ms(),
            self.options.operator_address,
        )
        self.cluster_follower.on_change(self._handle_cluster_change)
        self.membership = MembershipManager(
            member,
            follower=self.cluster_follower,
            state=self.cluster,
            log=self._log,
            clock=self._clock,
            rng=self._rng,
            metrics=self.metrics,
            events=self.events,
            sides=self.sides,
            entries=self.entries,
            ownership=self.ownership,
            lease=self.lease,
        )
        self._tasks = [
            asyncio.create_task(self.cluster_follower.run()),
            asyncio.create_task(self.class_follower.run()),
            asyncio.create_task(self.membership.run()),
            asyncio.create_task(
                self.lease.run(self.dispatcher.start_queued, self.dispatcher.release_waiting)
            ),
            asyncio.create_task(self.server.send_heartbeats()),
            asyncio.create_task(self._run_maintenance()),
            asyncio.create_task(self.dispatcher.run()),
            asyncio.create_task(self.sides.send_heartbeats()),
            asyncio.create_task(self.peer_sync.run()),
            asyncio.create_task(self._sync_from_peers()),
        ]
        self._tasks += [
            asyncio.create_task(writer.run()) for writer in self._create_snapshot_writers()
        ]

    async def drain(self) -> None:
        """Hand over all shards, wait at most `drain_ms` for open jobs and requests, and stop."""
        self.draining = True
        logger.info("draining")
        self.events.record("draining")
        deadline_ms = self._clock.monotonic_ms() + self.options.drain_ms
        with contextlib.suppress(LogServiceError, TimeoutError):
            await self.membership.announce_draining()
        while self._is_busy() and self._clock.monotonic_ms() < deadline_ms:
            await self._clock.sleep_ms(DRAIN_POLL_INTERVAL_MS)
        # Before the links close, whose end a waiting request would take for an answer.
        self.requests.interrupt()
        with contextlib.suppress(LogServiceError, TimeoutError):
            await self.membership.announce_left()
        await self.kill()

    async def kill(self) -> None:
        """Stop at once, without a handover or a record in the log, as a crash does."""
        for task in [*self._tasks, *self._background_submissions]:
            task.cancel()
        self._background.cancel_all()
        self.ownership.stop()
        self.dispatcher.stop()
        await self.sides.stop()
        await self.entries.stop()
        await self._network.stop()

    async def submit(self, request: JobRequest) -> JobAnswer:
        """Return the answer to a job; raise CurrantbarrowError."""
        return await self.requests.answer(self.router.submit(request), raise_interrupted)

    def submit_in_background(self, request: JobRequest) -> asyncio.Task[JobAnswer]:
        """Submit a job whose caller does not wait for the answer; raise JobInvalid."""
        self.router.check(request)
        task = asyncio.create_task(self.submit(request))
        self._background_submissions.add(task)
        task.add_done_callback(self._background_submission_ended)
        return task

    def _background_submission_ended(self, task: asyncio.Task[JobAnswer]) -> None:
        self._background_submissions.discard(task)
        error = None if task.cancelled() else task.exception()
        if isinstance(error, CurrantbarrowError):
            self.metrics.incr(f"entry.background_job_failed.{error.code}")

    async def change_class(
        self,
        name: str,
        based_on: int,
        definition: ClassDefinition | None,
        operator: str,
        change_id: str = "",
    ) -> int:
        """Change a class and return its new revision; raise ConfigurationError.

        A change that is repeated with the same change id, at any entry, is applied once.
        """
        unique_id = change_id or f"{self.options.incarnation}-{self._rng.getrandbits(64):016x}"
        return await change_class(
            name,
            based_on,
            definition,
            operator,
            record_id=change_record_id(unique_id, name, based_on, definition),
            state=self.classes,
            follower=self.class_follower,
            log=self._log,
            clock=self._clock,
            rng=self._rng,
        )

    def describe_members(self) -> list[MemberRow]:
        """Return all members, with their state as observed by this process."""
        return describe_members(self.cluster, self.entries, self.sides)

    async def retire_member(self, name: str, operator: str) -> list[str]:
        """Record that an unreachable process has ended; raise MemberAlive or MemberUnknown."""
        incarnations = find_retirable_incarnations(name, self.cluster, self.entries, self.sides)
        await self.membership.retire(incarnations, operator)
        logger.warning(
            "process retired by an operator",
            extra={"member": name, "incarnations": incarnations, "operator": operator},
        )
        return incarnations

    def is_ready(self) -> bool:
        """Return whether callers may use this entry: it knows an assignment and is not draining."""
        return not self.draining and self.cluster.assignment.version > 0

    def _follow(self, stream: str, state: ClusterState | ClassState) -> LogFollower:
        return LogFollower(stream, state, self._log, self._clock, self._rng, self.metrics)

    def _create_snapshot_writers(self) -> list[SnapshotWriter]:
        rule = SnapshotRule(self.options.log_retention_ms)
        return [
            SnapshotWriter(
                self.options.incarnation,
                follower,
                rule,
                log=self._log,
                clock=self._clock,
                rng=self._rng,
                metrics=self.metrics,
            )
            for follower in self._followers
        ]

    async def _sync_from_peers(self) -> None:
        # Peers keep one link per incarnation, so this temporary link needs an incarnation
        # of its own: otherwise they would replace it with the permanent link, or vice versa.
        incarnation = f"{self.options.incarnation}/state"
        await sync_from_peers(
            self.options.peers,
            msgspec.structs.replace(self._hello, incarnation=incarnation),
            [follower.replica for follower in self._followers],
            clock=self._clock,
            network=self._network,
            rng=self._rng,
        )

    def _lag_tolerance_ms(self, stream: str) -> float:
        follower = next(each for each in self._followers if each.stream == stream)
        return LAG_TOLERANCE_MS if follower.reachable else 0.0

    def _may_start(self) -> bool:
        return self.lease.is_held()

    def _panel_clients(self) -> tuple[int, list[RpcClient | None]]:
        assignment = self.cluster.assignment
        peers = [self.sides.peers.get(side) for side in assignment.panel]
        return assignment.version, [peer.rpc if peer else None for peer in peers]

    def _handle_cluster_change(self) -> None:
        self.sides.sync(self.cluster.by_role(Role.SIDE))
        self.entries.sync(self.cluster.by_role(Role.ENTRY))
        version = self.ownership.version
        self.ownership.sync()
        if self.ownership.version != version:
            self._background.spawn(self.lease.renew())

    def _is_busy(self) -> bool:
        owns_shards = any(
            owner == self.options.incarnation for owner in self.cluster.assignment.owners
        )
        no_successor = len([m for m in self.cluster.by_role(Role.ENTRY) if not m.draining]) == 0
        open_jobs = bool(self.dispatcher.table.open_jobs())
        answers_due = bool(self.requests) or self.handovers.active_sends > 0
        return open_jobs or answers_due or (owns_shards and not no_successor)

    async def _run_maintenance(self) -> None:
        """Remove expired jobs and shard state, and report new log offsets, until cancelled."""
        while True:
            await self._clock.sleep_ms(MAINTENANCE_INTERVAL_MS)
            self.dispatcher.table.expire()
            self.ownership.expire()
            self.sides.report_offsets()
