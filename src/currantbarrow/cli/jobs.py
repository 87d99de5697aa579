"""Submit, show and cancel jobs."""

from __future__ import annotations

from pathlib import Path
from typing import Any
from urllib.parse import quote

import msgspec
import uuid6
from cleo.helpers import argument, option

from currantbarrow.cli.client import HttpClient
from currantbarrow.cli.command import FleetCommand, fleet_options
from currantbarrow.cli.errors import EXIT_FAILED, EXIT_OK
from currantbarrow.cli.tables import format_table
from currantbarrow.exceptions import OperatorError

__all__ = ["JOB_COMMANDS"]

KEY = argument("key", "The job's key.")
CUSTOMER = option("customer", None, "The customer that the job belongs to.", flag=False)
CREATED = option(
    "created-at-ms", None, "The key's creation time, unless the key is a UUIDv7.", flag=False
)
MAX_VALUE_CHARS = 60


class _JobCommand(FleetCommand):
    """Run a command on one job, which its key and customer identify."""

    def job_params(self) -> dict[str, str]:
        """Return the query parameters that identify the job with its key; raise OperatorError."""
        params = {"customer": self.required("customer")}
        created_at_ms = self.int_option("created-at-ms")
        if created_at_ms is not None:
            params["created_at_ms"] = str(created_at_ms)
        return params

    def job_url(self) -> str:
        """Return the URL of the job with the given key."""
        return f"{self.entry_url}/v1/jobs/{quote(self.argument('key'), safe='')}"

    def required(self, name: str) -> str:
        """Return a required option; raise OperatorError."""
        given = self.option(name)
        if not given:
            raise OperatorError(f"--{name} is missing", code="argument_invalid")
        return str(given)

    def show_answer(self, body: dict[str, Any]) -> int:
        """Show a job's answer and return the exit code for its status."""
        if self.as_json:
            self.show_json(body)
        else:
            self._show_tables(body)
        return EXIT_FAILED if body["status"] in ("failed", "refused") else EXIT_OK

    def _show_tables(self, body: dict[str, Any]) -> None:
        reason = ": ".join(part for part in (body.get("code"), body.get("reason")) if part)
        self.show(f"{body['key']}  {body['status']}{f'  {reason}' if reason else ''}")
        tasks = body.get("tasks", [])
        if tasks:
            rows = [
                [index, task["state"], _truncate_value(task.get("value")), task.get("error", "")]
                for index, task in enumerate(tasks)
            ]
            self.show(format_table(["task", "state", "value", "error"], rows))


class JobSubmitCommand(_JobCommand):
    """Submit a job and wait for its answer."""

    name = "job submit"
    description = "Submit a job and show its whole answer."
    options = fleet_options(
        CUSTOMER,
        CREATED,
        option("class", None, "The class of the job.", flag=False),
        option("key", None, "The job's key; a new UUIDv7 by default.", flag=False),
        option(
            "task", None, "A task's payload as JSON; may be repeated.", flag=False, multiple=True
        ),
        option("file", None, "A JSON file with the whole submission.", flag=False),
        option("no-wait", None, "Return as soon as the job is accepted."),
    )

    async def run_with_client(self, client: HttpClient) -> int:
        """Submit the job."""
        body = self._from_file() if self.option("file") else self._from_options()
        if self.option("no-wait"):
            body["wait"] = False
        if not self.as_json:
            self.print_stderr(f"submitting {body.get('key', 'a job')}")
        return self.show_answer(await client.post(f"{self.entry_url}/v1/jobs", body))

    def _from_options(self) -> dict[str, Any]:
        payloads = self.option("task")
        if not payloads:
            raise OperatorError("--task or --file is missing", code="argument_invalid")
        body: dict[str, Any] = {
            "key": self.option("key") or str(uuid6.uuid7()),
            "customer": self.required("customer"),
            "class": self.required("class"),
            "tasks": [{"payload": _parse_json(text, "--task")} for text in payloads],
        }
        created_at_ms = self.int_option("created-at-ms")
        if created_at_ms is not None:
            body["created_at_ms"] = created_at_ms
        return body

    def _from_file(self) -> dict[str, Any]:
        path = Path(self.option("file"))
        try:
            text = path.read_text()
        except (OSError, UnicodeDecodeError) as error:
            raise OperatorError(f"--file: {path}: {error}", code="argument_invalid") from error
        body = _parse_json(text, "--file")
        if not isinstance(body, dict):
            raise OperatorError("--file: not a JSON object", code="argument_invalid")
        return body


class JobShowCommand(_JobCommand):
    """Show the answer of a job."""

    name = "job show"
    description = "Show a job's answer, or that it is open."
    arguments = [KEY]
    options = fleet_options(CUSTOMER, CREATED)

    async def run_with_client(self, client: HttpClient) -> int:
        """Show the job."""
        return self.show_answer(await client.get(self.job_url(), self.job_params()))


class JobCancelCommand(_JobCommand):
    """Cancel a job."""

    name = "job cancel"
    description = "Cancel a job; its waiting tasks never start, running ones are stopped."
    arguments = [KEY]
    options = fleet_options(CUSTOMER, CREATED)

    async def run_with_client(self, client: HttpClient) -> int:
        """Cancel the job."""
        reply = await client.send("DELETE", self.job_url(), params=self.job_params())
        self.show_answer(reply.body)
        return EXIT_OK


JOB_COMMANDS = [JobSubmitCommand, JobShowCommand, JobCancelCommand]


def _parse_json(text: str, name: str) -> Any:
    try:
        return msgspec.json.decode(text)
    except (msgspec.DecodeError, RecursionError) as error:
        raise OperatorError(f"{name}: not JSON: {error}", code="argument_invalid") from error


def _truncate_value(value: Any) -> str:
    text = msgspec.json.encode(value).decode()
    return text if len(text) <= MAX_VALUE_CHARS else f"{text[:MAX_VALUE_CHARS]}..."
