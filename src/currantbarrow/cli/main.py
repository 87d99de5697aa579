"""Start the operators' command line."""

from __future__ import annotations

import sys

from cleo.application import Application
from cleo.exceptions import CleoError
from cleo.io.io import IO

from currantbarrow import __version__
from currantbarrow.cli.classes import CLASS_COMMANDS
from currantbarrow.cli.demo import DemoCommand
from currantbarrow.cli.errors import exit_code_of, wrap_error, write_error
from currantbarrow.cli.evacuations import EvacuationsCommand
from currantbarrow.cli.jobs import JOB_COMMANDS
from currantbarrow.cli.load import LoadCommand
from currantbarrow.cli.logs import LogsCommand
from currantbarrow.cli.losses import LossesCommand
from currantbarrow.cli.members import MembersCommand, RetireCommand, StatusCommand
from currantbarrow.cli.settings import SettingsCheckCommand
from currantbarrow.cli.timeline import TimelineCommand

__all__ = ["create_application", "main"]

OTHER_COMMANDS = [
    MembersCommand,
    RetireCommand,
    StatusCommand,
    TimelineCommand,
    LogsCommand,
    EvacuationsCommand,
    LossesCommand,
    SettingsCheckCommand,
    DemoCommand,
    LoadCommand,
]


class OperatorApplication(Application):
    """Report invalid arguments in the same form as all other errors."""

    def _run(self, io: IO) -> int:
        try:
            return super()._run(io)
        except CleoError as error:
            fault = wrap_error(error)
            write_error(io, fault)
            return exit_code_of(fault)


def create_application() -> Application:
    """Return the application with all commands."""
    application = OperatorApplication("currantbarrow", __version__)
    for command in [*CLASS_COMMANDS, *JOB_COMMANDS, *OTHER_COMMANDS]:
        application.add(command())
    return application


def main() -> None:
    """Run the program."""
    sys.exit(create_application().run())
