"""Keep what must be agreed or must last in the platform's log service."""

from currantbarrow.logservice.appender import append_once
from currantbarrow.logservice.follower import LogFollower, StreamState, encode_state
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
    "StreamState",
    "append_once",
    "decode_record",
    "encode_record",
    "encode_state",
]
