"""Register this process, detect dead members and propose new shard assignments."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence

from currantbarrow.cluster import (
    ClusterState,
    Lease,
    Member,
    balance_shards,
    choose_panel,
    majority,
    query_last_seen,
)
from currantbarrow.entry.ownership import Ownership
from currantbarrow.entry.peers import EntryPool
from currantbarrow.entry.sides import SidePool
from currantbarrow.exceptions import AppendUnknown, LogServiceError, LogUnavailable
from currantbarrow.logservice import (
    CLUSTER_STREAM,
    AssignmentChanged,
    LogFollower,
    MemberDraining,
    MemberJoined,
    MemberLeft,
    Record,
    append_once,
)
from currantbarrow.observe import EventRing, logger
from currantbarrow.protocol import Role
from currantbarrow.types import Clock, LogService, Metrics

__all__ = ["MembershipManager"]

CHECK_INTERVAL_MS = 200.0
ENTRY_SUSPECT_MS = 1500.0
SIDE_DEAD_MS = 8000.0
# An entry delays a proposed change by this time multiplied by its rank among the live entries, so
# that usually only one of them proposes it.
RANK_DELAY_MS = 400.0
APPEND_TIMEOUT_MS = 3000.0
CLOSE_DELAY_MS = 5000.0
# A member that was suspected here but is reachable for others is not suspected again until this
# time has passed.
EVIDENCE_TTL_MS = 1000.0
REJOIN_BACKOFF_MIN_MS = 5000.0
REJOIN_BACKOFF_MAX_MS = 120_000.0
REGISTER_RETRY_MS = 500.0


class MembershipManager:
    """Update the membership and the shard assignment in the log.

    Every entry runs a manager. The managers coordinate only by rank and by the log: a new
    assignment that is based on an outdated version has no effect.
    """

    def __init__(
        self,
        member: Member,
        *,
        follower: LogFollower,
        state: ClusterState,
        log: LogService,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        events: EventRing,
        sides: SidePool,
        entries: EntryPool,
        ownership: Ownership,
        lease: Lease,
    ) -> None:
        self._member = member
        self._follower = follower
        self._state = state
        self._log = log
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._events = events
        self._sides = sides
        self._entries = entries
        self._ownership = ownership
        self._lease = lease
        self._records_made = 0
        self._change_needed_since_ms: float | None = None
        self._alive_until_ms: dict[str, float] = {}
        self._rejoin_from_ms = 0.0
        self._rejoin_backoff_ms = REJOIN_BACKOFF_MIN_MS

    async def run(self) -> None:
        """Register this process, then check the other members until cancelled."""
        await self._follower.caught_up.wait()
        await self._register()
        while True:
            await self._clock.sleep_ms(CHECK_INTERVAL_MS)
            try:
                await self._check_members()
            except (LogServiceError, TimeoutError):
                self._metrics.incr("entry.steward_log_errors")

    async def announce_draining(self) -> None:
        """Record that this process drains, so that its shards move; raise LogServiceError."""
        await self._append(MemberDraining(self._record_id(), self._member.incarnation))

    async def announce_left(self) -> None:
        """Record that this process has ended; raise LogServiceError."""
        await self._append(
            MemberLeft(self._record_id(), self._member.incarnation, self._clock.wall_ms(), True)
        )

    async def retire(self, incarnations: Sequence[str], operator: str) -> None:
        """Record that processes have ended, as stated by an operator; raise LogServiceError."""
        for incarnation in incarnations:
            await self._append(
                MemberLeft(self._record_id(), incarnation, self._clock.wall_ms(), operator=operator)
            )

    async def _register(self) -> None:
        member = self._member
        record = MemberJoined(
            self._record_id(),
            Role.ENTRY,
            member.name,
            member.incarnation,
            member.address,
            member.data_centre,
            member.rack,
            self._clock.wall_ms(),
            member.operator_address,
        )
        while True:
            try:
                offset = await self._append(record)
                await self._follower.wait_for_offset(offset)
                return
            except (LogUnavailable, AppendUnknown, TimeoutError):
                await self._clock.sleep_ms(REGISTER_RETRY_MS)

    async def _rejoin(self) -> None:
        """Register again after removal by other entries, once this process is not isolated."""
        now_ms = self._clock.monotonic_ms()
        if self._is_isolated() or now_ms < self._rejoin_from_ms:
            return
        self._metrics.incr("entry.registered_again")
        await self._register()
        self._rejoin_from_ms = now_ms + self._rejoin_backoff_ms
        self._rejoin_backoff_ms = min(self._rejoin_backoff_ms * 2, REJOIN_BACKOFF_MAX_MS)

    async def _check_members(self) -> None:
        """Detect dead members, and record their departure and a new assignment if needed."""
        if self._member.incarnation not in self._state.members:
            await self._rejoin()
            return
        dead_entries = self._dead_entries()
        live_entries = self._live_entries(dead_entries)
        dead_sides = self._dead_sides()
        proposal = self._plan_assignment(live_entries, dead_sides)
        if proposal is None and not dead_sides and not dead_entries:
            self._change_needed_since_ms = None
            # A takeover has to close older versions first, so close them in advance.
            self._ownership.close_older_versions(CLOSE_DELAY_MS)
            return
        if not self._record_change_needed(live_entries):
            return
        if self._is_isolated():
            self._metrics.incr("entry.steward_isolated")
            return
        if dead_entries or dead_sides:
            await self._recheck_suspects(dead_entries, dead_sides)
            # Links may have reopened meanwhile, or other processes refuted the suspicion.
            dead_entries, dead_sides = self._dead_entries(), self._dead_sides()
            proposal = self._plan_assignment(self._live_entries(dead_entries), dead_sides)
        for incarnation in [*dead_entries, *dead_sides]:
            await self._append(MemberLeft(self._record_id(), incarnation, self._clock.wall_ms()))
        if proposal is not None:
            await self._append(proposal)
        self._change_needed_since_ms = None

    def _live_entries(self, dead_entries: set[str]) -> list[str]:
        return [
            member.incarnation
            for member in self._state.by_role(Role.ENTRY)
            if member.incarnation not in dead_entries and not member.draining
        ]

    def _is_isolated(self) -> bool:
        """Return whether this process has probably lost its own network connection.

        It then has no lease, no link to another entry, and links to fewer than half of the side
        processes.
        """
        others = [
            member.incarnation
            for member in self._state.by_role(Role.ENTRY)
            if member.incarnation != self._member.incarnation
        ]
        if not others or self._lease.is_held():
            return False
        if any(self._entries.down_for_ms(other) == 0.0 for other in others):
            return False
        sides_up = sum(peer.up for peer in self._sides.peers.values())
        return 2 * sides_up < len(self._sides.peers)

    async def _recheck_suspects(self, dead_entries: set[str], dead_sides: set[str]) -> None:
        """Query other processes about suspected members; clear the suspicion of reachable ones."""
        for incarnation in sorted(dead_entries):
            if await self._may_hold_lease(incarnation):
                self._mark_alive(incarnation)
        for incarnation in sorted(dead_sides):
            clients = [peer.rpc for peer in self._entries.peers.values()]
            ages_ms = await query_last_seen(clients, incarnation)
            if any(age_ms < ENTRY_SUSPECT_MS for age_ms in ages_ms):
                self._mark_alive(incarnation)

    def _mark_alive(self, incarnation: str) -> None:
        self._metrics.incr("entry.suspicion_refuted")
        self._alive_until_ms[incarnation] = self._clock.monotonic_ms() + EVIDENCE_TTL_MS

    async def _may_hold_lease(self, incarnation: str) -> bool:
        """Return whether an entry may hold a lease, as reported by the panel members.

        It may if a majority confirmed its lease recently, or if no majority answers.
        """
        panel = self._state.assignment.panel
        if not panel:
            return False
        peers = [self._sides.peers.get(side) for side in panel]
        clients = [peer.rpc if peer else None for peer in peers]
        ages_ms = await query_last_seen(clients, incarnation)
        recent = sum(age_ms < ENTRY_SUSPECT_MS for age_ms in ages_ms)
        return recent >= majority(len(panel)) or len(ages_ms) < majority(len(panel))

    def _dead_entries(self) -> set[str]:
        now_ms = self._clock.monotonic_ms()
        return {
            member.incarnation
            for member in self._state.by_role(Role.ENTRY)
            if self._entries.down_for_ms(member.incarnation) > ENTRY_SUSPECT_MS
            and self._alive_until_ms.get(member.incarnation, 0.0) < now_ms
        }

    def _dead_sides(self) -> set[str]:
        now_ms = self._clock.monotonic_ms()
        return {
            peer.member.incarnation
            for peer in self._sides.peers.values()
            if not peer.up
            and now_ms - peer.down_since_ms > SIDE_DEAD_MS
            and self._alive_until_ms.get(peer.member.incarnation, 0.0) < now_ms
        }

    def _plan_assignment(
        self, live_entries: list[str], dead_sides: set[str]
    ) -> AssignmentChanged | None:
        """Return an assignment to propose, None if none is needed; may close older versions."""
        assignment = self._state.assignment
        if not live_entries:
            return None
        owners = balance_shards(assignment, live_entries)
        sides = [
            side for side in self._state.by_role(Role.SIDE) if side.incarnation not in dead_sides
        ]
        panel = choose_panel(assignment.panel, sides)
        same = tuple(owners) == assignment.owners and tuple(panel) == assignment.panel
        if same and not self._settle_departures():
            return None
        names = sorted(set(owners))
        rank = {name: index for index, name in enumerate(names)}
        return AssignmentChanged(
            self._record_id(),
            assignment.version,
            names,
            [rank[owner] for owner in owners],
            panel,
            self._ownership.closed_version,
            self._clock.wall_ms(),
        )

    def _settle_departures(self) -> bool:
        """Close older versions to settle departures; return whether a new version would help.

        Two new versions are needed to settle a departure of a side process. The first one makes
        owners read the log beyond the departure, because they lose their leases when the older
        versions are closed. The second one records that the older versions are closed.
        """
        unsettled = [departure.offset for departure in self._state.unsettled_departures()]
        if not unsettled:
            return False
        if self._state.assignment.version <= max(unsettled):
            return True
        self._ownership.close_older_versions(0.0)
        return self._ownership.closed_version >= min(unsettled)

    def _record_change_needed(self, live_entries: list[str]) -> bool:
        """Record since when a change is needed; return whether this process may propose it now."""
        now_ms = self._clock.monotonic_ms()
        if self._change_needed_since_ms is None:
            self._change_needed_since_ms = now_ms
        if self._member.incarnation not in live_entries:
            return False
        rank = live_entries.index(self._member.incarnation)
        return now_ms - self._change_needed_since_ms >= rank * RANK_DELAY_MS

    async def _append(self, record: Record) -> int:
        offset = await append_once(
            self._log,
            CLUSTER_STREAM,
            record,
            from_offset=self._state.offset + 1,
            clock=self._clock,
            rng=self._rng,
            timeout_ms=APPEND_TIMEOUT_MS,
        )
        logger.info("appended %s to the cluster log", type(record).__name__)
        self._events.record("recorded", detail=type(record).__name__)
        async with asyncio.timeout(APPEND_TIMEOUT_MS / 1000):
            await self._follower.wait_for_offset(offset)
        return offset

    def _record_id(self) -> str:
        self._records_made += 1
        return f"{self._member.incarnation}-{self._records_made}"
