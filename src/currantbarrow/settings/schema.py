"""Define the settings of each program."""

from __future__ import annotations

from typing import Annotated

import msgspec

__all__ = [
    "EntrySettings",
    "LogStandinSettings",
    "OperatorSettings",
    "SideSettings",
    "WorkerStandinSettings",
]

Address = Annotated[str, msgspec.Meta(pattern=r"^[^\s:]+:\d{1,5}$")]
Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Url = Annotated[str, msgspec.Meta(pattern=r"^https?://\S+$")]
Milliseconds = Annotated[float, msgspec.Meta(gt=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]


class EntrySettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Configure an entry process."""

    name: Name
    data_centre: Name
    rack: Name
    callers_address: Address
    operator_address: Address
    link_address: Address
    log_service_url: Url
    token_file: str
    peers: list[Address] = []
    statsd_address: Address | None = None
    lease_ms: Milliseconds = 3000.0
    # How long after sending a stamp a side process accepts a start that echoes it.
    permission_ms: Milliseconds = 2000.0
    # How far a key's creation time may be ahead of the accepting entry's clock, and how far the
    # wall clocks of two entries may differ.
    skew_ms: Milliseconds = 1000.0
    # Age from which a key without a record is refused as expired.
    window_ms: Milliseconds = 600_000.0
    drain_ms: Milliseconds = 20_000.0
    log_retention_ms: Milliseconds = 86_400_000.0
    max_body_bytes: Count = 4_000_000
    max_tasks: Count = 220
    # What all callers together may take follows from these.
    memory_mb: Count = 300
    descriptors: Count = 4096


class SideSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Configure a side process."""

    name: Name
    data_centre: Name
    rack: Name
    link_address: Address
    upstream_address: Address
    upstream_url: Url
    log_service_url: Url
    token_file: str
    statsd_address: Address | None = None
    connections: Count = 64
    # How many tasks may wait for free slots before further ones are refused.
    queue_limit: Annotated[int, msgspec.Meta(ge=0)] = 8
    heartbeat_ms: Milliseconds = 1500.0
    # How long after sending a stamp a side process accepts a start that echoes it.
    permission_ms: Milliseconds = 2000.0
    # How long the slots of the upstream stay usable without a new announcement.
    announcement_ttl_ms: Milliseconds = 3000.0
    # Should equal that of the entries: the records of started tasks are kept for this time plus
    # twice the clock skew.
    window_ms: Milliseconds = 600_000.0
    drain_ms: Milliseconds = 20_000.0
    max_result_bytes: Count = 1_000_000


class OperatorSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Configure the operators' command line."""

    entry_url: Url
    operator_url: Url


class LogStandinSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Configure the stand-in for the log service."""

    address: Address
    append_delay_ms: Annotated[float, msgspec.Meta(ge=0)] = 5.0
    appends_per_s: Annotated[float, msgspec.Meta(ge=0)] = 400.0
    retention_ms: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class WorkerStandinSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Configure the stand-in for a worker's upstream."""

    name: Name
    address: Address
    side_url: Url
    slots: Count = 8
    announce_ms: Milliseconds = 1000.0
