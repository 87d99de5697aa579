"""Tell which links have been idle so long that they need a heartbeat."""

from __future__ import annotations

__all__ = ["HeartbeatSchedule"]

LOOKS_PER_INTERVAL = 4


class HeartbeatSchedule:
    """Spare heartbeats on links where other messages bring the same news."""

    __slots__ = ("_news", "_sent_ms", "interval_ms")

    def __init__(self, interval_ms: float) -> None:
        self.interval_ms = interval_ms
        self._sent_ms: dict[str, float] = {}
        self._news: dict[str, tuple[int, ...]] = {}

    @property
    def look_ms(self) -> float:
        """Return how often to look, so that no link is silent for a whole interval."""
        return self.interval_ms / LOOKS_PER_INTERVAL

    def sent(self, peer: str, now_ms: float) -> None:
        """Take note of a message that does for a heartbeat."""
        self._sent_ms[peer] = now_ms

    def showed(self, peer: str, now_ms: float, news: tuple[int, ...]) -> None:
        """Take note of a heartbeat and of the news that only heartbeats bring."""
        self.sent(peer, now_ms)
        self._news[peer] = news

    def due(self, peer: str, now_ms: float, news: tuple[int, ...] = ()) -> bool:
        """Tell whether a peer needs a heartbeat now, or would before the next look."""
        if self._news.get(peer, news) != news:
            return True
        idle_ms = now_ms - self._sent_ms.get(peer, -self.interval_ms)
        return idle_ms > self.interval_ms - self.look_ms

    def forget(self, peer: str) -> None:
        """Drop a peer whose link closed."""
        self._sent_ms.pop(peer, None)
        self._news.pop(peer, None)
