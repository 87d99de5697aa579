"""Access the platform's log service over HTTP."""

from __future__ import annotations

from collections.abc import Sequence

import aiohttp
import msgspec

from currantbarrow.decoding import decode_json
from currantbarrow.exceptions import (
    AppendUnknown,
    LogUnavailable,
    RecordsExpired,
    ValueUndecodable,
)
from currantbarrow.types import LogRecord

__all__ = ["HttpLogService", "StoredRecord", "create_log_service"]

CONNECT_TIMEOUT_S = 2.0
# Snapshots are records, too; they hold the whole state of a stream.
MAX_REPLY_BYTES = 128 * 1024 * 1024
HTTP_OK = 200
HTTP_GONE = 410
HTTP_UNAVAILABLE = 503
HTTP_TOO_MANY = 429


class StoredRecord(msgspec.Struct, frozen=True):
    """Represent one record of a stream with its offset."""

    offset: int
    data: bytes


class _AppendReply(msgspec.Struct):
    offset: int


class _ReadReply(msgspec.Struct):
    records: list[StoredRecord]


class _ExpiredReply(msgspec.Struct):
    first_offset: int


class HttpLogService:
    """Append and read records through the service's HTTP interface."""

    __slots__ = ("_append_timeout_ms", "_session", "_url")

    def __init__(self, url: str, append_timeout_ms: float) -> None:
        self._url = url.rstrip("/")
        self._append_timeout_ms = append_timeout_ms
        self._session: aiohttp.ClientSession | None = None

    async def append(self, stream: str, data: bytes) -> int:
        """Append a record and return its offset; raise LogUnavailable or AppendUnknown."""
        timeout = aiohttp.ClientTimeout(
            total=self._append_timeout_ms / 1000, sock_connect=CONNECT_TIMEOUT_S
        )
        url = f"{self._url}/streams/{stream}/records"
        try:
            async with self._get_session().post(url, data=data, timeout=timeout) as response:
                body = await response.read()
                if response.status in (HTTP_UNAVAILABLE, HTTP_TOO_MANY):
                    raise LogUnavailable(f"the log service answered {response.status}")
                if response.status != HTTP_OK:
                    raise AppendUnknown(f"the log service answered {response.status}")
                return decode_json(body, _AppendReply).offset
        except aiohttp.ClientConnectorError as error:
            # The connection was not established, so the record cannot have been written.
            raise LogUnavailable(str(error)) from error
        except (aiohttp.ClientError, TimeoutError, ValueUndecodable) as error:
            raise AppendUnknown(f"no reply to an append: {error}") from error

    async def read(self, stream: str, offset: int, wait_ms: int) -> Sequence[LogRecord]:
        """Return the records from an offset on; raise LogUnavailable or RecordsExpired."""
        timeout = aiohttp.ClientTimeout(total=wait_ms / 1000 + self._append_timeout_ms / 1000)
        url = f"{self._url}/streams/{stream}/records"
        params = {"from": str(offset), "wait_ms": str(wait_ms)}
        try:
            async with self._get_session().get(url, params=params, timeout=timeout) as response:
                body = await response.read()
                if response.status == HTTP_GONE:
                    raise RecordsExpired(decode_json(body, _ExpiredReply).first_offset)
                if response.status != HTTP_OK:
                    raise LogUnavailable(f"the log service answered {response.status}")
                return decode_json(body, _ReadReply, max_bytes=MAX_REPLY_BYTES).records
        except (aiohttp.ClientError, TimeoutError, ValueUndecodable) as error:
            raise LogUnavailable(f"cannot read the log: {error}") from error

    async def close(self) -> None:
        """Close the connections to the service."""
        if self._session is not None:
            await self._session.close()

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession()
        return self._session


def create_log_service(url: str, append_timeout_ms: float = 3000) -> HttpLogService:
    """Return a client for the log service at a URL."""
    return HttpLogService(url, append_timeout_ms)
