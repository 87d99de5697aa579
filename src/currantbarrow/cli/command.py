"""Define the base classes of all commands: shared options, output and error handling."""

from __future__ import annotations

import asyncio
import getpass
import math
import os
from collections.abc import Coroutine
from pathlib import Path
from typing import Any, TypeVar

import msgspec
import uvloop
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option
from cleo.io.outputs.output import Type

from currantbarrow.cli.client import HttpClient
from currantbarrow.cli.errors import exit_code_of, wrap_error, write_error
from currantbarrow.exceptions import OperatorError
from currantbarrow.settings import OperatorSettings, load_settings

__all__ = ["FleetCommand", "LocalCommand", "fleet_options", "login_name"]

SETTINGS_VARIABLE = "CURRANTBARROW_SETTINGS"
DEFAULT_SETTINGS = OperatorSettings("http://127.0.0.1:7101", "http://127.0.0.1:7102")
FLEET_OPTIONS = [
    option("json", None, "Print JSON instead of a table."),
    option("settings", None, f"The operator's settings, or ${SETTINGS_VARIABLE}.", flag=False),
    option("operator", None, "The operator URL of an entry process.", flag=False),
    option("entry", None, "The callers' URL of an entry process.", flag=False),
    option("timeout", None, "Seconds to wait for each answer.", flag=False, default="10"),
]

T = TypeVar("T")


class LocalCommand(Command):
    """Run a command, and report errors without a traceback."""

    def handle(self) -> int:
        """Run the command, report any error and return the exit code."""
        try:
            return self.run_command()
        except Exception as error:
            fault = wrap_error(error)
            write_error(self.io, fault)
            return exit_code_of(fault)

    def run_command(self) -> int:
        """Run the command and return the exit code; raise any error."""
        raise NotImplementedError

    def show(self, text: str) -> None:
        """Print text to stdout without interpreting style tags in it."""
        self.io.write_line(text, type=Type.RAW)

    def show_json(self, data: Any) -> None:
        """Print data to stdout as formatted JSON."""
        self.show(msgspec.json.format(msgspec.json.encode(data)).decode())

    def print_stderr(self, text: str) -> None:
        """Print progress or a warning to stderr."""
        self.io.write_error_line(text, type=Type.RAW)

    def float_option(self, name: str, *, minimum: float = 0.0) -> float:
        """Return an option as a finite number of at least minimum; raise OperatorError."""
        given = str(self.option(name))
        try:
            value = float(given)
        except ValueError:
            value = math.nan
        if not math.isfinite(value) or value < minimum:
            message = f"--{name}: a number from {minimum:g} on, not {given}"
            raise OperatorError(message, code="argument_invalid")
        return value

    def int_option(self, name: str) -> int | None:
        """Return an option as a non-negative integer, None if not given; raise OperatorError."""
        given = self.option(name)
        if given is None:
            return None
        if not str(given).isascii() or not str(given).isdigit():
            message = f"--{name}: a whole number, not {given}"
            raise OperatorError(message, code="argument_invalid")
        return int(given)

    @staticmethod
    def run_async(coroutine: Coroutine[Any, Any, T]) -> T:
        """Run a coroutine on a new event loop and return its result."""
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(coroutine)


class FleetCommand(LocalCommand):
    """Run a command that calls the processes of a fleet."""

    def run_command(self) -> int:
        """Run the command with an HTTP client."""
        return self.run_async(self._run_in_session())

    async def run_with_client(self, client: HttpClient) -> int:
        """Run the command with an open client and return the exit code."""
        raise NotImplementedError

    @property
    def as_json(self) -> bool:
        """Return whether --json was given."""
        return bool(self.option("json"))

    @property
    def entry_url(self) -> str:
        """Return the callers' URL of an entry process."""
        return str(self.option("entry") or self._settings().entry_url).rstrip("/")

    @property
    def operator_url(self) -> str:
        """Return the operator URL of an entry process."""
        return str(self.option("operator") or self._settings().operator_url).rstrip("/")

    async def _run_in_session(self) -> int:
        async with HttpClient(self.float_option("timeout", minimum=0.001)) as client:
            return await self.run_with_client(client)

    def _settings(self) -> OperatorSettings:
        path = self.option("settings") or os.environ.get(SETTINGS_VARIABLE)
        return load_settings(Path(path), OperatorSettings) if path else DEFAULT_SETTINGS


def fleet_options(*own: Option) -> list[Option]:
    """Return a command's own options followed by the options of all fleet commands."""
    return [*own, *FLEET_OPTIONS]


def login_name() -> str:
    """Return the login name of the current user, empty if the system has none."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        # A container may run under a user id without an entry in the password database.
        return ""
