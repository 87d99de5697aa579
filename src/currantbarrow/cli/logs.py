"""Merge the log files of several processes in the order of time."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
from cleo.helpers import argument, option

from currantbarrow.cli.command import LocalCommand
from currantbarrow.cli.errors import EXIT_OK
from currantbarrow.cli.tables import format_table
from currantbarrow.exceptions import OperatorError

__all__ = ["LogLine", "LogsCommand", "read_lines"]

# Left out of the details: fields with a column or a filter of their own, and logger metadata.
EXCLUDED_FIELDS = ("asctime", "process", "message", "job", "levelname", "name")


class LogLine(msgspec.Struct, frozen=True):
    """Represent a log line of a process."""

    asctime: str
    process: str
    message: str
    job: str
    details: dict[str, Any]

    def format_details(self) -> str:
        """Return the non-empty details as name=value pairs."""
        shown = [f"{name}={value}" for name, value in self.details.items() if value != ""]
        return " ".join(shown)


def read_lines(path: Path) -> Iterator[LogLine]:
    """Yield the JSON log lines of a file, without any prefix; raise OperatorError."""
    try:
        text = path.read_text(errors="replace")
    except OSError as error:
        raise OperatorError(f"{path}: {error.strerror}", code="argument_invalid") from error
    for line in text.splitlines():
        try:
            decoded = msgspec.json.decode(line[max(0, line.find("{")) :], type=dict[str, Any])
        except msgspec.MsgspecError:
            # A traceback or other output between the log lines.
            continue
        yield LogLine(
            str(decoded.get("asctime", "")),
            str(decoded.get("process", "")),
            str(decoded.get("message", "")),
            str(decoded.get("job", "")),
            {name: value for name, value in decoded.items() if name not in EXCLUDED_FIELDS},
        )


class LogsCommand(LocalCommand):
    """Show the log lines of several processes in the order of time."""

    name = "logs"
    description = "Merge log files of several processes into one account of a job."
    arguments = [argument("files", "The log files.", multiple=True)]
    options = [
        option("job", None, "Only lines of this job.", flag=False),
        option("process", None, "Only lines of processes whose names begin with this.", flag=False),
        option("states", None, "Only lines that belong to no job, about the state of processes."),
        option("json", None, "Print JSON instead of a table."),
    ]

    def run_command(self) -> int:
        """Show the selected lines."""
        lines = [line for name in self.argument("files") for line in read_lines(Path(name))]
        selected = sorted(
            (line for line in lines if self._is_selected(line)), key=lambda line: line.asctime
        )
        if self.option("json"):
            self.show_json(selected)
        else:
            rows = [
                [line.asctime.rpartition(" ")[2], line.process, line.message, line.format_details()]
                for line in selected
            ]
            self.show(format_table(["time", "process", "message", "details"], rows))
        return EXIT_OK

    def _is_selected(self, line: LogLine) -> bool:
        job, process = self.option("job"), self.option("process")
        return (
            (not job or line.job == job)
            and (not process or line.process.startswith(process))
            and not (self.option("states") and line.job)
        )
