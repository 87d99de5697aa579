"""Run a daemon: load its settings, run the event loop, handle signals, set the exit code."""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import TypeVar

import msgspec
import uvloop

from currantbarrow.exceptions import CurrantbarrowError, DrainCutShort
from currantbarrow.observe import DEBUG_TOPICS, configure_logging, logger
from currantbarrow.process import new_incarnation, tune_garbage_collector
from currantbarrow.settings import load_settings

__all__ = ["StopSignal", "new_incarnation", "run_daemon"]

EXIT_OK = 0
EXIT_ERROR = 1
EXIT_SETTINGS = 2

SettingsT = TypeVar("SettingsT", bound=msgspec.Struct)


class StopSignal:
    """Set drain on the first SIGTERM or SIGINT, and end on the second."""

    def __init__(self) -> None:
        self.drain = asyncio.Event()
        self.end = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_signal)

    async def wait_for_drain(self, drain: Awaitable[None], limit_ms: float) -> None:
        """Wait for a drain; raise DrainCutShort on a second signal or after limit_ms."""
        draining = asyncio.ensure_future(drain)
        ending = asyncio.ensure_future(self.end.wait())
        done, _ = await asyncio.wait(
            [draining, ending], timeout=limit_ms / 1000, return_when=asyncio.FIRST_COMPLETED
        )
        ending.cancel()
        if draining in done:
            draining.result()
            logger.info("drained")
            return
        draining.cancel()
        raise DrainCutShort("ended before it had drained")

    def _on_signal(self) -> None:
        if self.drain.is_set():
            self.end.set()
        self.drain.set()


def run_daemon(
    program: str,
    schema: type[SettingsT],
    serve: Callable[[SettingsT], Awaitable[None]],
    argv: list[str] | None = None,
) -> int:
    """Load the settings, run a daemon until it is stopped, and return the exit code."""
    options = _parse_arguments(program, argv)
    try:
        settings = load_settings(options.settings, schema)
    except CurrantbarrowError as error:
        _print_error(program, error)
        return EXIT_SETTINGS
    if options.check:
        print(f"{options.settings}: no mistakes")
        return EXIT_OK
    configure_logging(program, tuple(options.debug))
    try:
        uvloop.run(_run(serve, settings))
    except CurrantbarrowError as error:
        _print_error(program, error)
        return EXIT_ERROR
    except OSError as error:
        print(f"{program}: os_error: {error}", file=sys.stderr)
        return EXIT_ERROR
    return EXIT_OK


async def _run(serve: Callable[[SettingsT], Awaitable[None]], settings: SettingsT) -> None:
    tune_garbage_collector()
    await serve(settings)


def _print_error(program: str, error: CurrantbarrowError) -> None:
    print(f"{program}: {error.code}: {error}", file=sys.stderr)
    if error.hint:
        print(f"hint: {error.hint}", file=sys.stderr)


def _parse_arguments(program: str, argv: list[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog=program)
    parser.add_argument("--settings", type=Path, required=True, help="the YAML settings file")
    parser.add_argument("--check", action="store_true", help="only check the settings")
    parser.add_argument(
        "--debug",
        action="append",
        default=[],
        choices=DEBUG_TOPICS,
        help="log a topic in detail; may be given more than once",
    )
    return parser.parse_args(argv)
