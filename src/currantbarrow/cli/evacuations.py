"""Show from log files which data centres are evacuated, and how each process learnt of it."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

import msgspec
from cleo.helpers import argument, option

from currantbarrow.cli.command import LocalCommand
from currantbarrow.cli.errors import EXIT_OK
from currantbarrow.cli.logs import LogLine, read_lines
from currantbarrow.cli.tables import format_table

__all__ = ["EvacuationRow", "EvacuationsCommand", "find_evacuations"]

BEGAN = "evacuation in force"
ENDED = "evacuation ended"
# A process that starts knows of no evacuation.
STARTED = "started"
HEADINGS = ["data centre", "process", "state", "since", "position", "source"]


class EvacuationRow(msgspec.Struct, frozen=True):
    """Describe what a process last logged about the evacuation of a data centre."""

    data_centre: str
    process: str
    in_force: bool
    since: str
    # The position in the operators' records from which the process knew it.
    position: int
    # The store, or the process that sent the state.
    source: str


def find_evacuations(lines: Iterable[LogLine]) -> list[EvacuationRow]:
    """Return the latest row of each process and data centre, by data centre and time."""
    rows: dict[tuple[str, str], EvacuationRow] = {}
    for line in sorted(lines, key=lambda line: line.asctime):
        if line.message == STARTED:
            rows = {key: row for key, row in rows.items() if row.process != line.process}
        elif line.message in (BEGAN, ENDED):
            row = EvacuationRow(
                str(line.details.get("data_centre", "")),
                line.process,
                line.message == BEGAN,
                line.asctime,
                int(line.details.get("position", 0)),
                str(line.details.get("source", "")),
            )
            rows[row.process, row.data_centre] = row
    return sorted(rows.values(), key=lambda row: (row.data_centre, row.since, row.process))


class EvacuationsCommand(LocalCommand):
    """Show the evacuations that processes have logged."""

    name = "evacuations"
    description = "Show which data centres are evacuated, since when, and who told each process."
    arguments = [argument("files", "The log files.", multiple=True)]
    options = [
        option("data-centre", None, "Only this data centre.", flag=False),
        option("json", None, "Print JSON instead of a table."),
    ]

    def run_command(self) -> int:
        """Show a row for each process and data centre."""
        lines = [line for name in self.argument("files") for line in read_lines(Path(name))]
        data_centre = self.option("data-centre")
        rows = [
            row for row in find_evacuations(lines) if data_centre in (None, "", row.data_centre)
        ]
        if self.option("json"):
            self.show_json(rows)
            return EXIT_OK
        cells = [
            [
                row.data_centre,
                row.process,
                "in force" if row.in_force else "ended",
                row.since.rpartition(" ")[2],
                row.position,
                row.source,
            ]
            for row in rows
        ]
        self.show(format_table(HEADINGS, cells))
        return EXIT_OK
