"""Confirm leases of owners, as one member of the panel that the log names."""

from __future__ import annotations

from currantbarrow.protocol import CloseVersion, Confirm, Confirmed, LastSeen, Seen
from currantbarrow.types import Clock

__all__ = ["PanelMember"]

REMEMBERED_MS = 60_000.0


class PanelMember:
    """Remember the newest closed version, and when each owner last asked.

    The member decides nothing: it stops confirming when the holder of a newer log record asks.
    """

    __slots__ = ("_asked_ms", "_clock", "closed_version")

    def __init__(self, clock: Clock) -> None:
        self.closed_version = 0
        self._clock = clock
        self._asked_ms: dict[str, float] = {}

    def confirm(self, call: Confirm) -> Confirmed:
        """Confirm a lease unless its version is closed."""
        accepted = call.version > self.closed_version
        if accepted:
            self._note(call.owner)
        return Confirmed(call.call_id, accepted, self.closed_version)

    def close(self, call: CloseVersion) -> Confirmed:
        """Close a version and all before it."""
        self.closed_version = max(self.closed_version, call.version)
        return Confirmed(call.call_id, True, self.closed_version)

    def last_seen(self, call: LastSeen) -> Seen:
        """Tell how long ago an owner's lease was confirmed, as evidence that it lives."""
        asked_ms = self._asked_ms.get(call.incarnation)
        if asked_ms is None:
            return Seen(call.call_id, False)
        return Seen(call.call_id, True, self._clock.monotonic_ms() - asked_ms)

    def _note(self, owner: str) -> None:
        now_ms = self._clock.monotonic_ms()
        self._asked_ms[owner] = now_ms
        horizon_ms = now_ms - REMEMBERED_MS
        for old in [each for each, at_ms in self._asked_ms.items() if at_ms < horizon_ms]:
            del self._asked_ms[old]
