"""Describe the members of the fleet for operators."""

from __future__ import annotations

import msgspec

from currantbarrow.cluster import ClusterState, Member
from currantbarrow.entry.peers import EntryPool
from currantbarrow.entry.sides import SidePool
from currantbarrow.protocol import Role

__all__ = ["MemberRow", "describe_members"]


class MemberRow(msgspec.Struct, frozen=True):
    """Show one member as an entry process sees it."""

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


def _describe(
    member: Member, cluster: ClusterState, entries: EntryPool, sides: SidePool
) -> MemberRow:
    incarnation = member.incarnation
    shards = len(cluster.assignment.shards_of(incarnation))
    on_panel = incarnation in cluster.assignment.panel
    if member.role is Role.ENTRY:
        return MemberRow(member, entries.down_for_ms(incarnation) == 0.0, shards, on_panel, 0, 0)
    peer = sides.peers.get(incarnation)
    if peer is None:
        return MemberRow(member, False, shards, on_panel, 0, 0)
    used = peer.view.outstanding + peer.view.others
    return MemberRow(member, peer.up, shards, on_panel, peer.view.slots, used)
