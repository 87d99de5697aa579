"""Hold the lease of an owner, confirmed by a majority of the panel."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from currantbarrow.exceptions import LinkError
from currantbarrow.protocol import Confirm, Confirmed, RpcClient
from currantbarrow.types import Clock, Metrics

__all__ = ["Lease", "majority"]

RENEW_INTERVAL_MS = 1000.0
# A lapse this long is no hiccup, so callers are told to come back.
LOSS_PATIENCE_MS = 1000.0
CONFIRM_TIMEOUT_MS = 500.0


def majority(count: int) -> int:
    """Return how many members of a panel make a majority."""
    return count // 2 + 1


class Lease:
    """Renew a lease at the panel of the newest version known."""

    __slots__ = (
        "_clock",
        "_duration_ms",
        "_first",
        "_metrics",
        "_owner",
        "_panel",
        "_until_ms",
        "_was_held",
    )

    def __init__(
        self,
        owner: str,
        duration_ms: float,
        *,
        clock: Clock,
        metrics: Metrics,
        panel: Callable[[], tuple[int, Sequence[RpcClient | None]]],
    ) -> None:
        self._owner = owner
        self._duration_ms = duration_ms
        self._clock = clock
        self._metrics = metrics
        self._panel = panel
        self._until_ms = 0.0
        self._was_held = False
        self._first = 0

    def held(self) -> bool:
        """Tell whether starts are allowed now, by this process's own clock."""
        return self._clock.monotonic_ms() < self._until_ms

    async def run(self, on_gain: Callable[[], None], on_loss: Callable[[], None]) -> None:
        """Renew until cancelled; call back when the lease is gained, and while it is lost."""
        while True:
            await self.renew()
            if self.held() and not self._was_held:
                on_gain()
            if self._clock.monotonic_ms() > self._until_ms + LOSS_PATIENCE_MS:
                on_loss()
            self._was_held = self.held()
            self._metrics.gauge("entry.lease_held", float(self._was_held))
            await self._clock.sleep_ms(RENEW_INTERVAL_MS)

    async def renew(self) -> None:
        """Ask a majority of the panel, and the rest when that is not enough."""
        version, clients = self._panel()
        if not clients:
            return
        # The lease counts from before the first question was sent.
        asked_ms = self._clock.monotonic_ms()
        wanted = majority(len(clients))
        first = self._first % len(clients)
        order = [*clients[first:], *clients[:first]]
        confirmed = await self._ask_all(order[:wanted], version)
        if confirmed < wanted:
            # The next renewal begins with others, so that a silent member costs one delay only.
            self._first += 1
            confirmed += await self._ask_all(order[wanted:], version)
        if confirmed >= wanted:
            self._until_ms = max(self._until_ms, asked_ms + self._duration_ms)
        else:
            self._metrics.incr("entry.lease_not_confirmed")

    async def _ask_all(self, clients: Sequence[RpcClient | None], version: int) -> int:
        answers = await asyncio.gather(*(self._ask(rpc, version) for rpc in clients))
        return sum(answers)

    async def _ask(self, rpc: RpcClient | None, version: int) -> bool:
        if rpc is None:
            return False
        try:
            reply = await rpc.call(
                lambda call_id: Confirm(call_id, version, self._owner),
                Confirmed,
                CONFIRM_TIMEOUT_MS,
            )
        except LinkError:
            return False
        return reply.accepted
