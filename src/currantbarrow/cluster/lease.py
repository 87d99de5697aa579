"""Lease that an owner needs to start work, confirmed by a majority of the panel."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from currantbarrow.exceptions import LinkError
from currantbarrow.protocol import Confirm, Confirmed, RpcClient
from currantbarrow.types import Clock, Metrics

__all__ = ["Lease", "majority"]

RENEW_INTERVAL_MS = 1000.0
# How long a lease may be expired before the calls of waiting jobs fail, so that callers retry.
LOSS_GRACE_MS = 1000.0
CONFIRM_TIMEOUT_MS = 500.0


def majority(count: int) -> int:
    """Return the number of members that form a majority."""
    return count // 2 + 1


class Lease:
    """Renew an owner's lease with the panel of the newest known assignment version.

    The owner may start tasks while it holds the lease. The `panel` callback returns the version
    and a client for each panel member, None for a member without an open link.
    """

    __slots__ = (
        "_clock",
        "_duration_ms",
        "_first_index",
        "_held_until_ms",
        "_metrics",
        "_owner",
        "_panel",
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
        self._held_until_ms = 0.0
        self._was_held = False
        self._first_index = 0

    def is_held(self) -> bool:
        """Return whether starts are allowed now, by this process's monotonic clock."""
        return self._clock.monotonic_ms() < self._held_until_ms

    async def run(self, on_acquired: Callable[[], None], on_lost: Callable[[], None]) -> None:
        """Renew the lease until cancelled, and report when it is acquired or lost.

        on_acquired is called each time that the lease is acquired. on_lost is called after every
        renewal that leaves the lease expired for longer than LOSS_GRACE_MS.
        """
        while True:
            await self.renew()
            if self.is_held() and not self._was_held:
                on_acquired()
            if self._clock.monotonic_ms() > self._held_until_ms + LOSS_GRACE_MS:
                on_lost()
            self._was_held = self.is_held()
            self._metrics.gauge("entry.lease_held", float(self._was_held))
            await self._clock.sleep_ms(RENEW_INTERVAL_MS)

    async def renew(self) -> None:
        """Request confirmations from a majority of the panel, then from the rest if needed."""
        version, clients = self._panel()
        if not clients:
            return
        # The lease runs from before the requests are sent, so it ends at most its duration after
        # any member confirmed it.
        sent_ms = self._clock.monotonic_ms()
        required = majority(len(clients))
        first_index = self._first_index % len(clients)
        order = [*clients[first_index:], *clients[:first_index]]
        confirmed = await self._request_confirmations(order[:required], version)
        if confirmed < required:
            # Start the next renewal at another member, so that an unresponsive one does not delay
            # every renewal.
            self._first_index += 1
            confirmed += await self._request_confirmations(order[required:], version)
        if confirmed >= required:
            self._held_until_ms = max(self._held_until_ms, sent_ms + self._duration_ms)
        else:
            self._metrics.incr("entry.lease_not_confirmed")

    async def _request_confirmations(
        self, clients: Sequence[RpcClient | None], version: int
    ) -> int:
        answers = await asyncio.gather(
            *(self._request_confirmation(rpc, version) for rpc in clients)
        )
        return sum(answers)

    async def _request_confirmation(self, rpc: RpcClient | None, version: int) -> bool:
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
