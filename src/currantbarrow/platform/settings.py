"""Load the settings that the platform writes for each process."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import msgspec

from currantbarrow.decoding import decode_json
from currantbarrow.exceptions import SettingsError, ValueUndecodable

__all__ = ["ProcessSettings", "load_process_settings"]

SETTINGS_VARIABLE = "CURRANTBARROW_SETTINGS"
MS_PER_S = 1000.0
# Same as in the deploy file; the platform collects metrics from it to analyse incidents.
METRICS_PORT = 9464
# The policy under which operators may evacuate data centres.
EVACUATION_POLICY = "places"
# Limits of a process whose settings name none.
DEFAULT_MEMORY_MB = 128.0
DEFAULT_DESCRIPTORS = 1024


class _Listeners(msgspec.Struct):
    frontend: str = ""
    readiness: str = ""
    control: str = ""


class _Bounds(msgspec.Struct):
    drain_ms: float = 2000.0
    grace_s: float = 6.0
    max_hold_ms: float = 1000.0
    # How much longer a task takes on another rack than the one that it names.
    far_factor: float = 1.0


class _Limits(msgspec.Struct):
    memory_mb: float = 0.0
    max_fds: int = 0


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
    limits: _Limits = msgspec.field(default_factory=_Limits)
    seeds: list[str] = []
    # Not set by the platform: the listening address if others connect through a forwarder.
    link_listener: str = ""
    app: str = ""
    service: str = ""
    # A list of names, or an object with a member for each.
    policies: Any = None


class ProcessSettings(msgspec.Struct, frozen=True):
    """Describe the identity, the addresses and the limits of a process."""

    name: str
    data_centre: str
    # Address at which other processes connect to this one.
    link_address: str
    # Address on which this process listens for links.
    link_listener_address: str
    metrics_address: str
    callers_address: str
    readiness_address: str
    # Address on which this process listens for the worker's announcements.
    announcement_address: str
    # Address of the worker on this host.
    worker_address: str
    store_address: str
    # Link addresses of entries that may already be running.
    seed_link_addresses: tuple[str, ...]
    worker_lease_ms: float
    # The service that the worker on this host serves; empty if the platform does not say.
    service: str
    # Time from the stop signal to SIGKILL.
    grace_ms: float
    # Whether operators may evacuate data centres.
    evacuations: bool = False
    # How much longer a task takes on a worker that is far from its data.
    far_factor: float = 1.0
    # The process is killed if it takes more memory.
    memory_mb: float = DEFAULT_MEMORY_MB
    # Open files and connections that the process may have.
    descriptors: int = DEFAULT_DESCRIPTORS


def load_process_settings(path: str | None = None) -> ProcessSettings:
    """Load the settings of this process; raise SettingsError."""
    source = path or os.environ.get(SETTINGS_VARIABLE, "")
    try:
        file = decode_json(Path(source).read_bytes(), _SettingsFile)
    except OSError as error:
        raise SettingsError(f"{source or SETTINGS_VARIABLE}: {error.strerror}") from error
    except ValueUndecodable as error:
        raise SettingsError(f"{source}: {error}") from error
    link_port = file.internal_port_range[0]
    link_address = f"{file.ip}:{link_port}"
    return ProcessSettings(
        file.node_name,
        file.zone,
        link_address,
        file.link_listener or link_address,
        f"{file.ip}:{METRICS_PORT}",
        file.listen_addrs.frontend,
        file.listen_addrs.readiness,
        file.listen_addrs.control,
        file.app,
        file.platform.address,
        # The link port is the same on all hosts.
        tuple(f"{seed.rpartition(':')[0]}:{link_port}" for seed in file.seeds),
        file.bounds.max_hold_ms,
        file.service,
        file.bounds.grace_s * MS_PER_S,
        isinstance(file.policies, list | dict) and EVACUATION_POLICY in file.policies,
        max(1.0, file.bounds.far_factor),
        file.limits.memory_mb or DEFAULT_MEMORY_MB,
        file.limits.max_fds or DEFAULT_DESCRIPTORS,
    )
