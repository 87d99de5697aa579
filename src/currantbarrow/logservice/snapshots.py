"""Write the state of a stream back into it before older records expire."""

from __future__ import annotations

import random

import msgspec

from currantbarrow.exceptions import AppendUnknown, LogUnavailable
from currantbarrow.logservice.copy import SnapshotMark
from currantbarrow.logservice.follower import LogFollower
from currantbarrow.logservice.records import Snapshot, encode_record
from currantbarrow.observe import logger
from currantbarrow.types import Clock, LogService, Metrics

__all__ = ["SnapshotRule", "SnapshotWriter"]

LOOK_MS = 5000.0
SPREAD_MS = 30_000.0
# Several snapshots lie in the log at any time, so that missing one or two does no harm.
SNAPSHOTS_PER_RETENTION = 4
SLOWEST_LOOKS = 20


class SnapshotRule(msgspec.Struct, frozen=True):
    """Say when a snapshot is due: by the age of the newest one, or by what followed it."""

    retention_ms: float = 86_400_000.0
    max_records: int = 2000

    @property
    def interval_ms(self) -> float:
        """Return the age at which the newest snapshot is replaced."""
        return self.retention_ms / SNAPSHOTS_PER_RETENTION

    @property
    def look_ms(self) -> float:
        """Return how often the rule is looked at, often enough for short retentions."""
        return min(LOOK_MS, self.interval_ms / SLOWEST_LOOKS)

    @property
    def spread_ms(self) -> float:
        """Return over how long the writers of a fleet spread, so that one write is usual."""
        return min(SPREAD_MS, self.interval_ms / 4)


class SnapshotWriter:
    """Append a snapshot when one is due and nobody else did it first."""

    __slots__ = (
        "_clock",
        "_follower",
        "_log",
        "_mark",
        "_mark_seen_ms",
        "_metrics",
        "_rng",
        "_rule",
        "_writer",
        "_written",
    )

    def __init__(
        self,
        writer: str,
        follower: LogFollower,
        rule: SnapshotRule,
        *,
        log: LogService,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self._writer = writer
        self._follower = follower
        self._rule = rule
        self._log = log
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._mark: SnapshotMark | None = None
        self._mark_seen_ms = 0.0
        self._written = 0

    async def run(self) -> None:
        """Look at the rule until cancelled."""
        await self._follower.caught_up.wait()
        while True:
            await self._clock.sleep_ms(self._rng.uniform(0.5, 1.5) * self._rule.look_ms)
            if not self.is_due():
                continue
            await self._clock.sleep_ms(self._rng.uniform(0, self._rule.spread_ms))
            if self.is_due():
                await self._write()

    def is_due(self) -> bool:
        """Tell whether a snapshot should be written now."""
        copy = self._follower.copy
        if copy.offset < 0 or not self._follower.reachable:
            return False
        if copy.mark is None or copy.records_since_mark >= self._rule.max_records:
            return True
        return self._age_ms(copy.mark) >= self._rule.interval_ms

    def _age_ms(self, mark: SnapshotMark) -> float:
        """Return the age of a snapshot, though this process's wall clock may be slow."""
        now_ms = self._clock.monotonic_ms()
        if mark != self._mark:
            self._mark, self._mark_seen_ms = mark, now_ms
        return max(self._clock.wall_ms() - mark.at_ms, now_ms - self._mark_seen_ms)

    async def _write(self) -> None:
        copy = self._follower.copy
        self._written += 1
        record = Snapshot(
            f"{self._writer}-{copy.stream}-snapshot-{self._written}",
            copy.offset,
            copy.state.dump(),
            self._clock.wall_ms(),
        )
        try:
            await self._log.append(copy.stream, encode_record(record))
        except (LogUnavailable, AppendUnknown):
            # A second copy is harmless, so the next look simply tries again.
            self._metrics.incr(f"log.snapshots_failed.{copy.stream}")
            return
        self._metrics.incr(f"log.snapshots_written.{copy.stream}")
        logger.info("wrote a snapshot", extra={"stream": copy.stream, "offset": record.offset})
