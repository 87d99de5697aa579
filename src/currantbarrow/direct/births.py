"""Remember which instances of the worker have ended, by id and birth.

A worker may restart under its previous id. Its birth then tells the instances apart, and orders
them: messages of an instance with an earlier birth are delayed ones. Workers that announce no birth
have birth 0, and an id names one instance.
"""

from __future__ import annotations

from currantbarrow.direct.instance import WorkerInstance
from currantbarrow.direct.worker import Announcement

__all__ = ["InstanceHistory"]

# Number of worker ids whose ended instances are remembered, to ignore delayed announcements.
IDS_KEPT = 64
NEVER_MS = -1


class _IdRecord:
    """Track the instances of one id."""

    __slots__ = ("departed_sequence", "latest_ms", "retired_ms")

    def __init__(self) -> None:
        # The latest birth that the worker itself has confirmed.
        self.latest_ms = NEVER_MS
        # The latest birth among the ended instances.
        self.retired_ms = NEVER_MS
        # The sequence of the last announcement before that instance reported its shutdown, if so.
        self.departed_sequence: int | None = None


class InstanceHistory:
    """Track the births of instances that were confirmed, and of those that have ended."""

    __slots__ = ("_records",)

    def __init__(self) -> None:
        # The least recently changed id first.
        self._records: dict[str, _IdRecord] = {}

    def confirm(self, worker: str, born_ms: int) -> None:
        """Record a birth that the worker itself has answered with."""
        record = self._record(worker)
        record.latest_ms = max(record.latest_ms, born_ms)
        if born_ms == record.retired_ms:
            # An instance whose shutdown was reported by mistake.
            record.retired_ms, record.departed_sequence = NEVER_MS, None

    def retire(self, instance: WorkerInstance) -> None:
        """Record that an instance has ended."""
        record = self._record(instance.worker)
        if instance.born_ms >= record.retired_ms:
            record.retired_ms = instance.born_ms
            record.departed_sequence = instance.departed_sequence

    def is_former(self, announcement: Announcement) -> bool:
        """Return whether the announcing instance has ended or was followed by a later one."""
        record = self._records.get(announcement.worker)
        if record is None:
            return False
        born_ms = announcement.born_ms
        return born_ms < record.latest_ms or born_ms <= record.retired_ms

    def is_return(self, announcement: Announcement) -> bool:
        """Return whether an instance that was reported to shut down still runs.

        The report has no birth, so it may have been a delayed one of the instance before. Workers
        without a birth do not reuse their ids, so their reports are their own.
        """
        record = self._records.get(announcement.worker)
        if record is None or record.departed_sequence is None:
            return False
        return (
            announcement.born_ms > 0
            and announcement.born_ms == record.retired_ms == record.latest_ms
            and not announcement.leaving
            and announcement.sequence > record.departed_sequence
        )

    def _record(self, worker: str) -> _IdRecord:
        record = self._records.pop(worker, None) or _IdRecord()
        self._records[worker] = record
        if len(self._records) > IDS_KEPT:
            del self._records[next(iter(self._records))]
        return record
