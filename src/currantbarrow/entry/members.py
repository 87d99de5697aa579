"""List members for operators and find those that may be retired."""

from __future__ import annotations

import msgspec

from currantbarrow.cluster import ClusterState, Member
from currantbarrow.entry.peers import EntryPool
from currantbarrow.entry.sides import SidePool
from currantbarrow.exceptions import MemberAlive, MemberUnknown
from currantbarrow.protocol import Role

__all__ = ["MemberRow", "describe_members", "find_retirable_incarnations"]


class MemberRow(msgspec.Struct, frozen=True):
    """Describe a member, with its state as observed by an entry process."""

    member: Member
    up: bool
    shards: int
    on_panel: bool
    slots: int
    used_slots: int


def describe_members(cluster: ClusterState, entries: EntryPool, sides: SidePool) -> list[MemberRow]:
    """Return all members, entries first."""
    rows = [_describe(member, cluster, entries, sides) for member in cluster.members.values()]
    return sorted(rows, key=lambda row: (row.member.role, row.member.name))


def find_retirable_incarnations(
    name: str, cluster: ClusterState, entries: EntryPool, sides: SidePool
) -> list[str]:
    """Return the unreachable incarnations with a name; raise MemberAlive or MemberUnknown.

    The name may also be a single incarnation. Departed incarnations are included as long as
    their end is not proven.
    """
    members = [each for each in cluster.members.values() if name in (each.name, each.incarnation)]
    silent = [each.incarnation for each in members if not _is_up(each, entries, sides)]
    silent += [
        each.incarnation
        for each in cluster.departures
        if name in (each.name, each.incarnation) and not each.proven
    ]
    if silent:
        return silent
    if members:
        raise MemberAlive(f"{name} answers this entry")
    raise MemberUnknown(f"no process {name} is a member, or departed without proof of its end")


def _is_up(member: Member, entries: EntryPool, sides: SidePool) -> bool:
    if member.role is Role.ENTRY:
        return entries.down_for_ms(member.incarnation) == 0.0
    peer = sides.peers.get(member.incarnation)
    return peer is not None and peer.up


def _describe(
    member: Member, cluster: ClusterState, entries: EntryPool, sides: SidePool
) -> MemberRow:
    incarnation = member.incarnation
    shards = len(cluster.assignment.shards_of(incarnation))
    on_panel = incarnation in cluster.assignment.panel
    if member.role is Role.ENTRY:
        return MemberRow(member, _is_up(member, entries, sides), shards, on_panel, 0, 0)
    peer = sides.peers.get(incarnation)
    if peer is None:
        return MemberRow(member, False, shards, on_panel, 0, 0)
    used = peer.view.own_slots + peer.view.others_slots
    return MemberRow(member, peer.up, shards, on_panel, peer.view.slots, used)
