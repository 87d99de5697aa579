"""Acquire shards by handover or takeover, and release them when the assignment changes."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterable

from currantbarrow.background import BackgroundTasks
from currantbarrow.cluster import Assignment, ClusterState, majority, query_last_seen
from currantbarrow.entry.sides import SidePeer, SidePool
from currantbarrow.exceptions import LinkError, OwnershipError
from currantbarrow.jobs import retention_ms, shard_of
from currantbarrow.observe import EventRing, logger
from currantbarrow.protocol import (
    CloseVersion,
    Confirmed,
    Fence,
    FencedTasks,
    Role,
    RpcClient,
)
from currantbarrow.types import Clock, Metrics

__all__ = ["Ownership", "OwnershipOptions", "RecoveredTasks"]

FENCE_TIMEOUT_MS = 1000.0
CLOSE_TIMEOUT_MS = 1000.0
RETRY_MS = 200.0
HANDOVER_POLL_MS = 20.0

# Maps the index of a started task to the incarnation of the side process that has it.
RecoveredTasks = dict[int, str]


class OwnershipOptions:
    """Define the timing parameters of shard ownership, in milliseconds."""

    __slots__ = ("handover_wait_ms", "lease_ms", "permission_ms", "skew_ms", "window_ms")

    def __init__(
        self,
        *,
        lease_ms: float = 3000.0,
        permission_ms: float = 2000.0,
        skew_ms: float = 1000.0,
        handover_wait_ms: float = 2000.0,
        window_ms: float = 600_000.0,
    ) -> None:
        # How long a lease lasts, counted from when the owner requested its confirmation.
        self.lease_ms = lease_ms
        # A side process accepts a start only this long after it sent the stamp that the start
        # echoes. An owner that has a recent stamp thus holds a permission to start tasks there.
        self.permission_ms = permission_ms
        # How far a key's creation time may be ahead of the clock of the entry that accepts it, and
        # how far the wall clocks of two entries may differ.
        self.skew_ms = skew_ms
        # How long to wait for each part of a handover before taking the shards over.
        self.handover_wait_ms = handover_wait_ms
        # Age from which a key without a record is refused as expired.
        self.window_ms = window_ms


class _OwnedShard:
    """Store the state of one shard that this process owns."""

    __slots__ = (
        "certain_from_ms",
        "last_part_at_ms",
        "ready",
        "ready_since_ms",
        "recovered",
        "since_version",
    )

    def __init__(self, since_version: int) -> None:
        # Version of the assignment that gave the shard to this process.
        self.since_version = since_version
        self.ready = asyncio.Event()
        # Wall-clock time after which the records here are certain to be complete: a job without a
        # record whose key was created later has never run. An older one may have run under an
        # earlier owner.
        self.certain_from_ms = 0.0
        # Tasks that an earlier owner started, by job id.
        self.recovered: dict[bytes, RecoveredTasks] = {}
        # When a part of the former owner's job table last arrived, 0 if none has.
        self.last_part_at_ms = 0.0
        self.ready_since_ms = 0.0


class Ownership:
    """Track the shard assignment in the log, and acquire or release shards accordingly.

    A newly assigned shard becomes ready at once if it had no owner before, else when the former
    owner has handed over its job table. If the former owner is down or does not hand over in
    time, the shard is taken over: all side processes are fenced against starts of the former
    owner, and the shard becomes ready when that owner's lease has ended.

    An owner's lease is confirmed under an assignment version, by a majority of that version's
    panel. A version is closed once a majority of its panel confirms no more leases under it, or
    once it has no active owner. A lease under a closed version ends within `lease_ms` of the
    closing.
    """

    def __init__(
        self,
        owner: str,
        state: ClusterState,
        options: OwnershipOptions,
        *,
        clock: Clock,
        metrics: Metrics,
        events: EventRing,
        pool: SidePool,
        release_shards: Callable[[set[int], set[int]], None],
        is_down: Callable[[str], bool],
        reported_version: Callable[[str], int],
    ) -> None:
        self._reported_version = reported_version
        self._owner = owner
        self._state = state
        self._options = options
        self._clock = clock
        self._metrics = metrics
        self._events = events
        self._pool = pool
        # Called with the lost shards, and with those of them whose job tables to hand over.
        self._release_shards = release_shards
        self._is_down = is_down
        self._version = 0
        # When this process applied that version.
        self._version_since_ms = 0.0
        self._shards: dict[int, _OwnedShard] = {}
        self._background = BackgroundTasks(metrics)
        # Whether older versions are being closed in the background.
        self._is_closing = False
        # All versions up to this one are known to be closed.
        self.closed_version = 0
        # When this process last raised closed_version. Leases under those versions end at most
        # lease_ms later.
        self._closed_at_ms = 0.0

    @property
    def version(self) -> int:
        """Return the version of the assignment that was last applied."""
        return self._version

    def owns(self, shard: int) -> bool:
        """Return whether this process owns a shard, ready or not."""
        return shard in self._shards

    def all_ready(self) -> bool:
        """Return whether all shards of this process are ready."""
        return all(owned.ready.is_set() for owned in self._shards.values())

    async def wait_ready(self, shard: int, timeout_ms: float) -> None:
        """Wait until a shard is ready; raise OwnershipError on timeout or if it is not owned."""
        owned = self._shards.get(shard)
        if owned is None:
            raise OwnershipError("the shard belongs to another entry")
        try:
            await asyncio.wait_for(owned.ready.wait(), timeout_ms / 1000)
        except TimeoutError as error:
            raise OwnershipError("the shard is being taken over") from error
        if self._shards.get(shard) is not owned:
            raise OwnershipError("the shard belongs to another entry")

    def recovered(self, shard: int, job_id: bytes) -> RecoveredTasks | None:
        """Return the tasks of a job that an earlier owner started, None if there are none."""
        return self._shards[shard].recovered.get(job_id)

    def has_complete_records(self, shard: int, created_at_ms: float) -> bool:
        """Return whether a job of this creation time without a record here certainly never ran."""
        return created_at_ms > self._shards[shard].certain_from_ms

    def certain_from_ms(self, shards: Iterable[int]) -> float:
        """Return the wall-clock time after which the records of all these shards are complete."""
        return max((self._shards[shard].certain_from_ms for shard in shards), default=0.0)

    def record_handover_part(self, shard: int, former_owner: str, since_version: int) -> bool:
        """Record that a former owner sent a part; return whether the shard waits for it.

        A part that the shard does not wait for is not recorded. Each recorded part restarts the
        handover timeout.
        """
        owned = self._shards.get(shard)
        if owned is None or owned.ready.is_set() or owned.since_version != since_version:
            return False
        if self._state.assignment.former[shard] != former_owner:
            return False
        owned.last_part_at_ms = self._clock.monotonic_ms()
        return True

    def are_ready_at(self, shards: Iterable[int], since_version: int) -> bool:
        """Return whether all shards are ready and were assigned by exactly this version."""
        found = [self._shards.get(shard) for shard in shards]
        return all(
            owned and owned.since_version == since_version and owned.ready.is_set()
            for owned in found
        )

    def add_recovered(self, job_id: bytes, tasks: RecoveredTasks) -> None:
        """Record tasks of a job that an earlier owner started, if this process owns the shard."""
        owned = self._shards.get(shard_of(job_id))
        if owned is not None:
            owned.recovered.setdefault(job_id, {}).update(tasks)

    def expire(self) -> None:
        """Remove recovered tasks once their keys are too old to be submitted again."""
        horizon_ms = self._clock.monotonic_ms() - retention_ms(
            self._options.window_ms, self._options.skew_ms
        )
        for owned in self._shards.values():
            if owned.recovered and owned.ready.is_set() and owned.ready_since_ms < horizon_ms:
                owned.recovered.clear()

    def recovered_in(self, shards: Iterable[int]) -> dict[bytes, RecoveredTasks]:
        """Return the recovered tasks of shards by job id, to be sent to the next owner."""
        found: dict[bytes, RecoveredTasks] = {}
        for shard in shards:
            found.update(self._shards[shard].recovered)
        return found

    def ready_shards(self, shards: Iterable[int]) -> set[int]:
        """Return the subset of shards that are ready."""
        return {shard for shard in shards if self._shards[shard].ready.is_set()}

    def make_ready(self, shards: Iterable[int], certain_from_ms: float) -> None:
        """Mark shards as ready, with records that are complete after a wall-clock time."""
        for shard in shards:
            owned = self._shards.get(shard)
            if owned is not None and not owned.ready.is_set():
                owned.certain_from_ms = max(owned.certain_from_ms, certain_from_ms)
                owned.ready_since_ms = self._clock.monotonic_ms()
                owned.ready.set()

    def sync(self) -> None:
        """Apply the current assignment: release lost shards and start to acquire new ones."""
        assignment = self._state.assignment
        if assignment.version == self._version:
            return
        self._version = assignment.version
        self._version_since_ms = self._clock.monotonic_ms()
        self._record_closed(assignment.closed_version)
        mine = assignment.shards_of(self._owner)
        # A shard may have moved to another owner and back between two calls of `sync`. Another
        # version then assigned it, and it counts both as lost and as gained.
        lost = {
            shard
            for shard, owned in self._shards.items()
            if shard not in mine or assignment.since[shard] != owned.since_version
        }
        if lost:
            self._events.record("shards_lost", detail=str(len(lost)))
            self._release_shards(lost, self._transferable_shards(lost, assignment))
            for shard in lost:
                del self._shards[shard]
        gained = mine - set(self._shards)
        if gained:
            self._events.record("shards_gained", detail=str(len(gained)))
            self._start_acquiring(gained, assignment)

    def close_older_versions(self, after_ms: float) -> None:
        """Start to close the older versions if this one was applied at least `after_ms` ago."""
        in_force_ms = self._clock.monotonic_ms() - self._version_since_ms
        if in_force_ms < after_ms or self._is_closing:
            return
        if self.closed_version < self._version - 1:
            self._is_closing = True
            self._background.spawn(self._close_in_background(self._version))

    async def _close_in_background(self, version: int) -> None:
        try:
            await self._close_versions(version)
        finally:
            self._is_closing = False

    def stop(self) -> None:
        """Cancel all background work."""
        self._background.cancel_all()

    def _transferable_shards(self, lost: set[int], assignment: Assignment) -> set[int]:
        """Return the lost shards whose job tables may be handed over to the next owner.

        The next owner must directly succeed this process. If another process owned the shard in
        between, for example while this one was paused, this job table is out of date.
        """
        return {
            shard
            for shard in lost
            if self._shards[shard].ready.is_set()
            and assignment.is_direct_successor(
                shard, self._owner, self._shards[shard].since_version
            )
        }

    def _start_acquiring(self, gained: set[int], assignment: Assignment) -> None:
        by_owner: dict[str, dict[int, _OwnedShard]] = {}
        for shard in sorted(gained):
            owned = self._shards[shard] = _OwnedShard(assignment.since[shard])
            by_owner.setdefault(assignment.former[shard], {})[shard] = owned
        for former_owner, group in by_owner.items():
            self._background.spawn(self._acquire(former_owner, group, self._version))

    async def _acquire(
        self, former_owner: str, group: dict[int, _OwnedShard], version: int
    ) -> None:
        """Make shards ready: at once if they had no owner, else after a handover or takeover."""
        if not former_owner:
            self.make_ready(group, 0.0)
            return
        if await self._wait_for_handover(former_owner, group):
            return
        missing = {
            shard: owned
            for shard, owned in group.items()
            if self._shards.get(shard) is owned and not owned.ready.is_set()
        }
        if missing:
            await self._take_over(missing, version)

    async def _wait_for_handover(self, former_owner: str, group: dict[int, _OwnedShard]) -> bool:
        """Wait for the former owner's job table; return whether all shards became ready."""
        began_ms = self._clock.monotonic_ms()
        while former_owner in self._state.members and not self._is_down(former_owner):
            if all(owned.ready.is_set() for owned in group.values()):
                return True
            last_part_at_ms = max(began_ms, *(owned.last_part_at_ms for owned in group.values()))
            if self._clock.monotonic_ms() - last_part_at_ms > self._options.handover_wait_ms:
                self._metrics.incr("entry.handover_missed")
                return False
            await self._clock.sleep_ms(HANDOVER_POLL_MS)
        return all(owned.ready.is_set() for owned in group.values())

    async def _take_over(self, group: dict[int, _OwnedShard], version: int) -> None:
        """Fence the former owners at all side processes and wait until their leases end."""
        shards = set(group)
        began_ms = self._clock.monotonic_ms()
        former_owners = {self._state.assignment.former[shard] for shard in shards}
        lease_end_task = self._background.spawn(
            self._close_and_find_lease_end(version, former_owners)
        )
        incarnations = [member.incarnation for member in self._state.by_role(Role.SIDE)]
        replies = await asyncio.gather(
            *(self._fence(incarnation, shards, version) for incarnation in incarnations)
        )
        certain_from_ms = self._departures_certain_from_ms()
        for incarnation, reply in zip(incarnations, replies, strict=True):
            if reply is None:
                self._metrics.incr("entry.fence_silent")
            else:
                self._record_started_tasks(incarnation, reply, shards)
        lease_end_ms = await lease_end_task
        if None not in replies and not self._state.unsettled_departures():
            # Every side process is fenced, so the former owners can start no more tasks. They may
            # still answer callers about their keys until their leases end.
            await self._sleep_until(lease_end_ms)
        else:
            # A side process that did not answer may still accept starts from the former owners,
            # until their leases and then their start permissions expire.
            await self._sleep_until(lease_end_ms + self._options.permission_ms)
            # Any job that a former owner started was accepted before its lease ended. The key's
            # creation time may be ahead of that owner's clock by up to skew_ms, and that clock
            # ahead of this one by as much.
            ended_ago_ms = self._clock.monotonic_ms() - lease_end_ms
            certain_from_ms = self._clock.wall_ms() - ended_ago_ms + 2 * self._options.skew_ms
        still_mine = [shard for shard, owned in group.items() if self._shards.get(shard) is owned]
        self.make_ready(still_mine, certain_from_ms)
        took_ms = self._clock.monotonic_ms() - began_ms
        self._metrics.timing("entry.takeover", took_ms)
        self._events.record("takeover", detail=f"{len(shards)} shards in {took_ms:.0f} ms")
        logger.info("took over %d shards in %.0f ms", len(shards), took_ms)

    async def _fence(self, incarnation: str, shards: set[int], version: int) -> FencedTasks | None:
        """Fence older owners at a side process; return None if it does not answer in time."""
        deadline_ms = self._clock.monotonic_ms() + FENCE_TIMEOUT_MS
        while self._clock.monotonic_ms() < deadline_ms:
            peer = self._pool.peers.get(incarnation)
            if peer is not None and peer.rpc is not None:
                try:
                    return await peer.rpc.call(
                        lambda call_id: Fence(call_id, version, sorted(shards)),
                        FencedTasks,
                        FENCE_TIMEOUT_MS,
                    )
                except LinkError:
                    pass
            await self._clock.sleep_ms(RETRY_MS)
        return None

    async def _sleep_until(self, time_ms: float) -> None:
        await self._clock.sleep_ms(max(0.0, time_ms - self._clock.monotonic_ms()))

    async def _close_and_find_lease_end(self, version: int, former_owners: set[str]) -> float:
        """Close all versions before `version`; return when the former owners' leases end."""
        earlier_closed_at_ms = self._closed_at_ms
        open_versions = self._open_versions(version)
        await self._close_versions(version)
        closed_at_ms = self._clock.monotonic_ms()
        if len(open_versions) != 1:
            # With several open versions, owners before the former ones may hold leases under the
            # older versions. The queries below cover only the former owners, so assume that a
            # lease was confirmed until the closing.
            return closed_at_ms + self._options.lease_ms
        # Leases under the versions that were closed before this call end by then.
        earlier_leases_end_ms = earlier_closed_at_ms + self._options.lease_ms
        (panel,) = open_versions.values()
        clients = [self._rpc_of(incarnation) for incarnation in panel]
        newest_ms = -math.inf
        for former_owner in former_owners:
            ages_ms = await query_last_seen(clients, former_owner)
            if len(ages_ms) < majority(len(panel)):
                return closed_at_ms + self._options.lease_ms
            # The members measured the ages before their answers arrived.
            newest_ms = max(newest_ms, self._clock.monotonic_ms() - min(ages_ms))
        # Any majority that confirmed a lease shares a member with the majority that answered. So
        # no lease was confirmed after the most recent confirmation that was reported here.
        confirmed_ms = min(closed_at_ms, newest_ms)
        return max(earlier_leases_end_ms, confirmed_ms + self._options.lease_ms)

    def _open_versions(self, version: int) -> dict[int, tuple[str, ...]]:
        """Return the panels of versions before one that are not known to be closed."""
        return {
            old: panel
            for old, panel in self._state.panels.items()
            if self.closed_version < old < version and panel
        }

    async def _close_versions(self, version: int) -> None:
        """Close all versions before `version` at their panels; retry until all are closed."""
        open_versions = self._open_versions(version)
        for old, panel in sorted(open_versions.items()):
            while not await self._close_version(old, panel):
                if old <= self.closed_version:
                    break
                self._metrics.incr("entry.close_without_majority")
                await self._clock.sleep_ms(RETRY_MS)
        self._record_closed(version - 1)

    async def _close_version(self, version: int, panel: tuple[str, ...]) -> bool:
        """Ask a panel once to close a version; return whether it counts as closed."""
        answers = await asyncio.gather(
            *(self._ask_close(incarnation, version) for incarnation in panel)
        )
        self._record_closed(self._state.assignment.closed_version)
        return sum(answers) >= majority(len(panel)) or self._has_no_active_owner(version)

    def _record_closed(self, version: int) -> None:
        if version > self.closed_version:
            self.closed_version = version
            self._closed_at_ms = self._clock.monotonic_ms()

    def _has_no_active_owner(self, version: int) -> bool:
        """Return whether every owner of a version has ended or has read a later assignment.

        No lease is then renewed under the version, so it counts as closed, even if a majority of
        its panel can't be reached. This process counts as having moved to a newer version.
        """
        owners = self._state.version_owners.get(version, ())
        # Any record raises the version that an owner reports; only assignments end its leases.
        later = [each for each in self._state.version_owners if each > version]
        next_version = min(later, default=version + 1)
        return bool(owners) and all(
            owner == self._owner
            or self._state.is_proven_gone(owner)
            or self._reported_version(owner) >= next_version
            for owner in owners
        )

    async def _ask_close(self, incarnation: str, version: int) -> bool:
        if self._state.is_proven_gone(incarnation):
            # A process that has ended confirms no leases.
            return True
        rpc = self._rpc_of(incarnation)
        if rpc is None:
            return False
        try:
            await rpc.call(
                lambda call_id: CloseVersion(call_id, version), Confirmed, CLOSE_TIMEOUT_MS
            )
        except LinkError:
            return False
        return True

    def _rpc_of(self, incarnation: str) -> RpcClient | None:
        peer: SidePeer | None = self._pool.peers.get(incarnation)
        return peer.rpc if peer is not None else None

    def _record_started_tasks(self, incarnation: str, reply: FencedTasks, shards: set[int]) -> None:
        """Record the tasks that a fenced side process has started for earlier owners."""
        for started in reply.jobs:
            if shard_of(started.job_id) in shards:
                self.add_recovered(started.job_id, dict.fromkeys(started.indexes, incarnation))

    def _departures_certain_from_ms(self) -> float:
        """Return the latest creation time of jobs that may have run at departed side processes."""
        options = self._options
        certain_from_ms = 0.0
        for departure in self._state.departures:
            if departure.role is Role.SIDE:
                # The key's creation time may be ahead of the accepting entry's clock by up to
                # skew_ms, and that clock ahead of the clock that gave at_ms by as much.
                last_ms = departure.at_ms + 2 * options.skew_ms
                if not departure.proven:
                    # The process may still run, and accept starts until the owner's lease and
                    # then its start permission have expired.
                    last_ms += options.lease_ms + options.permission_ms
                certain_from_ms = max(certain_from_ms, last_ms)
        return certain_from_ms
