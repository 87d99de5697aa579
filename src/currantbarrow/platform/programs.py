"""Start the programs that the platform runs on its hosts from the command line."""

from __future__ import annotations

import sys
from collections.abc import Awaitable, Callable

import uvloop

from currantbarrow.exceptions import CurrantbarrowError
from currantbarrow.observe import configure_logging
from currantbarrow.platform.settings import ProcessSettings, load_process_settings
from currantbarrow.process import new_incarnation, tune_garbage_collector

__all__ = ["main"]

Program = Callable[[ProcessSettings, str], Awaitable[None]]


def _load_program(role: str) -> Program | None:
    """Import only the modules of a role, since start-up time is a large part of a recovery."""
    if role == "entry":
        from currantbarrow.platform.entry_program import run_entry

        return run_entry
    if role == "side":
        from currantbarrow.platform.side_program import run_side

        return run_side
    return None


async def _run(program: Program, settings: ProcessSettings) -> None:
    tune_garbage_collector()
    await program(settings, new_incarnation(settings.name))


def main() -> int:
    """Run the program named by the first argument and return its exit status."""
    program = _load_program(sys.argv[1] if len(sys.argv) > 1 else "")
    if program is None:
        print(f"usage: {sys.argv[0]} entry|side", file=sys.stderr)
        return 2
    try:
        settings = load_process_settings()
        configure_logging(settings.name)
        uvloop.run(_run(program, settings))
    except CurrantbarrowError as error:
        print(f"{error.code}: {error}", file=sys.stderr)
        return 2
    return 0
