"""Report errors to operators with a code, a hint and an exit code."""

from __future__ import annotations

import asyncio

from cleo.exceptions import CleoError
from cleo.io.io import IO
from cleo.io.outputs.output import Type

from currantbarrow.exceptions import CurrantbarrowError, OperatorError

__all__ = [
    "EXIT_ARGUMENTS",
    "EXIT_FAILED",
    "EXIT_OK",
    "EXIT_UNREACHABLE",
    "EXIT_WAIT_ENDED",
    "wrap_error",
    "exit_code_of",
    "write_error",
]

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_ARGUMENTS = 2
EXIT_UNREACHABLE = 3
EXIT_WAIT_ENDED = 4
EXIT_CODES = {
    "argument_invalid": EXIT_ARGUMENTS,
    "settings_invalid": EXIT_ARGUMENTS,
    "address_unavailable": EXIT_ARGUMENTS,
    "unreachable": EXIT_UNREACHABLE,
    "timeout": EXIT_UNREACHABLE,
    "wait_ended": EXIT_WAIT_ENDED,
}


def exit_code_of(error: CurrantbarrowError) -> int:
    """Return the exit code for an error."""
    return EXIT_CODES.get(error.code, EXIT_FAILED)


def wrap_error(error: Exception) -> CurrantbarrowError:
    """Convert any exception to a CurrantbarrowError with a code."""
    if isinstance(error, CurrantbarrowError):
        return error
    if isinstance(error, ExceptionGroup):
        return wrap_error(error.exceptions[0])
    if isinstance(error, CleoError):
        hint = "Run the command with --help to see what it takes."
        return OperatorError(str(error), code="argument_invalid", hint=hint)
    if isinstance(error, asyncio.TimeoutError):
        return OperatorError("timed out", code="timeout")
    if isinstance(error, OSError):
        return OperatorError(str(error), code="os_error")
    return OperatorError(
        f"{type(error).__name__}: {error}", code="internal", hint="This is a bug in the program."
    )


def write_error(io: IO, error: CurrantbarrowError) -> None:
    """Write an error's code, message and hint to stderr."""
    io.write_error_line(f"error: {error.code}: {error}", type=Type.RAW)
    if error.hint:
        io.write_error_line(f"hint: {error.hint}", type=Type.RAW)
