"""Hold back jobs that other entries may have taken over while this entry was out of contact."""

from __future__ import annotations

import math
from collections.abc import Iterable

__all__ = ["IsolationGuard"]

# Callers resubmit a job 1.3 s after they lose an entry. A shorter stall is no reason for it.
ISOLATION_MIN_MS = 1000.0
# Peers are linked again within some tenths of a second, and answer at once. One that has not
# answered for longer has probably ended.
ANSWER_LIMIT_MS = 3500.0


class IsolationGuard:
    """Decide whether a job may be ordered after this entry was stalled or lost all its links.

    Its callers may have resubmitted the jobs that it had accepted before. It reports them to each
    peer in a call, and the answer names those that have been accepted elsewhere. A peer that
    accepts one after the call knows of it and has it released. A report that is not an answer to a
    call proves nothing, as the peer may have sent it before it accepted the job.
    """

    __slots__ = ("_answered_ms", "_isolated_until_ms", "_stalled_until_ms")

    def __init__(self) -> None:
        self._stalled_until_ms = -math.inf
        self._isolated_until_ms = -ANSWER_LIMIT_MS
        # When the last call that a peer has answered was sent, by its address.
        self._answered_ms: dict[str, float] = {}

    def record_answer(self, address: str, asked_ms: float) -> None:
        """Record that a peer answered a call that reported the open jobs at a time."""
        self._answered_ms[address] = max(asked_ms, self._answered_ms.get(address, asked_ms))

    def record_stall(self, stalled_ms: float, now_ms: float) -> None:
        """Record that this process did not run for some time until now."""
        if stalled_ms >= ISOLATION_MIN_MS:
            self._isolated_until_ms = self._stalled_until_ms = now_ms

    def has_stalled_since(self, since_ms: float) -> bool:
        """Return whether this process did not run for some time until after a time."""
        return self._stalled_until_ms > since_ms

    def record_isolation(self, now_ms: float) -> None:
        """Record that no side process is linked now."""
        self._isolated_until_ms = now_ms

    def was_isolated_since(self, since_ms: float) -> bool:
        """Return whether this entry was out of contact after a time."""
        return self._isolated_until_ms > since_ms

    def must_confirm(self, accepted_ms: float, now_ms: float) -> bool:
        """Return whether a job accepted at a time requires the answers of the peers."""
        isolated_ms = self._isolated_until_ms
        return accepted_ms <= isolated_ms and now_ms - isolated_ms <= ANSWER_LIMIT_MS

    def has_answered(self, address: str) -> bool:
        """Return whether a peer has answered since this entry was out of contact."""
        return self._answered_ms.get(address, -math.inf) >= self._isolated_until_ms

    def may_order(self, accepted_ms: float, peers: Iterable[str], now_ms: float) -> bool:
        """Return whether a job accepted at a time may be ordered, given the known peers."""
        if not self.must_confirm(accepted_ms, now_ms):
            return True
        return all(self.has_answered(peer) for peer in peers)
