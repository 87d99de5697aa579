"""Accept starts from entries, run them on the upstream and answer calls."""

from __future__ import annotations

import asyncio
import contextlib
import random

import msgspec

from currantbarrow.classes import ClassState
from currantbarrow.cluster import ClusterState, PanelMember
from currantbarrow.exceptions import AppendUnknown, LinkError, LogUnavailable
from currantbarrow.jobs import MAX_PART_BYTES, TaskRun, count_bytes, retention_ms
from currantbarrow.logservice import (
    CLASS_STREAM,
    CLUSTER_STREAM,
    MemberJoined,
    MemberLeft,
    PeerSync,
    StreamReplica,
    append_once,
)
from currantbarrow.observe import EventRing, logger
from currantbarrow.protocol import (
    Cancel,
    CloseVersion,
    Confirm,
    Fence,
    FencedTasks,
    Heartbeat,
    Hello,
    LastSeen,
    Load,
    Message,
    QueryTasks,
    RecordsWanted,
    Refused,
    RefusedReason,
    Reply,
    Result,
    Role,
    RpcClient,
    Start,
    TaskReference,
    TaskResult,
    TaskStates,
)
from currantbarrow.protocol.heartbeats import HeartbeatSchedule
from currantbarrow.side.gate import Duplicate, StartGate
from currantbarrow.side.ledger import StartLedger
from currantbarrow.side.runner import TaskRunner
from currantbarrow.types import Clock, Link, LogService, Metrics, Network, Upstream

__all__ = ["SideNode", "SideOptions"]

APPEND_TIMEOUT_MS = 5000.0
REGISTER_RETRY_MS = 500.0
LINK_IDLE_TIMEOUT_MS = 15_000.0
# Pulls after a change are spread over this time, so that side processes do not pull at once.
PULL_JITTER_MS = 1000.0
REJOIN_BACKOFF_MIN_MS = 10_000.0
REJOIN_BACKOFF_MAX_MS = 120_000.0


class SideOptions(msgspec.Struct, frozen=True):
    """Describe the identity, the addresses and the limits of a side process."""

    name: str
    incarnation: str
    link_address: str
    data_centre: str = ""
    rack: str = ""
    token: str = ""
    operator_address: str = ""
    queue_limit: int = 8
    heartbeat_ms: float = 1500.0
    permission_ms: float = 2000.0
    announcement_ttl_ms: float = 3000.0
    window_ms: float = 600_000.0
    skew_ms: float = 1000.0


class SideNode:
    """Admit, queue and run tasks for the upstream on this host."""

    def __init__(
        self,
        options: SideOptions,
        *,
        clock: Clock,
        network: Network,
        log: LogService,
        upstream: Upstream,
        rng: random.Random,
        metrics: Metrics,
        events: EventRing,
    ) -> None:
        self.options = options
        self.ledger = StartLedger(clock, retention_ms(options.window_ms, options.skew_ms))
        self.gate = StartGate(clock, self.ledger, options.permission_ms)
        self.panel = PanelMember(clock)
        self.runner = TaskRunner(
            upstream, clock, metrics, self._record_start, self._handle_end, self._handle_expired
        )
        self.leaving = False
        self.address = ""
        self._clock = clock
        self._network = network
        self._log = log
        self._rng = rng
        self._metrics = metrics
        self._events = events
        self._links: dict[str, Link] = {}
        self._rpc_clients: dict[Link, RpcClient] = {}
        self.cluster = ClusterState()
        self.classes = ClassState()
        self._peer_sync = PeerSync(
            [
                StreamReplica(CLUSTER_STREAM, self.cluster, metrics),
                StreamReplica(CLASS_STREAM, self.classes, metrics),
            ],
            lambda stream: rng.uniform(0, PULL_JITTER_MS),
            clock=clock,
            rng=rng,
            metrics=metrics,
        )
        self._heartbeats = HeartbeatSchedule(options.heartbeat_ms)
        self._announced_ms = -1.0
        self._registered = False
        self._register_interval_ms = REGISTER_RETRY_MS
        self._records_created = 0
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Listen for links, and start the membership, heartbeat and peer synchronization tasks."""
        hello = Hello(
            Role.SIDE,
            self.options.name,
            self.options.incarnation,
            self.options.token,
            self.options.data_centre,
            self.options.rack,
        )
        self.address = await self._network.listen(self.options.link_address, hello, self._serve)
        self._tasks = [
            asyncio.create_task(self._maintain_membership()),
            asyncio.create_task(self._run_periodic_checks()),
            asyncio.create_task(self._peer_sync.run()),
        ]

    async def stop(self) -> None:
        """Wait for running tasks, record the departure in the log and close the links."""
        self.leave()
        await self.runner.wait_idle()
        for task in self._tasks:
            task.cancel()
        if self._registered:
            record = MemberLeft(
                self._record_id(), self.options.incarnation, self._clock.wall_ms(), True
            )
            with contextlib.suppress(LogUnavailable, AppendUnknown):
                await self._append(record)
        await self._network.stop()

    async def kill(self) -> None:
        """Stop immediately, without cleanup, as a crash would."""
        for task in self._tasks:
            task.cancel()
        self.runner.kill()
        await self._network.stop()

    def announce(self, slots: int) -> None:
        """Apply the upstream's announcement; without a new one it expires."""
        self._announced_ms = self._clock.monotonic_ms()
        if not self.leaving and self.runner.slots != slots:
            self.runner.slots = slots
            self._events.record("upstream_announced", detail=f"{slots} slots")
            self._broadcast_load()
            self.runner.start_waiting()

    def leave(self) -> None:
        """Refuse new and queued tasks from now on; running tasks continue to their end."""
        if self.leaving:
            return
        self.leaving = True
        logger.info("upstream leaving")
        self._events.record("upstream_leaving")
        waiting = self.runner.drop_where(lambda run: True)
        self._refuse_waiting(waiting, RefusedReason.LEAVING)
        self._broadcast_load()

    def load(self, owner: str = "") -> Load:
        """Return the worker's load, with the slots taken by one owner's tasks if one is given."""
        return Load(
            self._clock.monotonic_ms(),
            self.runner.slots,
            self.runner.used_slots,
            self.runner.queued,
            self.leaving,
            self._count_slots_of(owner) if owner else -1,
        )

    def _heartbeat(self, owner: str) -> Heartbeat:
        return self._peer_sync.heartbeat(self.load(owner))

    def _count_slots_of(self, owner: str) -> int:
        slots = 0
        for (job_id, index), size_slots in self.runner.slots_by_task.items():
            entry = self.ledger.find(job_id, index)
            if entry is not None and entry.owner == owner:
                slots += size_slots
        return slots

    async def _serve(self, link: Link) -> None:
        """Handle the messages of one link until it closes."""
        owner = link.peer.incarnation
        self._links[owner] = link
        self._rpc_clients[link] = RpcClient(link)
        try:
            link.post(self._heartbeat(owner))
            while True:
                async with asyncio.timeout(LINK_IDLE_TIMEOUT_MS / 1000):
                    message = await link.receive()
                self._handle(link, message)
        except (LinkError, TimeoutError):
            await link.close()
        finally:
            if self._links.get(owner) is link:
                del self._links[owner]
                self._heartbeats.remove_peer(owner)
            self._rpc_clients.pop(link).close()

    def _handle(self, link: Link, message: Message) -> None:
        match message:
            case Start():
                self._handle_start(link, message)
            case Cancel():
                self._cancel(link, message)
            case QueryTasks():
                link.post(self._answer_query(link, message))
            case Fence():
                link.post(self._fence(message))
            case Confirm():
                link.post(self.panel.confirm(message))
            case CloseVersion():
                link.post(self.panel.close(message))
            case LastSeen():
                link.post(self.panel.last_seen(message))
            case RecordsWanted():
                link.post(self._peer_sync.answer(message))
            case Heartbeat():
                self._peer_sync.record_offsets(self._rpc_clients[link], message)
            case Reply():
                self._rpc_clients[link].handle_reply(message)
            case _:
                self._metrics.incr("side.unexpected_message")

    def _handle_start(self, link: Link, start: Start) -> None:
        refused: dict[RefusedReason, list[TaskReference]] = {}
        for task in start.tasks:
            verdict = self.gate.check(start, task) or self._check_capacity(task)
            if verdict is None:
                entry = self.ledger.get_or_create(task.job_id, task.index)
                entry.owner = link.peer.incarnation
                entry.min_attempt = max(entry.min_attempt, task.attempt)
                self.runner.add(task, start.epoch)
            elif isinstance(verdict, Duplicate):
                self._metrics.incr("side.duplicate_start")
                self._resend_result(link, task)
            else:
                refused.setdefault(verdict, []).append(StartGate.reference(task))
        for reason, references in refused.items():
            self._refuse(link, reason, references)

    def _check_capacity(self, task: TaskRun) -> RefusedReason | Duplicate | None:
        if self.runner.is_queued(task.job_id, task.index):
            return Duplicate.DUPLICATE
        if self.leaving:
            return RefusedReason.LEAVING
        if self.runner.slots == 0:
            return RefusedReason.NO_UPSTREAM
        if task.size_slots > self.runner.slots:
            return RefusedReason.TOO_LARGE
        full = self.runner.used_slots + task.size_slots > self.runner.slots
        if full and self.runner.queued >= self.options.queue_limit:
            return RefusedReason.FULL
        return None

    def _refuse(self, link: Link, reason: RefusedReason, references: list[TaskReference]) -> None:
        for reference in references:
            # The owner may start the task on another worker, so a delayed duplicate of this start
            # must not be accepted.
            self.ledger.refuse(reference)
        self._metrics.incr(f"side.refused.{reason}", len(references))
        link.post(Refused(reason, references, self.load(link.peer.incarnation)))

    def _resend_result(self, link: Link, task: TaskRun) -> None:
        entry = self.ledger.find(task.job_id, task.index)
        if entry is not None and entry.result is not None:
            link.post(Result([entry.result], self.load(link.peer.incarnation)))

    def _cancel(self, link: Link, message: Cancel) -> None:
        dropped = []
        for reference in message.tasks:
            self.ledger.refuse(reference)
            if self.runner.drop(reference.job_id, reference.index) is not None:
                dropped.append(reference)
            else:
                self.runner.stop(reference.job_id, reference.index)
        if dropped:
            self._refuse(link, RefusedReason.CANCELLED, dropped)

    def _answer_query(self, link: Link, query: QueryTasks) -> TaskStates:
        ended: list[TaskResult] = []
        running: list[TaskReference] = []
        never: list[TaskReference] = []
        ended_bytes = 0
        for reference in query.tasks:
            entry = self.ledger.find(reference.job_id, reference.index)
            if entry is not None and entry.result is not None:
                # Results beyond the size limit of a reply are left out; the owner queries again.
                ended_bytes += count_bytes(entry.result.value)
                if not ended or ended_bytes <= MAX_PART_BYTES:
                    ended.append(entry.result)
            elif entry is not None and entry.attempt is not None:
                entry.owner = link.peer.incarnation
                running.append(reference)
            elif self.runner.is_queued(reference.job_id, reference.index):
                self.ledger.get_or_create(reference.job_id, reference.index).owner = (
                    link.peer.incarnation
                )
                running.append(reference)
            else:
                self.ledger.refuse(reference)
                never.append(reference)
        return TaskStates(query.call_id, ended, running, never)

    def _fence(self, call: Fence) -> FencedTasks:
        self.gate.fence(call.shards, call.epoch)
        # Queued tasks of the old epoch are dropped before the ledger is read; otherwise one of
        # them could start after it was reported to the new owner as not started.
        waiting = self.runner.drop_where(
            lambda run: self.gate.is_fenced(run.task.job_id, run.epoch)
        )
        self._refuse_waiting(waiting, RefusedReason.FENCED)
        self._events.record("fenced", detail=f"{len(call.shards)} shards at {call.epoch}")
        jobs = self.ledger.started_tasks(set(call.shards))
        return FencedTasks(call.call_id, jobs, self.ledger.complete_since_ms)

    def _refuse_waiting(self, waiting: list[TaskRun], reason: RefusedReason) -> None:
        by_owner: dict[str, list[TaskReference]] = {}
        for task in waiting:
            reference = StartGate.reference(task)
            self.ledger.refuse(reference)
            owner = self.ledger.get_or_create(task.job_id, task.index).owner
            by_owner.setdefault(owner, []).append(reference)
        for owner, references in by_owner.items():
            self._post_with_load(owner, Refused(reason, references, self.load(owner)))

    def _handle_expired(self, task: TaskRun) -> None:
        self._refuse_waiting([task], RefusedReason.EXPIRED)

    def _record_start(self, task: TaskRun) -> None:
        self.ledger.get_or_create(task.job_id, task.index).attempt = task.attempt
        self._metrics.incr("side.task_started")
        self._events.record(
            "task_started", job=task.job_id.hex(), task=task.index, job_class=task.job_class
        )

    def _handle_end(self, result: TaskResult) -> None:
        entry = self.ledger.get_or_create(result.job_id, result.index)
        result = self.ledger.store_result(entry, result)
        self._events.record(
            "task_ended", job=result.job_id.hex(), task=result.index, detail=result.state
        )
        self._post_with_load(entry.owner, Result([result], self.load(entry.owner)))

    def _post_with_load(self, owner: str, message: Heartbeat | Refused | Result) -> None:
        """Send a message that carries the load, and so replaces the next heartbeat."""
        self._heartbeats.record_sent(owner, self._clock.monotonic_ms())
        self._post(owner, message)

    def _post(self, owner: str, message: Message) -> None:
        link = self._links.get(owner)
        if link is None:
            # The owner queries the tasks that it missed once it has reconnected.
            self._metrics.incr("side.owner_unreachable")
            return
        with contextlib.suppress(LinkError):
            link.post(message)

    def _broadcast_load(self) -> None:
        for owner in list(self._links):
            self._post_with_load(owner, self._heartbeat(owner))

    async def _run_periodic_checks(self) -> None:
        """Send heartbeats on idle links; expire the announcement and old ledger entries."""
        while True:
            await self._clock.sleep_ms(self._heartbeats.check_interval_ms)
            silent_ms = self._clock.monotonic_ms() - self._announced_ms
            if self.runner.slots and silent_ms > self.options.announcement_ttl_ms:
                logger.info("upstream announcement expired")
                self._events.record("announcement_expired")
                self.runner.slots = 0
                waiting = self.runner.drop_where(lambda run: True)
                self._refuse_waiting(waiting, RefusedReason.NO_UPSTREAM)
            now_ms = self._clock.monotonic_ms()
            offsets = self._peer_sync.offsets()
            for owner in list(self._links):
                if self._heartbeats.is_due(owner, now_ms, offsets):
                    self._post(owner, self._heartbeat(owner))
                    self._heartbeats.record_heartbeat(owner, now_ms, offsets)
            self.ledger.expire()

    async def _maintain_membership(self) -> None:
        """Register in the log once the upstream has announced itself, and again when removed."""
        while True:
            if self.runner.slots and not self._links:
                await self._register()
            await self._clock.sleep_ms(self._rng.uniform(0.5, 1.0) * self._register_interval_ms)

    async def _register(self) -> None:
        try:
            await self._append(self._make_joined_record())
        except (LogUnavailable, AppendUnknown):
            self._register_interval_ms = REGISTER_RETRY_MS
            return
        # Entries open a link to every member. A process without links for a long time was
        # therefore removed as dead; since its start ledger is complete, it may rejoin under the
        # same incarnation.
        interval_ms = self._register_interval_ms * 2 if self._registered else 0.0
        self._register_interval_ms = min(
            max(interval_ms, REJOIN_BACKOFF_MIN_MS), REJOIN_BACKOFF_MAX_MS
        )
        self._metrics.incr("side.registered")
        self._registered = True
        logger.info("registered as a member")

    def _make_joined_record(self) -> MemberJoined:
        return MemberJoined(
            self._record_id(),
            Role.SIDE,
            self.options.name,
            self.options.incarnation,
            self.address,
            self.options.data_centre,
            self.options.rack,
            self._clock.wall_ms(),
            self.options.operator_address,
        )

    async def _append(self, record: MemberJoined | MemberLeft) -> None:
        await append_once(
            self._log,
            CLUSTER_STREAM,
            record,
            from_offset=0,
            clock=self._clock,
            rng=self._rng,
            timeout_ms=APPEND_TIMEOUT_MS,
        )

    def _record_id(self) -> str:
        self._records_created += 1
        return f"{self.options.incarnation}-{self._records_created}"
