"""Membership, shard ownership and owner leases, agreed on through the log."""

from currantbarrow.cluster.balance import balance_shards, choose_panel
from currantbarrow.cluster.last_seen import query_last_seen
from currantbarrow.cluster.lease import Lease, majority
from currantbarrow.cluster.panel import PanelMember
from currantbarrow.cluster.state import Assignment, ClusterState, Departure, Member

__all__ = [
    "Assignment",
    "ClusterState",
    "Departure",
    "Lease",
    "Member",
    "PanelMember",
    "query_last_seen",
    "balance_shards",
    "choose_panel",
    "majority",
]
