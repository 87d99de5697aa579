"""State machine of the cluster stream: members, shard owners and the panel."""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import Any

import msgspec

from currantbarrow.jobs import SHARD_COUNT
from currantbarrow.logservice import (
    AssignmentChanged,
    MemberDraining,
    MemberJoined,
    MemberLeft,
    Record,
)
from currantbarrow.protocol import Role

__all__ = ["Assignment", "ClusterState", "Departure", "Member"]

MAX_RECORD_IDS = 1024
MAX_DEPARTURES = 512


class Member(msgspec.Struct, frozen=True):
    """Represent a member of the cluster: one incarnation, that is one run, of a process."""

    role: Role
    name: str
    incarnation: str
    address: str
    data_centre: str
    rack: str
    joined_ms: int
    operator_address: str = ""
    draining: bool = False


class Departure(msgspec.Struct, frozen=True):
    """Describe an incarnation that left, with the wall-clock time from which it counts as gone."""

    role: Role
    incarnation: str
    at_ms: int
    # Whether the process is certainly gone: it said so, another process joined at its address, or
    # an operator stated it. A departure that other members recorded on suspicion is not proven.
    proven: bool = False
    # True once all assignment versions before the departure's record are closed. Owners then renew
    # leases only under later versions, so they have read of the departure and send no more starts
    # to the process. Leases confirmed earlier end within their duration.
    settled: bool = False
    offset: int = -1
    name: str = ""
    address: str = ""


class Assignment(msgspec.Struct, frozen=True):
    """Represent a version of the assignment of shards to owner incarnations."""

    version: int = 0
    owners: tuple[str, ...] = ()
    panel: tuple[str, ...] = ()
    closed_version: int = 0
    # Per shard: its previous owner, and the version that assigned it to the present owner.
    former: tuple[str, ...] = ()
    since: tuple[int, ...] = ()
    # Per shard: the version that assigned it to the previous owner.
    former_since: tuple[int, ...] = ()

    def owner_of(self, shard: int) -> str:
        """Return the incarnation that owns a shard, empty if none does."""
        return self.owners[shard] if self.owners else ""

    def owned_since(self, shard: int) -> int:
        """Return the version that assigned a shard to its owner, 0 if none did."""
        return self.since[shard] if self.since else 0

    def former_owned_since(self, shard: int) -> int:
        """Return the version that assigned a shard to its former owner, 0 if none did."""
        return self.former_since[shard] if self.former_since else 0

    def is_direct_successor(self, shard: int, owner: str, since: int) -> bool:
        """Return whether the shard passed to its owner directly from `owner`.

        `since` is the version that assigned the shard to `owner`.
        """
        return self.former[shard] == owner and self.former_owned_since(shard) == since

    def shards_of(self, owner: str) -> set[int]:
        """Return the shards of an owner."""
        return {shard for shard in range(SHARD_COUNT) if self.owner_of(shard) == owner}


class _Dump(msgspec.Struct):
    members: list[Member]
    departures: list[Departure]
    assignment: Assignment
    panels: dict[str, tuple[str, ...]]
    record_ids: list[str]
    owners: dict[str, tuple[str, ...]] = {}


class ClusterState:
    """Hold the members, departures and the assignment, as recorded in the log."""

    __slots__ = (
        "_by_role",
        "_record_ids",
        "assignment",
        "departures",
        "members",
        "offset",
        "panels",
        "version_owners",
    )

    def __init__(self) -> None:
        self.offset = -1
        self.members: dict[str, Member] = {}
        # Cache of the sorted members of each role, cleared by every record.
        self._by_role: dict[Role, list[Member]] = {}
        self.departures: collections.deque[Departure] = collections.deque(maxlen=MAX_DEPARTURES)
        self.assignment = Assignment()
        # Panels of the versions that may still be open; a takeover has to close all of them.
        self.panels: dict[int, tuple[str, ...]] = {}
        # Owners in those versions; no other process can hold a lease under them.
        self.version_owners: dict[int, tuple[str, ...]] = {}
        self._record_ids: collections.OrderedDict[str, None] = collections.OrderedDict()

    def apply(self, offset: int, record: Record) -> None:
        """Apply the record at an offset; ignore a repeated record."""
        if record.record_id in self._record_ids:
            return
        self._record_ids[record.record_id] = None
        while len(self._record_ids) > MAX_RECORD_IDS:
            self._record_ids.popitem(last=False)
        self._by_role.clear()
        if isinstance(record, MemberJoined):
            self._join(offset, record)
        elif isinstance(record, MemberLeft):
            self._leave(
                offset,
                record.incarnation,
                record.at_ms,
                proven=record.goodbye or bool(record.operator),
            )
        elif isinstance(record, MemberDraining):
            self._drain(record.incarnation)
        elif isinstance(record, AssignmentChanged):
            self._assign(offset, record)

    def by_role(self, role: Role) -> list[Member]:
        """Return the members of a role, sorted by incarnation."""
        if role not in self._by_role:
            found = [member for member in self.members.values() if member.role == role]
            self._by_role[role] = sorted(found, key=lambda member: member.incarnation)
        return list(self._by_role[role])

    def dump(self) -> Any:
        """Return the state as plain data for a snapshot."""
        panels = {str(version): panel for version, panel in self.panels.items()}
        owners = {str(version): names for version, names in self.version_owners.items()}
        members = list(self.members.values())
        departures, record_ids = list(self.departures), list(self._record_ids)
        return msgspec.to_builtins(
            _Dump(members, departures, self.assignment, panels, record_ids, owners)
        )

    def load(self, offset: int, plain: Any) -> bool:
        """Load a snapshot if it is newer than this state; return whether it was."""
        if offset <= self.offset:
            return False
        dump = msgspec.convert(plain, _Dump)
        self.members = {member.incarnation: member for member in dump.members}
        self._by_role.clear()
        self.departures = collections.deque(dump.departures, maxlen=MAX_DEPARTURES)
        self.assignment = dump.assignment
        self.panels = {int(version): panel for version, panel in dump.panels.items()}
        self.version_owners = {int(version): names for version, names in dump.owners.items()}
        self._record_ids = collections.OrderedDict.fromkeys(dump.record_ids)
        self.offset = offset
        return True

    def is_proven_gone(self, incarnation: str) -> bool:
        """Return whether an incarnation is proven to have ended."""
        return any(
            departure.proven and departure.incarnation == incarnation
            for departure in self.departures
        )

    def unsettled_departures(self) -> list[Departure]:
        """Return departures of side processes that are neither proven nor settled.

        An owner that has not read of such a departure may still renew its lease, and start tasks
        at the side process.
        """
        return [
            departure
            for departure in self.departures
            if departure.role is Role.SIDE and not departure.proven and not departure.settled
        ]

    def _join(self, offset: int, record: MemberJoined) -> None:
        if self.is_proven_gone(record.incarnation):
            return
        # An incarnation that was wrongly suspected and joins again still has its state, so its
        # departure is removed.
        returned = [each for each in self.departures if each.incarnation == record.incarnation]
        for departure in returned:
            self.departures.remove(departure)
        for member in list(self.members.values()):
            replaced = member.role == record.role and member.name == record.name
            if replaced and member.incarnation != record.incarnation:
                # Another process now listens at its address, so the old one can't be reached.
                proven = member.address == record.address
                self._leave(offset, member.incarnation, record.at_ms, proven=proven)
        self._mark_replaced_proven(record)
        self.members[record.incarnation] = Member(
            record.role,
            record.name,
            record.incarnation,
            record.address,
            record.data_centre,
            record.rack,
            record.at_ms,
            record.operator_address,
        )

    def _mark_replaced_proven(self, record: MemberJoined) -> None:
        """Mark departures proven if their address is now used by a joining process."""
        joined = (record.role, record.address)
        self._mark_proven(
            lambda departure: (departure.role, departure.address) == joined, record.at_ms
        )

    def _mark_proven(self, matches: Callable[[Departure], bool], at_ms: int) -> None:
        for index, departure in enumerate(self.departures):
            if not departure.proven and matches(departure):
                self.departures[index] = msgspec.structs.replace(
                    departure, proven=True, at_ms=max(departure.at_ms, at_ms)
                )

    def _leave(self, offset: int, incarnation: str, at_ms: int, *, proven: bool) -> None:
        member = self.members.pop(incarnation, None)
        if member is None:
            if proven:
                self._mark_proven(lambda departure: departure.incarnation == incarnation, at_ms)
        else:
            self.departures.append(
                Departure(
                    member.role,
                    incarnation,
                    at_ms,
                    proven,
                    False,
                    offset,
                    member.name,
                    member.address,
                )
            )

    def _drain(self, incarnation: str) -> None:
        member = self.members.get(incarnation)
        if member is not None:
            self.members[incarnation] = msgspec.structs.replace(member, draining=True)

    def _assign(self, offset: int, record: AssignmentChanged) -> None:
        if record.based_on != self.assignment.version or len(record.shards) != SHARD_COUNT:
            return
        owners = tuple(record.owners[index] for index in record.shards)
        closed = max(record.closed_version, self.assignment.closed_version)
        # Offsets start at 0, but version 0 means that no assignment was made yet.
        version = offset + 1
        self.assignment = self._next_assignment(
            self.assignment, version, owners, record.panel, closed
        )
        self.panels[version] = tuple(record.panel)
        self.version_owners[version] = tuple(sorted(set(owners)))
        for old in [old for old in self.panels if old <= closed]:
            del self.panels[old]
            self.version_owners.pop(old, None)
        self._mark_settled(closed, record.at_ms)

    def _mark_settled(self, closed: int, at_ms: int) -> None:
        """Mark departures as settled whose earlier versions are closed.

        The closing was recorded at `at_ms`; a settled departure counts from no earlier time.
        """
        for index, departure in enumerate(self.departures):
            unsettled = not departure.proven and not departure.settled
            if unsettled and departure.offset <= closed:
                self.departures[index] = msgspec.structs.replace(
                    departure, settled=True, at_ms=max(departure.at_ms, at_ms)
                )

    @staticmethod
    def _next_assignment(
        old: Assignment, version: int, owners: tuple[str, ...], panel: list[str], closed: int
    ) -> Assignment:
        former, since, former_since = [], [], []
        for shard, owner in enumerate(owners):
            unchanged = old.owner_of(shard) == owner
            former.append(old.former[shard] if unchanged else old.owner_of(shard))
            since.append(old.since[shard] if unchanged else version)
            former_since.append(
                old.former_owned_since(shard) if unchanged else old.owned_since(shard)
            )
        return Assignment(
            version,
            owners,
            tuple(panel),
            closed,
            tuple(former),
            tuple(since),
            tuple(former_since),
        )
