"""Schedule heartbeats on idle links."""

from __future__ import annotations

__all__ = ["HeartbeatSchedule"]

CHECKS_PER_INTERVAL = 4


class HeartbeatSchedule:
    """Decide which links need a heartbeat; recent messages with the same content replace it."""

    __slots__ = ("_offsets", "_sent_ms", "interval_ms")

    def __init__(self, interval_ms: float) -> None:
        self.interval_ms = interval_ms
        self._sent_ms: dict[str, float] = {}
        self._offsets: dict[str, tuple[int, ...]] = {}

    @property
    def check_interval_ms(self) -> float:
        """Return how often to check, so that no link stays idle for a whole interval."""
        return self.interval_ms / CHECKS_PER_INTERVAL

    def record_sent(self, peer: str, now_ms: float) -> None:
        """Record a message that replaces a heartbeat."""
        self._sent_ms[peer] = now_ms

    def record_heartbeat(self, peer: str, now_ms: float, offsets: tuple[int, ...]) -> None:
        """Record a heartbeat, with the stream offsets that only heartbeats carry."""
        self.record_sent(peer, now_ms)
        self._offsets[peer] = offsets

    def is_due(self, peer: str, now_ms: float, offsets: tuple[int, ...] = ()) -> bool:
        """Return whether a peer needs a heartbeat now or before the next check."""
        if self._offsets.get(peer, offsets) != offsets:
            return True
        idle_ms = now_ms - self._sent_ms.get(peer, -self.interval_ms)
        return idle_ms > self.interval_ms - self.check_interval_ms

    def remove_peer(self, peer: str) -> None:
        """Remove a peer whose link has closed."""
        self._sent_ms.pop(peer, None)
        self._offsets.pop(peer, None)
