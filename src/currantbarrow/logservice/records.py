"""Define the records that are stored in the log service."""

from __future__ import annotations

from typing import Any, cast

import msgspec

from currantbarrow.decoding import Integer, Number, decode_json
from currantbarrow.exceptions import ConfigurationError, ValueUndecodable
from currantbarrow.protocol import Role

__all__ = [
    "CLASS_STREAM",
    "CLUSTER_STREAM",
    "AssignmentChanged",
    "ClassChanged",
    "ClassDefinition",
    "MemberDraining",
    "MemberJoined",
    "MemberLeft",
    "Record",
    "Snapshot",
    "decode_record",
    "encode_record",
]

# Snapshots hold the whole state of a stream.
MAX_RECORD_BYTES = 64 * 1024 * 1024
CLUSTER_STREAM = "cluster"
CLASS_STREAM = "classes"


class Record(msgspec.Struct, frozen=True, tag=True):
    """Identify a record; readers ignore one whose record_id they have already applied."""

    record_id: str


class MemberJoined(Record, frozen=True):
    """Record that a new incarnation of a process has joined."""

    role: Role
    name: str
    incarnation: str
    address: str
    data_centre: str
    rack: str
    at_ms: Integer
    operator_address: str = ""


class MemberDraining(Record, frozen=True):
    """Record that an incarnation is handing its shards over and is about to leave."""

    incarnation: str


class MemberLeft(Record, frozen=True):
    """Record that an incarnation has left, whether it announced this or was found to be gone."""

    incarnation: str
    at_ms: Integer
    goodbye: bool = False
    # The operator who retired a process that could not announce its own end. Such a record
    # is as conclusive as one with goodbye=True.
    operator: str = ""


class AssignmentChanged(Record, frozen=True):
    """Assign an owner to every shard; the first record with a given based_on version wins."""

    based_on: Integer
    owners: list[str]
    shards: list[Integer]
    panel: list[str]
    closed_version: Integer = 0
    at_ms: Integer = 0


class ClassDefinition(msgspec.Struct, frozen=True):
    """Define the response target of a class of work, the only setting that a class has."""

    target_ms: Number
    description: str = ""


class ClassChanged(Record, frozen=True):
    """Change or remove a class; the first record with a given based_on revision wins."""

    name: str
    based_on: Integer
    definition: ClassDefinition | None
    at_ms: Integer = 0
    operator: str = ""


class Snapshot(Record, frozen=True):
    """Capture the state of the stream after the record at an offset."""

    offset: Integer
    state: Any
    at_ms: Integer = 0


_AnyRecord: Any = (
    MemberJoined | MemberDraining | MemberLeft | AssignmentChanged | ClassChanged | Snapshot
)


def encode_record(record: Record) -> bytes:
    """Encode a record as JSON, which operators can read in the streams."""
    return msgspec.json.encode(record)


def decode_record(data: bytes) -> Record:
    """Decode a record; raise ConfigurationError if it is malformed or of an unknown type."""
    try:
        return cast(Record, decode_json(data, _AnyRecord, max_bytes=MAX_RECORD_BYTES))
    except ValueUndecodable as error:
        raise ConfigurationError(f"unreadable record: {error}") from error
