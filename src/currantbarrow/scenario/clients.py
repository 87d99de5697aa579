"""Be the callers: submit jobs through a balancer, come back when a connection breaks."""

from __future__ import annotations

import asyncio

from currantbarrow.exceptions import CurrantbarrowError, JobConflict, JobInvalid
from currantbarrow.jobs import JobAnswer, JobRequest, JobStatus
from currantbarrow.scenario.oracle import Oracle
from currantbarrow.standins.fleet import EntryProcess, Fleet

__all__ = ["HUNG_UP", "Caller", "ConnectionLost"]

TRY_TIMEOUT_MS = 30_000.0
COME_BACK_MS = 200.0
HUNG_UP = "hung_up"


class ConnectionLost(CurrantbarrowError):
    """Report that an entry went away, or the caller did, before the answer."""

    code = "connection_lost"


class Caller:
    """Submit one job until it is answered, as a client with patience does."""

    __slots__ = ("_fleet", "_oracle", "answer", "entry", "error", "patience_ms", "request")

    def __init__(
        self, fleet: Fleet, oracle: Oracle, request: JobRequest, entry: str, patience_ms: float
    ) -> None:
        self.request = request
        self.entry = entry
        self.patience_ms = patience_ms
        self.answer: JobAnswer | None = None
        self.error = ""
        self._fleet = fleet
        self._oracle = oracle

    @property
    def outcome(self) -> str:
        """Return the status of the answer, or the code of the last error."""
        return self.answer.status if self.answer is not None else self.error

    async def run(self) -> None:
        """Submit, and submit again through another entry while there is patience."""
        began_ms = self._fleet.clock.monotonic_ms()
        while True:
            entry = self._pick()
            if entry is not None:
                wait_ms = await self._try(entry)
                if wait_ms is None:
                    return
            else:
                self.error, wait_ms = ConnectionLost.code, COME_BACK_MS
            if self._fleet.clock.monotonic_ms() + wait_ms - began_ms > self.patience_ms:
                return
            await self._fleet.clock.sleep_ms(wait_ms)
            self.entry = ""

    def _pick(self) -> EntryProcess | None:
        """Return the wanted entry, else one that is ready, as a balancer does."""
        entries = self._fleet.entries
        if self.entry in entries:
            return entries[self.entry]
        ready = [name for name, entry in sorted(entries.items()) if not entry.node.draining]
        names = ready or sorted(entries)
        return entries[self._fleet.rng.choice(names)] if names else None

    async def _try(self, entry: EntryProcess) -> float | None:
        """Submit once; return how long to wait before the next time, None at the end."""
        self._oracle.submitted(self.request, self._now_ms())
        try:
            answer = await self._ask(entry)
        except ConnectionLost:
            self._oracle.lost(self.request, self._now_ms())
            self.error = ConnectionLost.code
            return COME_BACK_MS
        except CurrantbarrowError as error:
            self._oracle.failed(self.request, error.code, self._now_ms())
            self.error = error.code
            return None if isinstance(error, JobInvalid | JobConflict) else COME_BACK_MS
        except asyncio.CancelledError:
            self._oracle.hung_up(self.request)
            self.error = HUNG_UP
            raise
        self._oracle.answered(self.request, answer, self._now_ms())
        self.answer = answer
        if answer.status is JobStatus.REFUSED and answer.retry_after_ms:
            return float(answer.retry_after_ms)
        return None

    async def _ask(self, entry: EntryProcess) -> JobAnswer:
        asking = asyncio.create_task(self._submit(entry))
        ending = asyncio.create_task(entry.ended.wait())
        try:
            await asyncio.wait(
                [asking, ending],
                timeout=TRY_TIMEOUT_MS / 1000,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not asking.done() or asking.cancelled():
                raise ConnectionLost
            return asking.result()
        finally:
            asking.cancel()
            ending.cancel()

    async def _submit(self, entry: EntryProcess) -> JobAnswer:
        # A paused process neither takes a request nor sends an answer.
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
