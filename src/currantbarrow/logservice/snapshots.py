"""Append snapshots of a stream's state to it before the older records expire."""

from __future__ import annotations

import random

import msgspec

from currantbarrow.exceptions import AppendUnknown, LogUnavailable
from currantbarrow.logservice.follower import LogFollower
from currantbarrow.logservice.records import Snapshot, encode_record
from currantbarrow.logservice.replica import SnapshotPosition
from currantbarrow.observe import logger
from currantbarrow.types import Clock, LogService, Metrics

__all__ = ["SnapshotRule", "SnapshotWriter"]

CHECK_INTERVAL_MS = 5000.0
MAX_JITTER_MS = 30_000.0
# Several snapshots are retained at any time, so that one or two may fail without data loss.
SNAPSHOTS_PER_RETENTION = 4
MIN_CHECKS_PER_INTERVAL = 20


class SnapshotRule(msgspec.Struct, frozen=True):
    """Define when a snapshot is due: by the newest one's age or the records that follow it."""

    retention_ms: float = 86_400_000.0
    max_records: int = 2000

    @property
    def interval_ms(self) -> float:
        """Return the age at which the newest snapshot is replaced."""
        return self.retention_ms / SNAPSHOTS_PER_RETENTION

    @property
    def check_interval_ms(self) -> float:
        """Return the interval between checks of the rule, which is shorter for short retentions."""
        return min(CHECK_INTERVAL_MS, self.interval_ms / MIN_CHECKS_PER_INTERVAL)

    @property
    def jitter_ms(self) -> float:
        """Return the maximum random delay before a write; usually only one process then writes."""
        return min(MAX_JITTER_MS, self.interval_ms / 4)


class SnapshotWriter:
    """Append a snapshot when one is due, unless another process has written one first."""

    __slots__ = (
        "_clock",
        "_follower",
        "_log",
        "_metrics",
        "_newest",
        "_newest_seen_ms",
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
        self._newest: SnapshotPosition | None = None
        self._newest_seen_ms = 0.0
        self._written = 0

    async def run(self) -> None:
        """Write snapshots whenever the rule requires one, until cancelled."""
        await self._follower.caught_up.wait()
        while True:
            await self._clock.sleep_ms(self._rng.uniform(0.5, 1.5) * self._rule.check_interval_ms)
            if not self.is_due():
                continue
            await self._clock.sleep_ms(self._rng.uniform(0, self._rule.jitter_ms))
            if self.is_due():
                await self._write()

    def is_due(self) -> bool:
        """Return whether a snapshot should be written now."""
        replica = self._follower.replica
        if replica.offset < 0 or not self._follower.reachable:
            return False
        if (
            replica.newest_snapshot is None
            or replica.records_since_snapshot >= self._rule.max_records
        ):
            return True
        return self._age_ms(replica.newest_snapshot) >= self._rule.interval_ms

    def _age_ms(self, snapshot: SnapshotPosition) -> float:
        """Return the age of a snapshot in milliseconds.

        This process's wall clock may be behind the writer's, so the time since the snapshot was
        first seen is a lower bound.
        """
        now_ms = self._clock.monotonic_ms()
        if snapshot != self._newest:
            self._newest, self._newest_seen_ms = snapshot, now_ms
        return max(self._clock.wall_ms() - snapshot.at_ms, now_ms - self._newest_seen_ms)

    async def _write(self) -> None:
        replica = self._follower.replica
        self._written += 1
        record = Snapshot(
            f"{self._writer}-{replica.stream}-snapshot-{self._written}",
            replica.offset,
            replica.state.dump(),
            self._clock.wall_ms(),
        )
        try:
            await self._log.append(replica.stream, encode_record(record))
        except (LogUnavailable, AppendUnknown):
            # A duplicate snapshot is harmless, so the next check retries.
            self._metrics.incr(f"log.snapshots_failed.{replica.stream}")
            return
        self._metrics.incr(f"log.snapshots_written.{replica.stream}")
        logger.info("wrote snapshot", extra={"stream": replica.stream, "offset": record.offset})
