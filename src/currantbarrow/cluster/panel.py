"""Confirmation of owner leases by a member of the panel that the log names."""

from __future__ import annotations

from currantbarrow.protocol import CloseVersion, Confirm, Confirmed, LastSeen, Seen
from currantbarrow.types import Clock

__all__ = ["PanelMember"]

CONFIRMATION_RETENTION_MS = 60_000.0


class PanelMember:
    """Store the highest closed version, and when each owner's lease was last confirmed.

    A member does not close versions by itself: a process that read a newer log record requests it.
    """

    __slots__ = ("_clock", "_confirmed_ms", "closed_version")

    def __init__(self, clock: Clock) -> None:
        self.closed_version = 0
        self._clock = clock
        self._confirmed_ms: dict[str, float] = {}

    def confirm(self, call: Confirm) -> Confirmed:
        """Confirm a lease, unless its assignment version is closed."""
        accepted = call.version > self.closed_version
        if accepted:
            self._record_confirmation(call.owner)
        return Confirmed(call.call_id, accepted, self.closed_version)

    def close(self, call: CloseVersion) -> Confirmed:
        """Close a version and all earlier ones."""
        self.closed_version = max(self.closed_version, call.version)
        return Confirmed(call.call_id, True, self.closed_version)

    def last_seen(self, call: LastSeen) -> Seen:
        """Report how long ago an owner's lease was confirmed, as evidence that it is alive."""
        confirmed_ms = self._confirmed_ms.get(call.incarnation)
        if confirmed_ms is None:
            return Seen(call.call_id, False)
        return Seen(call.call_id, True, self._clock.monotonic_ms() - confirmed_ms)

    def _record_confirmation(self, owner: str) -> None:
        now_ms = self._clock.monotonic_ms()
        self._confirmed_ms[owner] = now_ms
        horizon_ms = now_ms - CONFIRMATION_RETENTION_MS
        for old in [each for each, at_ms in self._confirmed_ms.items() if at_ms < horizon_ms]:
            del self._confirmed_ms[old]
