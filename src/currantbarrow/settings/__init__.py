"""Load and validate the settings of each program."""

from currantbarrow.settings.checks import find_errors
from currantbarrow.settings.loading import load_settings, read_token
from currantbarrow.settings.schema import (
    EntrySettings,
    LogStandinSettings,
    OperatorSettings,
    SideSettings,
    WorkerStandinSettings,
)

__all__ = [
    "EntrySettings",
    "LogStandinSettings",
    "OperatorSettings",
    "SideSettings",
    "WorkerStandinSettings",
    "find_errors",
    "load_settings",
    "read_token",
]
