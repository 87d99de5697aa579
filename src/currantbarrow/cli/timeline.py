"""Show a timeline of the events of all processes."""

from __future__ import annotations

import re
import time
from pathlib import Path

import msgspec
from cleo.helpers import option

from currantbarrow.cli.client import HttpClient
from currantbarrow.cli.command import FleetCommand, fleet_options
from currantbarrow.cli.errors import EXIT_OK
from currantbarrow.cli.fleet import list_members, query_members
from currantbarrow.cli.tables import format_table
from currantbarrow.entry.submission import creation_time_ms
from currantbarrow.exceptions import JobInvalid, OperatorError
from currantbarrow.jobs import JobRequest, make_job_id
from currantbarrow.observe import Event
from currantbarrow.timeline import Timeline, merge_events, render_html

__all__ = ["TimelineCommand"]

HEADINGS = ["ms", "process", "event", "job", "task", "class", "detail"]
UNIT_MS = {"ms": 1, "s": 1000, "m": 60_000, "h": 3_600_000}
DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s|m|h)")
JOB_ID_CHARS = 8


class TimelineCommand(FleetCommand):
    """Merge and show the recent events of all processes."""

    name = "timeline"
    description = "Show what happened over all processes, in order."
    options = fleet_options(
        option("job", None, "Only the events of the job with this key.", flag=False),
        option("customer", None, "The customer that the job belongs to.", flag=False),
        option(
            "created-at-ms",
            None,
            "The key's creation time, unless the key is a UUIDv7.",
            flag=False,
        ),
        option(
            "since",
            None,
            "Only events of the last period of this length, e.g. 30s, 500ms or 2m.",
            flag=False,
        ),
        option("picture", None, "Write a diagram to this HTML file.", flag=False),
    )

    async def run_with_client(self, client: HttpClient) -> int:
        """Collect, merge and show the events."""
        if not self.option("job") and not self.option("since"):
            raise OperatorError("give --job or --since", code="argument_invalid")
        params = self._params()
        rows = await list_members(client, self.operator_url)
        replies = await query_members(client, [row.member for row in rows], "/events", params)
        events: list[Event] = []
        for reply in replies:
            if reply.error:
                self.print_stderr(f"warning: no events from {reply.member.name}: {reply.error}")
            else:
                events += msgspec.convert(reply.body, list[Event])
        timeline = merge_events(events)
        self._show_timeline(timeline)
        return EXIT_OK

    def _params(self) -> dict[str, str]:
        params = {}
        if self.option("job"):
            params["job"] = self._job_id()
        if self.option("since"):
            since_ms = time.time() * 1000 - parse_duration_ms(self.option("since"))
            params["since_ms"] = str(max(0, int(since_ms)))
        return params

    def _job_id(self) -> str:
        key = self.option("job")
        customer = self.option("customer")
        if not customer:
            raise OperatorError("--customer is missing", code="argument_invalid")
        try:
            created_at_ms = creation_time_ms(key, self.int_option("created-at-ms"))
        except JobInvalid as error:
            raise OperatorError(f"--job: {error}", code="argument_invalid") from error
        return make_job_id(JobRequest(key, created_at_ms, customer, "", [])).hex()

    def _show_timeline(self, timeline: Timeline) -> None:
        path = self.option("picture")
        if path:
            title = self.option("job") or f"the last {self.option('since')}"
            Path(path).write_text(render_html(timeline, title))
            self.print_stderr(f"wrote {path}")
        if self.as_json:
            self.show_json(timeline.events)
        elif not path:
            rows = [_cells(event, timeline.from_ms) for event in timeline.events]
            self.show(format_table(HEADINGS, rows))


def parse_duration_ms(text: str) -> float:
    """Convert a duration such as 30s to milliseconds; raise OperatorError."""
    match = DURATION.fullmatch(text)
    if match is None:
        message = f"--since must be a duration such as 30s, 500ms or 2m, not {text}"
        raise OperatorError(message, code="argument_invalid")
    return float(match[1]) * UNIT_MS[match[2]]


def _cells(event: Event, from_ms: float) -> list[object]:
    return [
        round(event.stamp_ms - from_ms, 1),
        event.process,
        event.kind,
        event.job[:JOB_ID_CHARS],
        event.task if event.task >= 0 else "",
        event.job_class,
        event.detail,
    ]
