"""Load the settings of a complete fleet from a folder, for use on ephemeral ports."""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

import msgspec

from currantbarrow.exceptions import SettingsError
from currantbarrow.settings import (
    EntrySettings,
    LogStandinSettings,
    SideSettings,
    WorkerStandinSettings,
    load_settings,
)

__all__ = ["FleetSettings", "load_fleet_settings"]

EPHEMERAL_ADDRESS = "127.0.0.1:0"

SettingsT = TypeVar("SettingsT", bound=msgspec.Struct)


class FleetSettings(msgspec.Struct, frozen=True):
    """Contain the settings of all processes of one user's fleet."""

    log: LogStandinSettings
    entries: list[EntrySettings]
    sides: list[SideSettings]
    workers: list[WorkerStandinSettings]

    def settings_for_side(self, number: int, log_url: str, upstream_url: str) -> SideSettings:
        """Return the settings of a side process, with ephemeral ports and this run's URLs."""
        return msgspec.structs.replace(
            self.sides[number],
            link_address=EPHEMERAL_ADDRESS,
            upstream_address=EPHEMERAL_ADDRESS,
            log_service_url=log_url,
            upstream_url=upstream_url,
        )

    def settings_for_entry(self, number: int, log_url: str) -> EntrySettings:
        """Return the settings of an entry process, with ephemeral ports and this run's URL."""
        return msgspec.structs.replace(
            self.entries[number],
            callers_address=EPHEMERAL_ADDRESS,
            operator_address=EPHEMERAL_ADDRESS,
            link_address=EPHEMERAL_ADDRESS,
            log_service_url=log_url,
        )


def load_fleet_settings(folder: Path) -> FleetSettings:
    """Load the settings of all processes from a folder; raise SettingsError."""
    settings = FleetSettings(
        load_settings(folder / "log.yaml", LogStandinSettings),
        _load_all(folder, "entry", EntrySettings),
        _load_all(folder, "side", SideSettings),
        _load_all(folder, "worker", WorkerStandinSettings),
    )
    if not settings.entries or not settings.sides or len(settings.sides) != len(settings.workers):
        raise SettingsError(f"{folder}: needs entries, and as many sides as workers")
    return settings


def _load_all(folder: Path, role: str, schema: type[SettingsT]) -> list[SettingsT]:
    return [load_settings(path, schema) for path in sorted(folder.glob(f"{role}-*.yaml"))]
