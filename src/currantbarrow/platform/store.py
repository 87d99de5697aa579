"""Access the platform's store, which keeps records in append-only topics."""

from __future__ import annotations

import base64
import re
import struct
from collections.abc import Iterator
from typing import TypeVar

import msgspec

from currantbarrow.decoding import Count, decode_json
from currantbarrow.exceptions import (
    AppendUnknown,
    CallUnsent,
    LinkError,
    LogUnavailable,
    RecordsExpired,
    ValueUndecodable,
)
from currantbarrow.observe import logger
from currantbarrow.platform.http import HttpClient, HttpResponse

__all__ = [
    "TIMEOUT_MS",
    "KeyedRecord",
    "KeyedRecords",
    "StoreClient",
    "StoredRecord",
    "read_timeout_ms",
]

# Every topic used here has a single partition.
PARTITION = "0"
APPEND_PATH = "/currantbarrow/log-append"
READ_PATH = "/currantbarrow/log-read"
NEWEST_PATH = "/currantbarrow/log-newest"
# The store usually answers in 4 ms, and 60 times later while it is slow. Pages of records and
# appends may take longer.
ANSWER_LIMIT_MS = 500.0
TIMEOUT_MS = 1500.0
CONNECTIONS = 4
# No call is lost by itself, so one time-out shows that the connections may have gone silent.
TOLERATED_TIMEOUTS = 0
RECORD_LENGTH = struct.Struct(">I")
SURROGATE = re.compile(rb"\\u[dD][89a-fA-F][0-9a-fA-F]{2}")
READ_HEADER = struct.Struct(">QQ")

ReplyT = TypeVar("ReplyT")


class StoredRecord(msgspec.Struct, frozen=True):
    """Represent a record with its offset in the topic."""

    offset: int
    data: bytes


class KeyedRecord(msgspec.Struct, frozen=True):
    """Represent a record of a topic compacted by key; an empty value deletes the key."""

    key: str
    value: bytes


class KeyedRecords(msgspec.Struct, frozen=True):
    """Return records, and the offset from which to continue reading."""

    records: list[KeyedRecord]
    end: int
    # Whether the newest record of every key is included, as of `end` or later.
    complete: bool = False


class _AppendReply(msgspec.Struct):
    # Offset of the first appended record.
    offset: Count = 0


class _ExpiredReply(msgspec.Struct):
    # First offset that has not expired.
    first: Count = 0


class _NewestItem(msgspec.Struct):
    key: str
    # Encoded in base64.
    value: str = ""


class _NewestReply(msgspec.Struct):
    items: list[_NewestItem] = []
    has_more: bool = False
    end: Count = 0


class StoreClient:
    """Implement the log service on the platform's store."""

    __slots__ = ("_http",)

    def __init__(self, address: str) -> None:
        self._http = HttpClient(address, CONNECTIONS, tolerated_timeouts=TOLERATED_TIMEOUTS)

    async def append(self, stream: str, data: bytes, timeout_ms: float = TIMEOUT_MS) -> int:
        """Append a record and return its offset; raise LogUnavailable or AppendUnknown."""
        try:
            answer = await self._http.call(
                "POST",
                APPEND_PATH,
                query={"topic": stream, "part": PARTITION},
                body=RECORD_LENGTH.pack(len(data)) + data,
                timeout_ms=timeout_ms,
                headers={"Content-Type": "application/octet-stream"},
            )
        except CallUnsent as error:
            raise LogUnavailable(str(error)) from error
        except LinkError as error:
            raise AppendUnknown(str(error)) from error
        self._check_status(answer, APPEND_PATH)
        return _decode(answer.body, _AppendReply).offset

    async def append_keyed(
        self, topic: str, record: KeyedRecord, timeout_ms: float = TIMEOUT_MS
    ) -> int:
        """Append a keyed record; raise LogUnavailable or AppendUnknown."""
        key = record.key.encode()
        return await self.append(topic, bytes([len(key)]) + key + record.value, timeout_ms)

    async def read(self, stream: str, offset: int, wait_ms: int) -> list[StoredRecord]:
        """Return the records from an offset on; raise LogUnavailable or RecordsExpired."""
        query = {"topic": stream, "part": PARTITION, "from": str(offset), "wait_ms": str(wait_ms)}
        try:
            answer = await self._http.call(
                "GET", READ_PATH, query=query, timeout_ms=read_timeout_ms(wait_ms)
            )
        except LinkError as error:
            raise LogUnavailable(str(error)) from error
        if answer.status == 410:
            raise RecordsExpired(_decode(answer.body, _ExpiredReply).first)
        self._check_status(answer, READ_PATH)
        try:
            return list(_split_records(offset, answer.body))
        except struct.error as error:
            raise LogUnavailable(f"{READ_PATH}: truncated records") from error

    async def read_keyed(self, topic: str, offset: int, wait_ms: int) -> KeyedRecords:
        """Return the keyed records from an offset on; raise LogUnavailable or RecordsExpired."""
        records = await self.read(topic, offset, wait_ms)
        end = records[-1].offset + 1 if records else offset
        keyed = []
        for record in records:
            length = record.data[0] if record.data else 0
            if length >= len(record.data):
                # Its key would be cut short, and its missing value would delete that key.
                logger.warning(
                    "malformed record skipped", extra={"topic": topic, "offset": record.offset}
                )
                continue
            key = record.data[1 : 1 + length].decode(errors="replace")
            keyed.append(KeyedRecord(key, record.data[1 + length :]))
        return KeyedRecords(keyed, end)

    async def newest(self, topic: str) -> KeyedRecords:
        """Return the newest record of each key; raise LogUnavailable.

        The pages are not a snapshot, so `end` is that of the first one: reading on from there
        returns every record that a later page may or may not include.
        """
        records: list[KeyedRecord] = []
        end: int | None = None
        query = {"topic": topic, "part": PARTITION}
        while True:
            try:
                answer = await self._http.call(
                    "GET", NEWEST_PATH, query=query, timeout_ms=TIMEOUT_MS
                )
            except LinkError as error:
                raise LogUnavailable(str(error)) from error
            if answer.status == 404:
                return KeyedRecords([], 0, complete=True)
            self._check_status(answer, NEWEST_PATH)
            reply = _decode_listing(answer.body)
            end = reply.end if end is None else end
            for item in reply.items:
                records.append(KeyedRecord(item.key, _decode_base64(item.value)))
            if not reply.has_more:
                return KeyedRecords(records, end, complete=True)
            if not reply.items:
                raise LogUnavailable(f"{NEWEST_PATH}: empty page before the end of the listing")
            if reply.items[-1].key == query.get("after"):
                # The key is not the one that the store has, so the same page would come for ever.
                logger.warning("listing does not advance", extra={"topic": topic})
                return KeyedRecords(records, end)
            query["after"] = reply.items[-1].key

    async def close(self) -> None:
        """Close the connections."""
        await self._http.close()

    @staticmethod
    def _check_status(answer: HttpResponse, path: str) -> None:
        if answer.status != 200:
            raise LogUnavailable(f"{path}: status {answer.status}")


def read_timeout_ms(wait_ms: int) -> float:
    """Return the time after which a read that waits for records counts as lost."""
    return wait_ms + ANSWER_LIMIT_MS if wait_ms else TIMEOUT_MS


def _decode(body: bytes, reply: type[ReplyT]) -> ReplyT:
    try:
        return decode_json(body, reply)
    except ValueUndecodable as error:
        raise LogUnavailable(f"cannot decode response: {error}") from error


def _decode_listing(body: bytes) -> _NewestReply:
    try:
        return _decode(body, _NewestReply)
    except LogUnavailable:
        # A key of another writer may be no Unicode text. It is replaced as in the records read.
        text = SURROGATE.sub(rb"\\ufffd", body).decode(errors="replace")
        return _decode(text.encode(), _NewestReply)


def _decode_base64(text: str) -> bytes:
    try:
        decoded = base64.b64decode(text)
    except ValueError:
        decoded = b""
    # Other writers may store anything. A value that cannot be decoded is not a missing value, which
    # would delete the key.
    return decoded or text.encode()


def _split_records(offset: int, body: bytes) -> Iterator[StoredRecord]:
    READ_HEADER.unpack_from(body)
    position = READ_HEADER.size
    while position < len(body):
        (length,) = RECORD_LENGTH.unpack_from(body, position)
        position += RECORD_LENGTH.size
        if position + length > len(body):
            # Part of a record would otherwise be taken for all of it, and not be read again.
            raise struct.error(f"record {offset} has {len(body) - position} of {length} bytes")
        yield StoredRecord(offset, body[position : position + length])
        position += length
        offset += 1
