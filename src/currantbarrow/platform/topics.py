"""Store hosts, announcements and configuration in keyed topics of the platform's store."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from currantbarrow.decoding import decode_json
from currantbarrow.direct.evacuation import EvacuationState
from currantbarrow.direct.supervision import apply_each
from currantbarrow.direct.worker import Announcement
from currantbarrow.exceptions import LogServiceError, RecordsExpired, ValueUndecodable
from currantbarrow.observe import logger
from currantbarrow.platform.store import (
    TIMEOUT_MS,
    KeyedRecord,
    KeyedRecords,
    StoreClient,
    read_timeout_ms,
)
from currantbarrow.protocol.direct import HostRow
from currantbarrow.types import Clock, Metrics

__all__ = [
    "SILENCE_LIMIT_MS",
    "TopicAnnouncementStore",
    "TopicHostDirectory",
    "TopicFollower",
    "create_configuration_source",
]

HOSTS_TOPIC = "keyed.hosts"
WORKERS_TOPIC = "keyed.workers"
OPERATOR_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
# Followed by the name of a data centre that is evacuated while the key has a value.
EVACUATION_PREFIX = "evacuate/"
# Long-polling time of a read; shorter than the time within which a change must be noticed.
READ_WAIT_MS = 2000
# The newest records are listed again after this many reads, in case the store has lost some.
READS_PER_LISTING = 4
# Calls to the store are charged, including failed ones, so retries back off.
RETRY_DELAY_MIN_MS = 100.0
RETRY_DELAY_MAX_MS = 1000.0
# The longest time from the silence of all open connections until the next listing is requested over
# a new one.
SILENCE_LIMIT_MS = max(read_timeout_ms(READ_WAIT_MS), TIMEOUT_MS) + RETRY_DELAY_MIN_MS


class TopicFollower:
    """Follow one topic and report its records, each key's newest at least once."""

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

    async def follow(
        self,
        on_records: Callable[[KeyedRecords], None],
        on_listing: Callable[[frozenset[str]], None] | None = None,
    ) -> None:
        """Report listings, their keys, and the records after them, until cancelled."""
        delay_ms = RETRY_DELAY_MIN_MS
        expired = 0
        while True:
            try:
                newest = await self._store.newest(self._topic)
                self._record_regained()
                delay_ms = RETRY_DELAY_MIN_MS
                on_records(newest)
                if on_listing is not None and newest.complete:
                    on_listing(frozenset(record.key for record in newest.records))
                end = newest.end
                for _ in range(READS_PER_LISTING):
                    page = await self._store.read_keyed(self._topic, end, READ_WAIT_MS)
                    expired = 0
                    end = page.end
                    if page.records:
                        on_records(page)
            except RecordsExpired:
                self._metrics.incr("store.records_expired")
                expired += 1
                if expired > 1:
                    # The records after a fresh listing are not readable either.
                    await self._clock.sleep_ms(min(delay_ms * 2**expired, RETRY_DELAY_MAX_MS))
            except LogServiceError as error:
                self._record_lost(error)
                await self._clock.sleep_ms(self._rng.uniform(0.5, 1.0) * delay_ms)
                delay_ms = min(delay_ms * 2, RETRY_DELAY_MAX_MS)

    def _record_lost(self, error: LogServiceError) -> None:
        self._metrics.incr("store.call_failed")
        if not self._lost:
            self._lost = True
            logger.warning(
                "lost contact with the store", extra={"topic": self._topic, "error": str(error)}
            )

    def _record_regained(self) -> None:
        if self._lost:
            self._lost = False
            logger.info("regained contact with the store", extra={"topic": self._topic})


class TopicHostDirectory:
    """Publish the addresses of the system's processes in a topic of the store."""

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
        """Publish a process, retrying until it succeeds."""
        record = KeyedRecord(row.address, msgspec.json.encode(row))
        delay_ms = RETRY_DELAY_MIN_MS
        while True:
            try:
                await self._store.append_keyed(HOSTS_TOPIC, record)
            except LogServiceError as error:
                self._metrics.incr("store.call_failed")
                logger.info(
                    "could not add this process to the host directory; retrying",
                    extra={"error": str(error)},
                )
                await self._clock.sleep_ms(self._rng.uniform(0.5, 1.0) * delay_ms)
                delay_ms = min(delay_ms * 2, RETRY_DELAY_MAX_MS)
                continue
            logger.info("added this process to the host directory", extra={"address": row.address})
            return

    async def withdraw(self, row: HostRow) -> None:
        """Remove a process from the directory, without retrying."""
        try:
            await self._store.append_keyed(HOSTS_TOPIC, KeyedRecord(row.address, b""))
        except LogServiceError as error:
            # Peers notice the departure when they fail to connect to the address.
            logger.info(
                "could not remove this process from the host directory", extra={"error": str(error)}
            )

    async def follow(
        self,
        on_row: Callable[[HostRow], None],
        on_gone: Callable[[str], None],
        on_listing: Callable[[frozenset[str]], None],
    ) -> None:
        """Report processes that are published and withdrawn, until cancelled."""

        def handle_records(records: KeyedRecords) -> None:
            apply_each(
                records.records,
                lambda record: self._handle_record(record, on_row, on_gone),
                kind="host",
                metrics=self._metrics,
            )

        await self._follower.follow(handle_records, on_listing)

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
            row = decode_json(record.value, HostRow)
        except ValueUndecodable as error:
            self._metrics.incr("store.record_unreadable")
            logger.warning(
                "cannot decode host record", extra={"key": record.key, "error": str(error)}
            )
            return
        if row.address != record.key:
            self._metrics.incr("store.record_unreadable")
            logger.warning(
                "host record names another address",
                extra={"key": record.key, "address": row.address},
            )
            return
        on_row(row)


class _StoredAnnouncement(msgspec.Struct, frozen=True):
    announcement: Announcement


class TopicAnnouncementStore:
    """Store a worker's last announcement in a topic of the store."""

    __slots__ = ("_key", "_metrics", "_store")

    def __init__(self, key: str, store: StoreClient, metrics: Metrics) -> None:
        self._key = key
        self._store = store
        self._metrics = metrics

    async def save(self, announcement: Announcement, timeout_ms: float) -> bool:
        """Store an announcement and return whether it succeeded in time."""
        record = KeyedRecord(self._key, msgspec.json.encode(_StoredAnnouncement(announcement)))
        try:
            await self._store.append_keyed(WORKERS_TOPIC, record, timeout_ms)
        except LogServiceError as error:
            self._metrics.incr("store.call_failed")
            logger.info("could not store the announcement", extra={"error": str(error)})
            return False
        return True

    async def load(self) -> Announcement | None:
        """Return the stored announcement, or None if there is none or it cannot be read."""
        try:
            newest = await self._store.newest(WORKERS_TOPIC)
        except LogServiceError as error:
            self._metrics.incr("store.call_failed")
            logger.info("could not load the stored announcement", extra={"error": str(error)})
            return None
        values = [record.value for record in newest.records if record.key == self._key]
        if not values or not values[-1]:
            return None
        try:
            return decode_json(values[-1], _StoredAnnouncement).announcement
        except ValueUndecodable as error:
            self._metrics.incr("store.record_unreadable")
            logger.warning("cannot decode the stored announcement", extra={"error": str(error)})
            return None


class _EvacuationRecords:
    """Derive the evacuated data centres from the operators' records, in the order of reading."""

    __slots__ = ("_data_centres", "_is_complete", "_is_known")

    def __init__(self) -> None:
        self._data_centres: set[str] = set()
        # Whether the records read so far determine the set.
        self._is_complete = False
        # Whether a state was returned before.
        self._is_known = False

    def apply(self, page: KeyedRecords) -> EvacuationState | None:
        """Apply a page of records; return the state after it, or None if it is not certain."""
        has_configuration = any(record.key == CONFIGURATION_KEY for record in page.records)
        if page.complete:
            # The configuration is never removed. A listing without it shows that the store has lost
            # records, or that nothing has been published yet, so it proves no removal; what it
            # lists is requested all the same.
            self._is_complete = has_configuration
            if has_configuration:
                self._data_centres.clear()
        requests = False
        for record in page.records:
            data_centre = record.key.removeprefix(EVACUATION_PREFIX)
            if data_centre and data_centre != record.key:
                # Any value is a request, also one that another writer stored.
                change = self._data_centres.add if record.value else self._data_centres.discard
                change(data_centre)
                requests = requests or bool(record.value)
        # The first configuration may follow an empty listing.
        self._is_complete = self._is_complete or has_configuration
        # A request is in force although it is not certain which earlier ones still are.
        if not self._is_complete and not (requests and self._is_known):
            return None
        self._is_known = True
        return EvacuationState(page.end, frozenset(self._data_centres))


class _ConfigurationSource:
    """Provide the configurations that operators publish, and their evacuations."""

    __slots__ = ("_follower", "_metrics")

    def __init__(self, follower: TopicFollower, metrics: Metrics) -> None:
        self._follower = follower
        self._metrics = metrics

    async def follow(
        self,
        on_document: Callable[[bytes], None],
        on_evacuations: Callable[[EvacuationState], None] | None = None,
    ) -> None:
        """Report each published configuration unchanged, until cancelled.

        If a callback for evacuations is given, it first receives the state after these records.
        """
        evacuations = _EvacuationRecords()

        def handle_records(page: KeyedRecords) -> None:
            if on_evacuations is not None:
                state = evacuations.apply(page)
                if state is not None:
                    on_evacuations(state)
            documents = [
                record.value
                for record in page.records
                if record.key == CONFIGURATION_KEY and record.value
            ]
            apply_each(documents, on_document, kind="configuration", metrics=self._metrics)

        await self._follower.follow(handle_records)


def create_configuration_source(
    store: StoreClient, clock: Clock, rng: random.Random, metrics: Metrics
) -> _ConfigurationSource:
    """Create a configuration source that follows the operators' topic."""
    return _ConfigurationSource(TopicFollower(OPERATOR_TOPIC, store, clock, rng, metrics), metrics)
