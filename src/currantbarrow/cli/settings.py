"""Check settings files."""

from __future__ import annotations

from pathlib import Path

import msgspec
from cleo.helpers import argument, option

from currantbarrow.cli.command import LocalCommand
from currantbarrow.cli.errors import EXIT_ARGUMENTS, EXIT_OK
from currantbarrow.exceptions import OperatorError, SettingsError
from currantbarrow.settings import (
    EntrySettings,
    LogStandinSettings,
    OperatorSettings,
    SideSettings,
    WorkerStandinSettings,
    load_settings,
)

__all__ = ["SettingsCheckCommand"]

SCHEMAS: dict[str, type[msgspec.Struct]] = {
    "entry": EntrySettings,
    "side": SideSettings,
    "operator": OperatorSettings,
    "standin-log": LogStandinSettings,
    "standin-worker": WorkerStandinSettings,
}


class SettingsCheckCommand(LocalCommand):
    """Check a settings file without starting a process."""

    name = "settings check"
    description = "Report every mistake in a settings file, with its path."
    arguments = [
        argument("role", f"One of {', '.join(SCHEMAS)}."),
        argument("file", "The YAML file."),
    ]
    options = [option("json", None, "Print JSON instead of text.")]

    def run_command(self) -> int:
        """Check the file and show its mistakes."""
        role = self.argument("role")
        if role not in SCHEMAS:
            message = f"{role}: the roles are {', '.join(SCHEMAS)}"
            raise OperatorError(message, code="argument_invalid")
        mistakes = self._find_mistakes(role, Path(self.argument("file")))
        if self.option("json"):
            self.show_json({"file": self.argument("file"), "mistakes": mistakes})
        elif mistakes:
            raise SettingsError("\n".join(mistakes), hint="Mend the file and check it again.")
        else:
            self.show(f"{self.argument('file')}: no mistakes")
        return EXIT_ARGUMENTS if mistakes else EXIT_OK

    @staticmethod
    def _find_mistakes(role: str, path: Path) -> list[str]:
        try:
            load_settings(path, SCHEMAS[role])
        except SettingsError as error:
            return str(error).splitlines()
        return []
