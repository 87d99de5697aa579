"""Read the settings that the platform writes for each process."""

from __future__ import annotations

import os
from pathlib import Path

import msgspec

from currantbarrow.exceptions import SettingsError

__all__ = ["ProcessSettings", "load_process_settings"]

SETTINGS_VARIABLE = "CURRANTBARROW_SETTINGS"
MS_PER_S = 1000.0
# As in the deploy file; the platform fetches metrics there while an incident is examined.
METRICS_PORT = 9464


class _Listeners(msgspec.Struct):
    frontend: str = ""
    readiness: str = ""
    control: str = ""


class _Bounds(msgspec.Struct):
    drain_ms: float = 2000.0
    grace_s: float = 6.0
    max_hold_ms: float = 1000.0


class _Store(msgspec.Struct):
    address: str


class _SettingsFile(msgspec.Struct):
    node_name: str
    ip: str
    zone: str
    listen_addrs: _Listeners
    internal_port_range: tuple[int, int]
    platform: _Store
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    seeds: list[str] = []
    # Not the platform's: where links are taken when the address that others dial is a forwarder's.
    link_listener: str = ""
    app: str = ""
    service: str = ""


class ProcessSettings(msgspec.Struct, frozen=True):
    """Hold what a process has to know before it starts."""

    name: str
    data_centre: str
    # Where the others dial this process.
    link_address: str
    # Where it takes their links.
    link_listener_address: str
    metrics_address: str
    callers_address: str
    readiness_address: str
    # Where the worker beside this process announces itself.
    announcement_address: str
    # Where the worker beside this process takes orders.
    worker_address: str
    store_address: str
    # Where entries take links that may be there already.
    seed_link_addresses: tuple[str, ...]
    worker_lease_ms: float
    # From the order to stop to the kill.
    grace_ms: float


def load_process_settings(path: str | None = None) -> ProcessSettings:
    """Return the settings; raise SettingsError."""
    place = path or os.environ.get(SETTINGS_VARIABLE, "")
    try:
        plain = msgspec.json.decode(Path(place).read_bytes(), type=_SettingsFile)
    except OSError as error:
        raise SettingsError(f"{place or SETTINGS_VARIABLE}: {error.strerror}") from error
    except msgspec.MsgspecError as error:
        raise SettingsError(f"{place}: {error}") from error
    link_port = plain.internal_port_range[0]
    link_address = f"{plain.ip}:{link_port}"
    return ProcessSettings(
        plain.node_name,
        plain.zone,
        link_address,
        plain.link_listener or link_address,
        f"{plain.ip}:{METRICS_PORT}",
        plain.listen_addrs.frontend,
        plain.listen_addrs.readiness,
        plain.listen_addrs.control,
        plain.app,
        plain.platform.address,
        # Ports are the same on all hosts.
        tuple(f"{seed.rpartition(':')[0]}:{link_port}" for seed in plain.seeds),
        plain.bounds.max_hold_ms,
        plain.bounds.grace_s * MS_PER_S,
    )
