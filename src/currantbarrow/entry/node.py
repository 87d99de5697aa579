"""Be an entry process: wire its parts together and serve the links that others open."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Coroutine

import msgspec

from currantbarrow.classes import ClassState, change_class, change_record_id
from currantbarrow.cluster import ClusterState, Lease, Member
from currantbarrow.entry.dispatch import Dispatcher
from currantbarrow.entry.handover import build_handovers, take_handover
from currantbarrow.entry.ownership import Ownership, OwnershipOptions
from currantbarrow.entry.peers import EntryPool
from currantbarrow.entry.router import Router
from currantbarrow.entry.sides import SidePool
from currantbarrow.entry.steward import ENTRY_SUSPECT_MS, Steward
from currantbarrow.exceptions import (
    CurrantbarrowError,
    JobUnknown,
    LinkError,
    LogServiceError,
)
from currantbarrow.jobs import JobAnswer, JobRequest, retention_ms
from currantbarrow.jobs.table import JobTable
from currantbarrow.logservice import (
    CLASS_STREAM,
    CLUSTER_STREAM,
    ClassDefinition,
    LogFollower,
    SnapshotRule,
    SnapshotWriter,
    StateSharing,
    ask_peers,
)
from currantbarrow.observe import EventRing, logger
from currantbarrow.policy import Policies
from currantbarrow.protocol import (
    Caller,
    CancelJob,
    Failure,
    Forward,
    Forwarded,
    Handover,
    HandoverDone,
    Heartbeat,
    Hello,
    JobShown,
    LastSeen,
    Message,
    RecordsWanted,
    Role,
    Seen,
    ShowJob,
)
from currantbarrow.protocol.heartbeats import HeartbeatSchedule
from currantbarrow.types import Clock, Link, LogService, Metrics, Network

__all__ = ["EntryNode", "EntryOptions"]

HEARTBEAT_MS = 1000.0
HANDOVER_TIMEOUT_MS = 1000.0
HANDOVER_GIVE_UP_MS = 4000.0
DRAIN_LOOK_MS = 20.0
# An entry that follows the log itself leaves peers alone until it lags by this much.
LAG_PATIENCE_MS = 1500.0


class EntryOptions(msgspec.Struct, frozen=True):
    """Set what an entry process needs to know of itself."""

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


class MemberRow(msgspec.Struct, frozen=True):
    """Show one member as an entry process sees it."""

    member: Member
    up: bool
    shards: int
    on_panel: bool
    slots: int
    used_slots: int


class EntryNode:
    """Own shards, dispatch their jobs, and pass other jobs on to their owners."""

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
        self._links: dict[str, Link] = {}
        self._heartbeats = HeartbeatSchedule(HEARTBEAT_MS)
        self._tasks: list[asyncio.Task[None]] = []
        self._background: set[asyncio.Task[None]] = set()
        self._submissions: set[asyncio.Task[JobAnswer]] = set()
        self._handovers = 0
        self._waiting = 0
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
        self.sharing = StateSharing(
            [follower.copy for follower in self._followers],
            self._patience_ms,
            clock=self._clock,
            rng=self._rng,
            metrics=self.metrics,
        )
        self.dispatcher = Dispatcher(
            clock=self._clock,
            rng=self._rng,
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
            sharing=self.sharing,
        )
        self.dispatcher.pool = self.sides
        self.entries = EntryPool(
            self._hello,
            clock=self._clock,
            network=self._network,
            rng=self._rng,
            on_change=lambda: None,
            sharing=self.sharing,
        )
        times = OwnershipOptions(
            lease_ms=options.lease_ms,
            permission_ms=options.permission_ms,
            skew_ms=options.skew_ms,
            window_ms=options.window_ms,
        )
        self.ownership = Ownership(
            options.incarnation,
            self.cluster,
            times,
            clock=self._clock,
            metrics=self.metrics,
            events=self.events,
            pool=self.sides,
            give_up=self._give_up,
            is_down=lambda owner: self.entries.down_for_ms(owner) > ENTRY_SUSPECT_MS,
        )
        self.lease = Lease(
            options.incarnation,
            options.lease_ms,
            clock=self._clock,
            metrics=self.metrics,
            panel=self._panel,
        )
        self.router = Router(
            options.incarnation,
            times,
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

    async def start(self) -> None:
        """Listen for links, follow the log and take part."""
        address = await self._network.listen(self.options.link_address, self._hello, self._serve)
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
        self.cluster_follower.on_change(self._cluster_changed)
        self.steward = Steward(
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
            asyncio.create_task(self.steward.run()),
            asyncio.create_task(
                self.lease.run(self.dispatcher.pump, self.dispatcher.release_waiting)
            ),
            asyncio.create_task(self._beat()),
            asyncio.create_task(self.sides.beat()),
            asyncio.create_task(self.sharing.run()),
            asyncio.create_task(self._ask_peers()),
        ]
        self._tasks += [asyncio.create_task(writer.run()) for writer in self._create_writers()]

    async def drain(self) -> None:
        """Give all shards away, wait for the last answers, and stop."""
        self.draining = True
        logger.info("draining")
        self.events.record("draining")
        deadline_ms = self._clock.monotonic_ms() + self.options.drain_ms
        with contextlib.suppress(LogServiceError, TimeoutError):
            await self.steward.announce_draining()
        while self._is_busy() and self._clock.monotonic_ms() < deadline_ms:
            await self._clock.sleep_ms(DRAIN_LOOK_MS)
        with contextlib.suppress(LogServiceError, TimeoutError):
            await self.steward.announce_left()
        await self.kill()

    async def kill(self) -> None:
        """End at once, as a crash does."""
        for task in [*self._tasks, *self._background, *self._submissions]:
            task.cancel()
        self.ownership.stop()
        self.dispatcher.stop()
        await self.sides.stop()
        await self.entries.stop()
        await self._network.stop()

    async def submit(self, request: JobRequest) -> JobAnswer:
        """Return the answer to a caller's job; raise JobInvalid, JobConflict or OwnershipError."""
        self._waiting += 1
        try:
            return await self.router.submit(request)
        finally:
            self._waiting -= 1

    def submit_in_background(self, request: JobRequest) -> asyncio.Task[JobAnswer]:
        """Let a job in whose caller comes back for the answer; raise JobInvalid."""
        self.router.check(request)
        task = asyncio.create_task(self.submit(request))
        self._submissions.add(task)
        task.add_done_callback(self._submission_ended)
        return task

    def _submission_ended(self, task: asyncio.Task[JobAnswer]) -> None:
        self._submissions.discard(task)
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

        A change repeated under the same change id, at any entry, is made once.
        """
        unique = change_id or f"{self.options.incarnation}-{self._rng.getrandbits(64):016x}"
        return await change_class(
            name,
            based_on,
            definition,
            operator,
            record_id=change_record_id(unique, name, based_on, definition),
            state=self.classes,
            follower=self.class_follower,
            log=self._log,
            clock=self._clock,
            rng=self._rng,
        )

    def describe_members(self) -> list[MemberRow]:
        """Return all members as this process sees them."""
        rows = []
        for member in self.cluster.members.values():
            peer = self.sides.peers.get(member.incarnation)
            is_entry = member.role is Role.ENTRY
            up = (
                self.entries.down_for_ms(member.incarnation) == 0.0
                if is_entry
                else bool(peer and peer.up)
            )
            rows.append(
                MemberRow(
                    member,
                    up,
                    len(self.cluster.assignment.shards_of(member.incarnation)),
                    member.incarnation in self.cluster.assignment.panel,
                    peer.view.slots if peer else 0,
                    peer.view.outstanding + peer.view.others if peer else 0,
                )
            )
        return sorted(rows, key=lambda row: (row.member.role, row.member.name))

    def is_ready(self) -> bool:
        """Tell whether callers should be sent here."""
        return not self.draining and self.cluster.assignment.version > 0

    def _follow(self, stream: str, state: ClusterState | ClassState) -> LogFollower:
        return LogFollower(stream, state, self._log, self._clock, self._rng, self.metrics)

    def _create_writers(self) -> list[SnapshotWriter]:
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

    async def _ask_peers(self) -> None:
        # The link has an incarnation of its own, so that peers don't take it for the
        # lasting one.
        incarnation = f"{self.options.incarnation}/state"
        await ask_peers(
            self.options.peers,
            msgspec.structs.replace(self._hello, incarnation=incarnation),
            [follower.copy for follower in self._followers],
            clock=self._clock,
            network=self._network,
            rng=self._rng,
        )

    def _patience_ms(self, stream: str) -> float:
        follower = next(each for each in self._followers if each.stream == stream)
        return LAG_PATIENCE_MS if follower.reachable else 0.0

    def _may_start(self) -> bool:
        return self.lease.held()

    def _panel(self) -> tuple[int, list[Caller | None]]:
        assignment = self.cluster.assignment
        peers = [self.sides.peers.get(side) for side in assignment.panel]
        return assignment.version, [peer.caller if peer else None for peer in peers]

    def _cluster_changed(self) -> None:
        self.sides.sync(self.cluster.by_role(Role.SIDE))
        self.entries.sync(self.cluster.by_role(Role.ENTRY))
        version = self.ownership.version
        self.ownership.sync()
        if self.ownership.version != version:
            self._spawn(self.lease.renew())

    def _is_busy(self) -> bool:
        owns = any(owner == self.options.incarnation for owner in self.cluster.assignment.owners)
        alone = len([m for m in self.cluster.by_role(Role.ENTRY) if not m.draining]) == 0
        open_jobs = bool(self.dispatcher.table.open_jobs())
        return open_jobs or self._handovers > 0 or self._waiting > 0 or (owns and not alone)

    async def _serve(self, link: Link) -> None:
        """Handle the messages of one link until it closes."""
        peer = link.peer.incarnation
        self._links[peer] = link
        try:
            link.post(self.sharing.heartbeat())
            while True:
                self._handle(link, await link.receive())
        except LinkError:
            if self._links.get(peer) is link:
                del self._links[peer]
                self._heartbeats.forget(peer)

    def _handle(self, link: Link, message: Message) -> None:
        match message:
            case Forward():
                self._spawn(self._answer_forward(link, message))
            case CancelJob():
                self._spawn(self._answer_cancel(link, message))
            case ShowJob():
                self._spawn(self._answer_show(link, message))
            case Handover():
                link.post(self._take_handover(link, message))
            case LastSeen():
                link.post(self._last_seen(message))
            case RecordsWanted():
                link.post(self.sharing.answer(message))
            case Heartbeat():
                pass
            case _:
                self.metrics.incr("entry.unexpected_message")

    def _last_seen(self, call: LastSeen) -> Seen:
        peer = self.sides.peers.get(call.incarnation)
        return Seen(call.call_id, peer is not None and peer.up)

    async def _answer_forward(self, link: Link, call: Forward) -> None:
        self._waiting += 1
        try:
            answer = await self.router.submit(call.request, call.hops)
            reply: Forwarded | Failure = Forwarded(call.call_id, answer)
        except CurrantbarrowError as error:
            reply = Failure(call.call_id, error.code, str(error))
        finally:
            self._waiting -= 1
        self._heartbeats.sent(link.peer.incarnation, self._clock.monotonic_ms())
        with contextlib.suppress(LinkError):
            link.post(reply)

    async def _answer_cancel(self, link: Link, call: CancelJob) -> None:
        try:
            answer = await self.router.cancel(call.customer, call.key, call.created_at_ms)
            reply: JobShown | Failure = JobShown(call.call_id, answer is not None, answer)
        except CurrantbarrowError as error:
            reply = Failure(call.call_id, error.code, str(error))
        with contextlib.suppress(LinkError):
            link.post(reply)

    async def _answer_show(self, link: Link, call: ShowJob) -> None:
        try:
            answer = await self.router.show(call.customer, call.key, call.created_at_ms)
            reply: JobShown | Failure = JobShown(call.call_id, True, answer)
        except JobUnknown:
            reply = JobShown(call.call_id, False)
        except CurrantbarrowError as error:
            reply = Failure(call.call_id, error.code, str(error))
        with contextlib.suppress(LinkError):
            link.post(reply)

    def _take_handover(self, link: Link, call: Handover) -> HandoverDone:
        targets = {
            name: revision.definition.target_ms
            for name in self.classes.names()
            if (revision := self.classes.find(name)) and revision.definition
        }
        return take_handover(
            call, link.peer.incarnation, self.ownership, self.dispatcher, self._clock, targets
        )

    def _give_up(self, lost: set[int], to_hand_over: set[int]) -> None:
        """Let go of shards, and send the tables that are up to date to their next owners."""
        assignment = self.cluster.assignment
        table = self.dispatcher.table
        groups: dict[tuple[str, int], set[int]] = {}
        for shard in sorted(to_hand_over):
            key = (assignment.owner_of(shard), assignment.since[shard])
            groups.setdefault(key, set()).add(shard)
        for (owner, since), shards in groups.items():
            now_ms = self._clock.monotonic_ms()
            parts = build_handovers(self.ownership, table, shards, since, now_ms)
            self._spawn(self._hand_over(owner, parts))
        for job in table.in_shards(lost):
            self.dispatcher.forget(job)

    async def _hand_over(self, owner: str, parts: list[Handover]) -> None:
        self._handovers += 1
        try:
            for part in parts:
                if not await self._hand_part(owner, part):
                    self.metrics.incr("entry.handover_rejected")
                    return
        except LinkError:
            # The next owner will ask the side processes instead.
            self.metrics.incr("entry.handover_failed")
        finally:
            self._handovers -= 1

    async def _hand_part(self, owner: str, part: Handover) -> bool:
        """Send one part until it is taken in; raise LinkError, False when it was not wanted."""
        deadline_ms = self._clock.monotonic_ms() + HANDOVER_GIVE_UP_MS
        while True:
            try:
                peer = self.entries.peers.get(owner)
                if peer is None:
                    raise LinkError("the next owner is not known")
                done = await peer.require_caller().call(
                    lambda call_id: msgspec.structs.replace(part, call_id=call_id),
                    HandoverDone,
                    HANDOVER_TIMEOUT_MS,
                )
                if done.accepted:
                    return True
                # The next owner may not have read the record yet that makes it the owner.
                if self._clock.monotonic_ms() > deadline_ms:
                    return False
            except LinkError:
                if self._clock.monotonic_ms() > deadline_ms:
                    raise
            await self._clock.sleep_ms(DRAIN_LOOK_MS)

    async def _beat(self) -> None:
        while True:
            await self._clock.sleep_ms(self._heartbeats.look_ms)
            self.dispatcher.table.expire()
            self.ownership.expire()
            now_ms = self._clock.monotonic_ms()
            news = self.sharing.offsets()
            for peer, link in list(self._links.items()):
                if self._heartbeats.due(peer, now_ms, news):
                    self._heartbeats.showed(peer, now_ms, news)
                    with contextlib.suppress(LinkError):
                        link.post(self.sharing.heartbeat())
            self.sides.show_offsets()

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
