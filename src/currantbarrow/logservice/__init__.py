"""Store cluster membership and class definitions in the platform's log service."""

from currantbarrow.logservice.appender import append_once
from currantbarrow.logservice.follower import LogFollower
from currantbarrow.logservice.peer_sync import PeerSync, sync_from_peers
from currantbarrow.logservice.records import (
    CLASS_STREAM,
    CLUSTER_STREAM,
    AssignmentChanged,
    ClassChanged,
    ClassDefinition,
    MemberDraining,
    MemberJoined,
    MemberLeft,
    Record,
    Snapshot,
    decode_record,
    encode_record,
)
from currantbarrow.logservice.replica import StreamReplica, StreamState
from currantbarrow.logservice.snapshots import SnapshotRule, SnapshotWriter

__all__ = [
    "CLASS_STREAM",
    "CLUSTER_STREAM",
    "AssignmentChanged",
    "ClassChanged",
    "ClassDefinition",
    "LogFollower",
    "MemberDraining",
    "MemberJoined",
    "MemberLeft",
    "Record",
    "Snapshot",
    "SnapshotRule",
    "SnapshotWriter",
    "PeerSync",
    "StreamReplica",
    "StreamState",
    "append_once",
    "sync_from_peers",
    "decode_record",
    "encode_record",
]
