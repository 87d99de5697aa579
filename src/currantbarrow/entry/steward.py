"""Look after membership: register, notice the dead, and propose new assignments."""

from __future__ import annotations

import asyncio
import random

from currantbarrow.cluster import ClusterState, Member, balance_shards, choose_panel
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

__all__ = ["Steward"]

LOOK_INTERVAL_MS = 200.0
ENTRY_SUSPECT_MS = 1500.0
SIDE_GONE_MS = 8000.0
# Each process waits its rank times this before it proposes, so that one proposal is usual.
RANK_DELAY_MS = 400.0
APPEND_GIVE_UP_MS = 3000.0
REGISTER_RETRY_MS = 500.0


class Steward:
    """Keep the log's picture of the members true, together with the other entries."""

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
        self._records_made = 0
        self._needed_since_ms: float | None = None

    async def run(self) -> None:
        """Register, then look after the others until cancelled."""
        await self._follower.caught_up.wait()
        await self._register()
        while True:
            await self._clock.sleep_ms(LOOK_INTERVAL_MS)
            try:
                await self._look()
            except (LogServiceError, TimeoutError):
                self._metrics.incr("entry.steward_log_errors")

    async def announce_draining(self) -> None:
        """Ask the others to take over this process's shards; raise LogServiceError."""
        await self._append(MemberDraining(self._record_id(), self._member.incarnation))

    async def announce_left(self) -> None:
        """Say that this process is gone; raise LogServiceError."""
        await self._append(
            MemberLeft(self._record_id(), self._member.incarnation, self._clock.wall_ms())
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
                await self._follower.wait_beyond(offset)
                return
            except (LogUnavailable, AppendUnknown, TimeoutError):
                await self._clock.sleep_ms(REGISTER_RETRY_MS)

    async def _look(self) -> None:
        dead = self._dead_entries()
        alive = [
            member.incarnation
            for member in self._state.by_role(Role.ENTRY)
            if member.incarnation not in dead and not member.draining
        ]
        gone = self._gone_sides()
        wanted = self._wanted_assignment(alive, gone)
        if wanted is None and not gone and not dead:
            self._needed_since_ms = None
            return
        if not self._is_my_turn(alive):
            return
        for incarnation in [*dead, *gone]:
            await self._append(MemberLeft(self._record_id(), incarnation, self._clock.wall_ms()))
        if wanted is not None:
            await self._append(wanted)
        self._needed_since_ms = None

    def _dead_entries(self) -> set[str]:
        return {
            member.incarnation
            for member in self._state.by_role(Role.ENTRY)
            if self._entries.down_for_ms(member.incarnation) > ENTRY_SUSPECT_MS
        }

    def _gone_sides(self) -> set[str]:
        now_ms = self._clock.monotonic_ms()
        return {
            peer.member.incarnation
            for peer in self._sides.peers.values()
            if not peer.up and now_ms - peer.down_since_ms > SIDE_GONE_MS
        }

    def _wanted_assignment(self, alive: list[str], gone: set[str]) -> AssignmentChanged | None:
        assignment = self._state.assignment
        if not alive:
            return None
        owners = balance_shards(assignment, alive)
        sides = [side for side in self._state.by_role(Role.SIDE) if side.incarnation not in gone]
        panel = choose_panel(assignment.panel, sides)
        if tuple(owners) == assignment.owners and tuple(panel) == assignment.panel:
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
        )

    def _is_my_turn(self, alive: list[str]) -> bool:
        now_ms = self._clock.monotonic_ms()
        if self._needed_since_ms is None:
            self._needed_since_ms = now_ms
        if self._member.incarnation not in alive:
            return False
        rank = alive.index(self._member.incarnation)
        return now_ms - self._needed_since_ms >= rank * RANK_DELAY_MS

    async def _append(self, record: Record) -> int:
        offset = await append_once(
            self._log,
            CLUSTER_STREAM,
            record,
            from_offset=self._state.offset + 1,
            clock=self._clock,
            rng=self._rng,
            give_up_ms=APPEND_GIVE_UP_MS,
        )
        logger.info("recorded %s", type(record).__name__)
        self._events.record("recorded", detail=type(record).__name__)
        async with asyncio.timeout(APPEND_GIVE_UP_MS / 1000):
            await self._follower.wait_beyond(offset)
        return offset

    def _record_id(self) -> str:
        self._records_made += 1
        return f"{self._member.incarnation}-{self._records_made}"
