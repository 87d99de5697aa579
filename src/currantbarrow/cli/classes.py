"""Create, change, remove and show classes of work."""

from __future__ import annotations

import datetime
import uuid
from typing import Any

import msgspec
from cleo.helpers import argument, option

from currantbarrow.cli.client import HttpClient
from currantbarrow.cli.command import FleetCommand, fleet_options, login_name
from currantbarrow.cli.errors import EXIT_OK
from currantbarrow.cli.fleet import ClassRow, fetch_class_history, wait_until_in_force
from currantbarrow.cli.tables import format_table
from currantbarrow.exceptions import OperatorError
from currantbarrow.logservice import ClassDefinition

__all__ = ["CLASS_COMMANDS"]

HEADINGS = ["class", "revision", "target ms", "changed", "by", "description"]
NAME = argument("name", "The class.")
WAIT = option("wait", None, "Wait until the change is in force on all entry processes.")
WAIT_S = option("wait-seconds", None, "How long to wait at most.", flag=False, default="11")
BY = option("by", None, "Who makes the change; the login name by default.", flag=False)
TARGET = option("target-ms", None, "The response that the class is to meet.", flag=False)
DESCRIPTION = option("description", None, "What the class is for.", flag=False)
REVISION = option(
    "revision", None, "The revision the change is based on; the present one by default.", flag=False
)


class _ClassChangeCommand(FleetCommand):
    """Change a class, and optionally wait until the change is in force."""

    async def change(
        self, client: HttpClient, based_on: int, definition: ClassDefinition | None
    ) -> int:
        """Submit a change, wait for it if --wait was given, and show its revision."""
        name = self.argument("name")
        body = {
            "name": name,
            "based_on": based_on,
            "definition": definition,
            "operator": self.option("by") or login_name(),
            # Deduplicates the change if the request reaches the entry twice.
            "change_id": uuid.uuid4().hex,
        }
        reply = await client.post(f"{self.operator_url}/classes", body)
        revision = int(reply["revision"])
        result: dict[str, Any] = {"name": name, "revision": revision, "in_force_on": None}
        if self.option("wait"):
            wait_s = self.float_option("wait-seconds", minimum=0.1)
            result["in_force_on"] = await wait_until_in_force(
                client, self.operator_url, name, revision, wait_s
            )
        self._show_result(result, removed=definition is None)
        return EXIT_OK

    def target_ms(self) -> float:
        """Return the value of --target-ms; raise OperatorError."""
        if self.option("target-ms") is None:
            raise OperatorError("--target-ms is missing", code="argument_invalid")
        return self.float_option("target-ms", minimum=0.001)

    async def history(self, client: HttpClient) -> list[ClassRow]:
        """Return the latest revisions of the class, oldest first."""
        return await fetch_class_history(client, self.operator_url, self.argument("name"))

    def _show_result(self, result: dict[str, Any], *, removed: bool) -> None:
        if self.as_json:
            self.show_json(result)
            return
        what = "removed by" if removed else "at"
        text = f"{result['name']}: {what} revision {result['revision']}"
        if result["in_force_on"] is not None:
            text = f"{text}, in force on {result['in_force_on']} entry processes"
        self.show(text)


class ClassCreateCommand(_ClassChangeCommand):
    """Create a class that does not exist yet."""

    name = "class create"
    description = "Create a class of work with its response target."
    arguments = [NAME]
    options = fleet_options(TARGET, DESCRIPTION, WAIT, WAIT_S, BY)

    async def run_with_client(self, client: HttpClient) -> int:
        """Create the class."""
        definition = ClassDefinition(self.target_ms(), self.option("description") or "")
        history = await self.history(client)
        if history and history[-1].target_ms is not None:
            raise OperatorError(
                f"{history[-1].name} exists at revision {history[-1].revision}",
                code="class_exists",
                hint="Change it with: currantbarrow class set",
            )
        return await self.change(client, history[-1].revision if history else 0, definition)


class ClassSetCommand(_ClassChangeCommand):
    """Change the target or description of a class."""

    name = "class set"
    description = "Change a class's response target or description."
    arguments = [NAME]
    options = fleet_options(TARGET, DESCRIPTION, REVISION, WAIT, WAIT_S, BY)

    async def run_with_client(self, client: HttpClient) -> int:
        """Change the class."""
        current = _require_class(self.argument("name"), await self.history(client))
        target_ms = current.target_ms or 0.0
        if self.option("target-ms") is not None:
            target_ms = self.target_ms()
        description = self.option("description")
        definition = ClassDefinition(
            target_ms, current.description if description is None else description
        )
        revision = self.int_option("revision")
        based_on = current.revision if revision is None else revision
        return await self.change(client, based_on, definition)


class ClassRemoveCommand(_ClassChangeCommand):
    """Remove a class."""

    name = "class remove"
    description = "Remove a class; jobs of it are refused from then on."
    arguments = [NAME]
    options = fleet_options(REVISION, WAIT, WAIT_S, BY)

    async def run_with_client(self, client: HttpClient) -> int:
        """Remove the class."""
        current = _require_class(self.argument("name"), await self.history(client))
        revision = self.int_option("revision")
        return await self.change(client, current.revision if revision is None else revision, None)


class ClassShowCommand(FleetCommand):
    """Show one class."""

    name = "class show"
    description = "Show a class as it is in force."
    arguments = [NAME]
    options = fleet_options()

    async def run_with_client(self, client: HttpClient) -> int:
        """Show the class."""
        name = self.argument("name")
        current = _require_class(name, await fetch_class_history(client, self.operator_url, name))
        _show_rows(self, [current], one=True)
        return EXIT_OK


class ClassListCommand(FleetCommand):
    """Show all classes."""

    name = "class list"
    description = "Show all classes in force."
    options = fleet_options()

    async def run_with_client(self, client: HttpClient) -> int:
        """Show the classes."""
        decoded = await client.get(f"{self.operator_url}/classes")
        _show_rows(self, msgspec.convert(decoded, list[ClassRow]))
        return EXIT_OK


class ClassHistoryCommand(FleetCommand):
    """Show the latest revisions of a class."""

    name = "class history"
    description = "Show the latest revisions of a class, oldest first."
    arguments = [NAME]
    options = fleet_options()

    async def run_with_client(self, client: HttpClient) -> int:
        """Show the revisions."""
        name = self.argument("name")
        history = await fetch_class_history(client, self.operator_url, name)
        if not history:
            raise _unknown_class_error(name)
        _show_rows(self, history)
        return EXIT_OK


CLASS_COMMANDS = [
    ClassCreateCommand,
    ClassSetCommand,
    ClassShowCommand,
    ClassListCommand,
    ClassHistoryCommand,
    ClassRemoveCommand,
]


def _show_rows(command: FleetCommand, rows: list[ClassRow], *, one: bool = False) -> None:
    if command.as_json:
        command.show_json(rows[0] if one else rows)
        return
    command.show(format_table(HEADINGS, [_cells(row) for row in rows]))


def _cells(row: ClassRow) -> list[object]:
    changed = datetime.datetime.fromtimestamp(row.at_ms / 1000, datetime.UTC)
    return [
        row.name,
        row.revision,
        "removed" if row.target_ms is None else row.target_ms,
        changed.strftime("%Y-%m-%d %H:%M:%SZ"),
        row.operator or "-",
        row.description,
    ]


def _require_class(name: str, history: list[ClassRow]) -> ClassRow:
    if not history or history[-1].target_ms is None:
        raise _unknown_class_error(name)
    return history[-1]


def _unknown_class_error(name: str) -> OperatorError:
    hint = "List the classes with: currantbarrow class list"
    return OperatorError(f"there is no class named {name}", code="class_unknown", hint=hint)
