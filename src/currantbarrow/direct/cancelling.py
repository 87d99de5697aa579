"""Repeat the cancelling of a job at the other processes until it is confirmed."""

from __future__ import annotations

import asyncio
from typing import Protocol

from currantbarrow.background import BackgroundTasks
from currantbarrow.direct.fleet import SideFleet
from currantbarrow.direct.history import RETENTION_MS, JobHistory
from currantbarrow.direct.peers import EntryPeers
from currantbarrow.direct.standings import CancelOutcome, KnownJob, cancel_outcome
from currantbarrow.observe import logger
from currantbarrow.protocol.direct import Standing
from currantbarrow.types import Clock, Metrics

__all__ = ["AwaitedProcesses", "JobCancelling"]

# Callers expect an acknowledgement within 4 s. Silent links are replaced within 1.8 s.
ANSWER_LIMIT_MS = 3300.0
REPEAT_MIN_MS = 50.0
REPEAT_MAX_MS = 1000.0


class AwaitedProcesses(Protocol):
    """List the processes that may have a job, whether or not they are linked."""

    def awaited_entries(self) -> set[str]:
        """Return the addresses of the other entries."""

    def awaited_sides(self) -> set[str]:
        """Return the addresses of the side processes."""


class _Progress:
    """Track which processes have confirmed a cancelling."""

    __slots__ = ("_known", "_processes", "answers", "sides")

    def __init__(self, known: KnownJob, processes: AwaitedProcesses) -> None:
        self._known = known
        self._processes = processes
        # The standing of the job before, by the address of the peer.
        self.answers: dict[str, Standing] = {}
        self.sides: set[str] = set()

    def silent_entries(self) -> set[str]:
        return self._processes.awaited_entries() - self.answers.keys()

    def silent_sides(self) -> set[str]:
        return self._processes.awaited_sides() - self.sides

    def outcome(self) -> CancelOutcome:
        return cancel_outcome(
            self._known,
            self.answers.values(),
            peers_answered=not self.silent_entries(),
            # Without any side process, nothing shows that none is out of reach.
            sides_confirmed=bool(self.sides) and not self.silent_sides(),
        )


class JobCancelling:
    """Cancel jobs at the peers and, if some do not answer, at the side processes."""

    __slots__ = (
        "_background",
        "_clock",
        "_fleet",
        "_history",
        "_metrics",
        "_peers",
        "_processes",
        "_running",
    )

    def __init__(
        self,
        history: JobHistory,
        peers: EntryPeers,
        fleet: SideFleet,
        processes: AwaitedProcesses,
        *,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._history = history
        self._peers = peers
        self._fleet = fleet
        self._processes = processes
        self._clock = clock
        self._metrics = metrics
        self._background = BackgroundTasks(metrics)
        self._running: dict[str, asyncio.Task[CancelOutcome]] = {}

    async def cancel(self, job: str) -> CancelOutcome:
        """Cancel a job at the other processes, and return what is known of it in time.

        A cancelling that is not confirmed by then is repeated after the answer.
        """
        task = self._running.get(job)
        if task is None:
            task = self._background.spawn(self._repeat(job))
            self._running[job] = task
            task.add_done_callback(lambda _: self._running.pop(job, None))
        done, _ = await asyncio.wait({task}, timeout=ANSWER_LIMIT_MS / 1000)
        outcome = task.result() if done else CancelOutcome.UNCONFIRMED
        if outcome is CancelOutcome.UNCONFIRMED:
            self._metrics.incr("entry.cancelling_unconfirmed")
        return outcome

    def stop(self) -> None:
        """Cancel the calls that are not answered yet."""
        self._background.cancel_all()

    async def _repeat(self, job: str) -> CancelOutcome:
        """Ask the processes that have not confirmed until the outcome is known."""
        progress = _Progress(self._history.known(job), self._processes)
        until_ms = self._clock.monotonic_ms() + RETENTION_MS
        delay_ms = REPEAT_MIN_MS
        progress.answers |= await self._peers.stop_job(job)
        while (outcome := progress.outcome()) is CancelOutcome.UNCONFIRMED:
            progress.sides |= await self._fleet.cancel_job(job, progress.silent_sides())
            if (outcome := progress.outcome()) is not CancelOutcome.UNCONFIRMED:
                break
            if self._clock.monotonic_ms() > until_ms:
                break
            await self._clock.sleep_ms(delay_ms)
            delay_ms = min(2 * delay_ms, REPEAT_MAX_MS)
            progress.answers |= await self._peers.stop_job(job, progress.silent_entries())
        logger.info(
            "job cancelled at other processes",
            extra={
                "job": job,
                "outcome": outcome.value,
                "entries": len(progress.answers),
                "sides": len(progress.sides),
                "silent_entries": " ".join(sorted(progress.silent_entries())),
            },
        )
        return outcome
