"""Treat unexpected errors of commands to a worker as commands without an answer."""

from __future__ import annotations

from currantbarrow.direct.worker import (
    PollResult,
    RunName,
    RunSpec,
    StartAnswer,
    WorkerControl,
)
from currantbarrow.exceptions import UpstreamError, WorkerSilent
from currantbarrow.observe import logger
from currantbarrow.types import Metrics

__all__ = ["GuardedControl"]


class GuardedControl:
    """Send commands to a worker; raise WorkerSilent for any error that is not an UpstreamError.

    The command may have been carried out, so the run has to be confirmed or stopped. An error that
    only ended the command's task would leave the run and its resources reserved for ever.
    """

    __slots__ = ("_control", "_metrics")

    def __init__(self, control: WorkerControl, metrics: Metrics) -> None:
        self._control = control
        self._metrics = metrics

    async def start(
        self, worker: str, run: RunSpec, lease_until_ms: float, token: int, timeout_ms: float
    ) -> StartAnswer:
        """Start a run."""
        try:
            return await self._control.start(worker, run, lease_until_ms, token, timeout_ms)
        except UpstreamError:
            raise
        except Exception as error:
            raise self._record("start", error) from error

    async def stop(self, worker: str, run: RunName, token: int, timeout_ms: float) -> bool:
        """Stop a run."""
        try:
            return await self._control.stop(worker, run, token, timeout_ms)
        except UpstreamError:
            raise
        except Exception as error:
            raise self._record("stop", error) from error

    async def poll(
        self,
        worker: str,
        token: int,
        *,
        acknowledged_end: int,
        lease_until_ms: float | None,
        wait_ms: float,
        timeout_ms: float,
    ) -> PollResult | None:
        """Return current runs and ends."""
        try:
            return await self._control.poll(
                worker,
                token,
                acknowledged_end=acknowledged_end,
                lease_until_ms=lease_until_ms,
                wait_ms=wait_ms,
                timeout_ms=timeout_ms,
            )
        except UpstreamError:
            raise
        except Exception as error:
            raise self._record("poll", error) from error

    def _record(self, command: str, error: Exception) -> WorkerSilent:
        self._metrics.incr("side.command_failed")
        logger.error(
            "command to worker failed unexpectedly", extra={"command": command}, exc_info=error
        )
        return WorkerSilent(f"{command} failed unexpectedly: {error!r}")
