"""Follow topics of the platform's store that keep the newest record of each key."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from currantbarrow.direct.worker import Announcement
from currantbarrow.exceptions import LogServiceError, RecordsExpired
from currantbarrow.observe import logger
from currantbarrow.platform.store import KeyedRecord, StoreClient
from currantbarrow.protocol.direct import HostRow
from currantbarrow.types import Clock, Metrics

__all__ = ["AnnouncementStore", "StoreDirectory", "TopicFollower", "create_configuration_source"]

HOSTS_TOPIC = "keyed.hosts"
WORKERS_TOPIC = "keyed.workers"
OPERATOR_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
# A read waits this long for news; shorter than the time within which a change has to be known.
READ_WAIT_MS = 2000
# The newest records are read anew after so many waits, should the store have forgotten some.
READS_PER_LISTING = 4
# Calls to the store are paid for, also those that fail.
RETRY_FIRST_MS = 100.0
RETRY_LIMIT_MS = 1000.0


class TopicFollower:
    """Report the records of one topic, each key's newest at least once."""

    __slots__ = ("_clock", "_lost", "_metrics", "_rng", "_store", "_topic")

    def __init__(
        self, topic: str, store: StoreClient, clock: Clock, rng: random.Random, metrics: Metrics
    ) -> None:
        self._topic = topic
        self._store = store
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._lost = False

    async def follow(self, on_records: Callable[[list[KeyedRecord]], None]) -> None:
        """Report records until cancelled."""
        delay_ms = RETRY_FIRST_MS
        while True:
            try:
                newest = await self._store.newest(self._topic)
                self._record_regained()
                delay_ms = RETRY_FIRST_MS
                on_records(newest.records)
                end = newest.end
                for _ in range(READS_PER_LISTING):
                    page = await self._store.read_keyed(self._topic, end, READ_WAIT_MS)
                    end = page.end
                    if page.records:
                        on_records(page.records)
            except RecordsExpired:
                self._metrics.incr("store.records_expired")
            except LogServiceError as error:
                self._record_lost(error)
                await self._clock.sleep_ms(self._rng.uniform(0.5, 1.0) * delay_ms)
                delay_ms = min(delay_ms * 2, RETRY_LIMIT_MS)

    def _record_lost(self, error: LogServiceError) -> None:
        self._metrics.incr("store.call_failed")
        if not self._lost:
            self._lost = True
            logger.warning("store lost", extra={"topic": self._topic, "error": str(error)})

    def _record_regained(self) -> None:
        if self._lost:
            self._lost = False
            logger.info("store regained", extra={"topic": self._topic})


class StoreDirectory:
    """Keep the processes of the system in a topic of the store."""

    __slots__ = ("_clock", "_follower", "_metrics", "_rng", "_store")

    def __init__(
        self, store: StoreClient, clock: Clock, rng: random.Random, metrics: Metrics
    ) -> None:
        self._store = store
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._follower = TopicFollower(HOSTS_TOPIC, store, clock, rng, metrics)

    async def publish(self, row: HostRow) -> None:
        """Make a process known, trying until it is."""
        record = KeyedRecord(row.address, msgspec.json.encode(row))
        delay_ms = RETRY_FIRST_MS
        while True:
            try:
                await self._store.append_keyed(HOSTS_TOPIC, record)
            except LogServiceError as error:
                self._metrics.incr("store.call_failed")
                logger.info("not published yet", extra={"error": str(error)})
                await self._clock.sleep_ms(self._rng.uniform(0.5, 1.0) * delay_ms)
                delay_ms = min(delay_ms * 2, RETRY_LIMIT_MS)
                continue
            logger.info("published", extra={"address": row.address})
            return

    async def withdraw(self, row: HostRow) -> None:
        """Take a process off the list, if that can be done at once."""
        try:
            await self._store.append_keyed(HOSTS_TOPIC, KeyedRecord(row.address, b""))
        except LogServiceError as error:
            # Whoever dials the address finds out.
            logger.info("not withdrawn", extra={"error": str(error)})

    async def follow(
        self, on_row: Callable[[HostRow], None], on_gone: Callable[[str], None]
    ) -> None:
        """Report processes as they come and go, until cancelled."""

        def handle_records(records: list[KeyedRecord]) -> None:
            for record in records:
                self._handle_record(record, on_row, on_gone)

        await self._follower.follow(handle_records)

    def _handle_record(
        self,
        record: KeyedRecord,
        on_row: Callable[[HostRow], None],
        on_gone: Callable[[str], None],
    ) -> None:
        if not record.value:
            on_gone(record.key)
            return
        try:
            row = msgspec.json.decode(record.value, type=HostRow)
        except msgspec.MsgspecError as error:
            self._metrics.incr("store.record_unreadable")
            logger.warning("host unreadable", extra={"key": record.key, "error": str(error)})
            return
        on_row(row)


class _StoredAnnouncement(msgspec.Struct, frozen=True):
    announcement: Announcement


class AnnouncementStore:
    """Keep a worker's last announcement in a topic of the store."""

    __slots__ = ("_key", "_metrics", "_store")

    def __init__(self, key: str, store: StoreClient, metrics: Metrics) -> None:
        self._key = key
        self._store = store
        self._metrics = metrics

    async def save(self, announcement: Announcement) -> bool:
        """Keep an announcement, and tell whether that was done."""
        value = msgspec.json.encode(_StoredAnnouncement(announcement))
        try:
            await self._store.append_keyed(WORKERS_TOPIC, KeyedRecord(self._key, value))
        except LogServiceError as error:
            self._metrics.incr("store.call_failed")
            logger.info("announcement not kept", extra={"error": str(error)})
            return False
        return True

    async def load(self) -> Announcement | None:
        """Return the announcement that was kept, if there is one and it can be had."""
        try:
            newest = await self._store.newest(WORKERS_TOPIC)
        except LogServiceError as error:
            self._metrics.incr("store.call_failed")
            logger.info("announcement not recalled", extra={"error": str(error)})
            return None
        values = [record.value for record in newest.records if record.key == self._key]
        if not values or not values[-1]:
            return None
        try:
            return msgspec.json.decode(values[-1], type=_StoredAnnouncement).announcement
        except msgspec.MsgspecError as error:
            self._metrics.incr("store.record_unreadable")
            logger.warning("announcement unreadable", extra={"error": str(error)})
            return None


class _ConfigurationSource:
    """Report what operators publish."""

    __slots__ = ("_follower",)

    def __init__(self, follower: TopicFollower) -> None:
        self._follower = follower

    async def follow(self, on_document: Callable[[bytes], None]) -> None:
        """Report each configuration as it was published, until cancelled."""

        def handle_records(records: list[KeyedRecord]) -> None:
            for record in records:
                if record.key == CONFIGURATION_KEY and record.value:
                    on_document(record.value)

        await self._follower.follow(handle_records)


def create_configuration_source(
    store: StoreClient, clock: Clock, rng: random.Random, metrics: Metrics
) -> _ConfigurationSource:
    """Return the source that reads the operators' topic."""
    return _ConfigurationSource(TopicFollower(OPERATOR_TOPIC, store, clock, rng, metrics))
