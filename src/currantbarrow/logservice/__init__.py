"""Keep what must be agreed or must last in the platform's log service."""

from currantbarrow.logservice.appender import append_once
from currantbarrow.logservice.copy import StreamCopy, StreamState
from currantbarrow.logservice.follower import LogFollower
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
from currantbarrow.logservice.sharing import StateSharing, ask_peers
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
    "StateSharing",
    "StreamCopy",
    "StreamState",
    "append_once",
    "ask_peers",
    "decode_record",
    "encode_record",
]
