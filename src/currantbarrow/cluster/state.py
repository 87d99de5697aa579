"""Reduce the cluster stream to members, owners of shards and the panel."""

from __future__ import annotations

import collections
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

REMEMBERED_RECORDS = 1024
REMEMBERED_DEPARTURES = 512


class Member(msgspec.Struct, frozen=True):
    """Describe one incarnation of a process."""

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
    """Remember that an incarnation is gone since a wall clock time."""

    role: Role
    incarnation: str
    at_ms: int


class Assignment(msgspec.Struct, frozen=True):
    """Give every shard an owner's incarnation, under a version."""

    version: int = 0
    owners: tuple[str, ...] = ()
    panel: tuple[str, ...] = ()
    closed_version: int = 0
    # The owner before the present one, and the version that gave the shard to the present one.
    former: tuple[str, ...] = ()
    since: tuple[int, ...] = ()

    def owner_of(self, shard: int) -> str:
        """Return the incarnation that owns a shard, empty when none does."""
        return self.owners[shard] if self.owners else ""

    def shards_of(self, owner: str) -> set[int]:
        """Return the shards of an owner."""
        return {shard for shard in range(SHARD_COUNT) if self.owner_of(shard) == owner}


class _Dump(msgspec.Struct):
    members: list[Member]
    departures: list[Departure]
    assignment: Assignment
    panels: dict[str, tuple[str, ...]]
    record_ids: list[str]


class ClusterState:
    """Hold who is a member and who owns what, as the log has it."""

    __slots__ = ("_record_ids", "assignment", "departures", "members", "offset", "panels")

    def __init__(self) -> None:
        self.offset = -1
        self.members: dict[str, Member] = {}
        self.departures: collections.deque[Departure] = collections.deque(
            maxlen=REMEMBERED_DEPARTURES
        )
        self.assignment = Assignment()
        # The panels of versions that may still be open; a takeover has to close them all.
        self.panels: dict[int, tuple[str, ...]] = {}
        self._record_ids: collections.OrderedDict[str, None] = collections.OrderedDict()

    def apply(self, offset: int, record: Record) -> None:
        """Take in the record at an offset."""
        if record.record_id in self._record_ids:
            return
        self._record_ids[record.record_id] = None
        while len(self._record_ids) > REMEMBERED_RECORDS:
            self._record_ids.popitem(last=False)
        if isinstance(record, MemberJoined):
            self._join(record)
        elif isinstance(record, MemberLeft):
            self._leave(record.incarnation, record.at_ms)
        elif isinstance(record, MemberDraining):
            self._drain(record.incarnation)
        elif isinstance(record, AssignmentChanged):
            self._assign(offset, record)

    def by_role(self, role: Role) -> list[Member]:
        """Return the members of a role, by incarnation."""
        found = [member for member in self.members.values() if member.role == role]
        return sorted(found, key=lambda member: member.incarnation)

    def dump(self) -> Any:
        """Return the state as plain data for a snapshot."""
        panels = {str(version): panel for version, panel in self.panels.items()}
        members = list(self.members.values())
        return msgspec.to_builtins(
            _Dump(members, list(self.departures), self.assignment, panels, list(self._record_ids))
        )

    def load(self, offset: int, plain: Any) -> bool:
        """Take over a snapshot that is newer than this state; tell whether it was."""
        if offset <= self.offset:
            return False
        dump = msgspec.convert(plain, _Dump)
        self.members = {member.incarnation: member for member in dump.members}
        self.departures = collections.deque(dump.departures, maxlen=REMEMBERED_DEPARTURES)
        self.assignment = dump.assignment
        self.panels = {int(version): panel for version, panel in dump.panels.items()}
        self._record_ids = collections.OrderedDict.fromkeys(dump.record_ids)
        self.offset = offset
        return True

    def _join(self, record: MemberJoined) -> None:
        for member in list(self.members.values()):
            replaced = member.role == record.role and member.name == record.name
            if replaced and member.incarnation != record.incarnation:
                self._leave(member.incarnation, record.at_ms)
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

    def _leave(self, incarnation: str, at_ms: int) -> None:
        member = self.members.pop(incarnation, None)
        if member is not None:
            self.departures.append(Departure(member.role, incarnation, at_ms))

    def _drain(self, incarnation: str) -> None:
        member = self.members.get(incarnation)
        if member is not None:
            self.members[incarnation] = msgspec.structs.replace(member, draining=True)

    def _assign(self, offset: int, record: AssignmentChanged) -> None:
        if record.based_on != self.assignment.version or len(record.shards) != SHARD_COUNT:
            return
        owners = tuple(record.owners[index] for index in record.shards)
        closed = max(record.closed_version, self.assignment.closed_version)
        # Offsets start at 0, and version 0 means that nothing was ever assigned.
        version = offset + 1
        self.assignment = self._follow(self.assignment, version, owners, record.panel, closed)
        self.panels[version] = tuple(record.panel)
        for old in [old for old in self.panels if old <= closed]:
            del self.panels[old]

    @staticmethod
    def _follow(
        old: Assignment, version: int, owners: tuple[str, ...], panel: list[str], closed: int
    ) -> Assignment:
        former, since = [], []
        for shard, owner in enumerate(owners):
            kept = old.owner_of(shard) == owner
            former.append(old.former[shard] if kept else old.owner_of(shard))
            since.append(old.since[shard] if kept else version)
        return Assignment(version, owners, tuple(panel), closed, tuple(former), tuple(since))
