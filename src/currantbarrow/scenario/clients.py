"""Simulate callers: submit through a load balancer, and retry when a connection breaks."""

from __future__ import annotations

import asyncio

from currantbarrow.exceptions import CurrantbarrowError, JobConflict, JobInvalid
from currantbarrow.jobs import JobAnswer, JobRequest, JobStatus
from currantbarrow.scenario.oracle import Oracle
from currantbarrow.standins.fleet import EntryProcess, Fleet

__all__ = ["HUNG_UP", "Caller", "ConnectionLost"]

ATTEMPT_TIMEOUT_MS = 30_000.0
RETRY_DELAY_MS = 200.0
HUNG_UP = "hung_up"


class ConnectionLost(CurrantbarrowError):
    """Signal that the entry ended, or an attempt timed out, before the answer."""

    code = "connection_lost"


class Caller:
    """Submit one job until it is answered or the caller's time-out expires."""

    __slots__ = ("_fleet", "_oracle", "answer", "caller_timeout_ms", "entry", "error", "request")

    def __init__(
        self,
        fleet: Fleet,
        oracle: Oracle,
        request: JobRequest,
        entry: str,
        caller_timeout_ms: float,
    ) -> None:
        self.request = request
        self.entry = entry
        self.caller_timeout_ms = caller_timeout_ms
        self.answer: JobAnswer | None = None
        self.error = ""
        self._fleet = fleet
        self._oracle = oracle

    @property
    def outcome(self) -> str:
        """Return the status of the answer, or the code of the last error."""
        return self.answer.status if self.answer is not None else self.error

    async def run(self) -> None:
        """Submit, and retry through other entries until the caller's time-out."""
        started_ms = self._fleet.clock.monotonic_ms()
        while True:
            entry = self._pick_entry()
            if entry is not None:
                wait_ms = await self._attempt(entry)
                if wait_ms is None:
                    return
            else:
                self.error, wait_ms = ConnectionLost.code, RETRY_DELAY_MS
            if self._fleet.clock.monotonic_ms() + wait_ms - started_ms > self.caller_timeout_ms:
                return
            await self._fleet.clock.sleep_ms(wait_ms)
            self.entry = ""

    def _pick_entry(self) -> EntryProcess | None:
        """Return the chosen entry if it runs, else a ready one, as a load balancer does."""
        entries = self._fleet.entries
        if self.entry in entries:
            return entries[self.entry]
        ready = [name for name, entry in sorted(entries.items()) if not entry.node.draining]
        names = ready or sorted(entries)
        return entries[self._fleet.rng.choice(names)] if names else None

    async def _attempt(self, entry: EntryProcess) -> float | None:
        """Submit once; return the delay before the next attempt, None if there is none."""
        self._oracle.record_submission(self.request, self._now_ms())
        try:
            answer = await self._await_answer(entry)
        except ConnectionLost:
            self._oracle.record_connection_lost(self.request, self._now_ms())
            self.error = ConnectionLost.code
            return RETRY_DELAY_MS
        except CurrantbarrowError as error:
            self._oracle.record_error(self.request, error.code, self._now_ms())
            self.error = error.code
            return None if isinstance(error, JobInvalid | JobConflict) else RETRY_DELAY_MS
        except asyncio.CancelledError:
            self._oracle.record_hang_up(self.request)
            self.error = HUNG_UP
            raise
        self._oracle.record_answer(self.request, answer, self._now_ms())
        self.answer = answer
        if answer.status is JobStatus.REFUSED and answer.retry_after_ms:
            return float(answer.retry_after_ms)
        return None

    async def _await_answer(self, entry: EntryProcess) -> JobAnswer:
        submission = asyncio.create_task(self._submit(entry))
        entry_ended = asyncio.create_task(entry.ended.wait())
        try:
            await asyncio.wait(
                [submission, entry_ended],
                timeout=ATTEMPT_TIMEOUT_MS / 1000,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not submission.done() or submission.cancelled():
                raise ConnectionLost
            return submission.result()
        finally:
            submission.cancel()
            entry_ended.cancel()

    async def _submit(self, entry: EntryProcess) -> JobAnswer:
        # A paused process neither accepts a request nor sends an answer.
        await entry.clock.running.wait()
        try:
            answer = await entry.node.submit(self.request)
        except CurrantbarrowError:
            await entry.clock.running.wait()
            raise
        await entry.clock.running.wait()
        return answer

    def _now_ms(self) -> float:
        return self._fleet.clock.monotonic_ms()
