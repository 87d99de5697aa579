"""Show the members of a fleet and their state, and retire members that have ended."""

from __future__ import annotations

import fnmatch
from typing import Any

from cleo.helpers import argument, option

from currantbarrow.cli.client import HttpClient
from currantbarrow.cli.command import FleetCommand, fleet_options, login_name
from currantbarrow.cli.errors import EXIT_FAILED, EXIT_OK
from currantbarrow.cli.fleet import MemberReply, MemberRow, list_members, query_members
from currantbarrow.cli.tables import format_table

__all__ = ["MembersCommand", "RetireCommand", "StatusCommand"]

MEMBER_HEADINGS = [
    "role",
    "name",
    "data centre",
    "rack",
    "link address",
    "up",
    "state",
    "shards",
    "panel",
    "slots",
    "used",
]
STATUS_HEADINGS = ["role", "name", "state", "lease", "version", "classes at", "slots", "running"]


class MembersCommand(FleetCommand):
    """Show all members as one entry process reports them."""

    name = "members"
    description = "Show all processes of the fleet."
    options = fleet_options()

    async def run_with_client(self, client: HttpClient) -> int:
        """Show the members."""
        rows = await list_members(client, self.operator_url)
        if self.as_json:
            self.show_json(rows)
        else:
            self.show(format_table(MEMBER_HEADINGS, [_member_cells(row) for row in rows]))
        return EXIT_OK


class StatusCommand(FleetCommand):
    """Show the state and the counters of all members."""

    name = "status"
    description = "Ask every process for its state; exit code 1 when one doesn't answer."
    options = fleet_options(
        option(
            "counters", None, "Also show counters whose names match, e.g. 'entry.*'.", flag=False
        )
    )

    async def run_with_client(self, client: HttpClient) -> int:
        """Show the state of all members, and the selected counters."""
        rows = await list_members(client, self.operator_url)
        replies = await query_members(client, [row.member for row in rows], "/status")
        if self.as_json:
            self.show_json(replies)
        else:
            self._show_tables(replies)
        return EXIT_FAILED if any(reply.error for reply in replies) else EXIT_OK

    def _show_tables(self, replies: list[MemberReply]) -> None:
        self.show(format_table(STATUS_HEADINGS, [_status_cells(reply) for reply in replies]))
        pattern = self.option("counters")
        if pattern:
            rows = [
                [reply.member.name, name, count]
                for reply in replies
                for name, count in sorted((reply.body or {}).get("counters", {}).items())
                if fnmatch.fnmatchcase(name, pattern)
            ]
            self.show("")
            self.show(format_table(["process", "counter", "count"], rows))
        for reply in replies:
            if reply.error:
                self.print_stderr(f"warning: {reply.member.name}: {reply.error}")


class RetireCommand(FleetCommand):
    """Retire a process that does not answer and has ended for good."""

    name = "retire"
    description = (
        "Record that a process has ended for good, e.g. because its host is off or replaced."
    )
    arguments = [
        argument("process", "The process's name, or the incarnation ID of one of its runs.")
    ]
    options = fleet_options(
        option("by", None, "Who reports it; the login name by default.", flag=False)
    )

    async def run_with_client(self, client: HttpClient) -> int:
        """Record the retirement."""
        body = {"name": self.argument("process"), "operator": self.option("by") or login_name()}
        reply = await client.post(f"{self.operator_url}/members/retire", body)
        if self.as_json:
            self.show_json(reply)
        else:
            self.show(f"retired {', '.join(reply['retired'])}")
        return EXIT_OK


def _member_cells(row: MemberRow) -> list[object]:
    member = row.member
    return [
        member.role,
        member.name,
        member.data_centre,
        member.rack,
        member.address,
        row.up,
        "draining" if member.draining else "member",
        row.shards,
        row.on_panel,
        row.slots,
        row.used_slots,
    ]


def _status_cells(reply: MemberReply) -> list[object]:
    body: dict[str, Any] = reply.body or {}
    # The load of a side process is a list: clock_ms, slots, running, queued, leaving, yours.
    load: dict[str, Any] | list[Any] = body.get("load") or {}
    slots, running = (load[1], load[2]) if isinstance(load, list) else (None, None)
    return [
        reply.member.role,
        reply.member.name,
        _state(reply),
        body.get("lease_held"),
        body.get("version"),
        body.get("class_offset"),
        slots,
        running,
    ]


def _state(reply: MemberReply) -> str:
    if reply.error:
        return "no answer"
    body = reply.body
    if body.get("draining"):
        return "draining"
    if "load" in body:
        # Element 4 of the load is its field leaving.
        return "leaving" if body["load"][4] else "ok"
    return "ready" if body.get("ready") else "not ready"
