"""Run the operators' command line."""

from __future__ import annotations

import sys

from cleo.application import Application

from currantbarrow import __version__
from currantbarrow.cli.demo import DemoCommand

__all__ = ["create_application", "main"]


def create_application() -> Application:
    """Return the application with all commands."""
    application = Application("currantbarrow", __version__)
    application.add(DemoCommand())
    return application


def main() -> None:
    """Run the program."""
    sys.exit(create_application().run())
