"""Send HTTP requests to one server of the platform, and replace unresponsive connections."""

from __future__ import annotations

import asyncio
import errno
from typing import Any

import aiohttp
import msgspec

from currantbarrow.exceptions import CallRefused, CallUnsent, LinkClosed, LinkTimeout

__all__ = ["HttpResponse", "HttpClient"]

# Servers are one or two milliseconds away; an attempt that fails after a lost packet is retried.
CONNECT_TIMEOUT_S = 1.0
# New connections are expensive for the platform, so idle ones are kept open.
KEEP_ALIVE_TIMEOUT_S = 120.0
# Exceeds the longest call, a long-polling read of the store.
SESSION_CLOSE_DELAY_S = 5.0


class HttpResponse(msgspec.Struct, frozen=True):
    """Represent the status and the body of a response."""

    status: int
    body: bytes


class HttpClient:
    """Send requests to one server, over connections that are kept open."""

    __slots__ = (
        "_base_url",
        "_closing_tasks",
        "_connections",
        "_consecutive_timeouts",
        "_session",
        "_tolerated_timeouts",
    )

    def __init__(self, address: str, connections: int, *, tolerated_timeouts: int) -> None:
        self._base_url = f"http://{address}"
        self._connections = connections
        # Single calls may be lost; this many in a row do not yet indicate silent connections.
        self._tolerated_timeouts = tolerated_timeouts
        self._session: aiohttp.ClientSession | None = None
        self._consecutive_timeouts = 0
        self._closing_tasks: set[asyncio.Task[None]] = set()

    async def call(
        self,
        method: str,
        path: str,
        *,
        timeout_ms: float,
        body: bytes = b"",
        query: dict[str, Any] | None = None,
        headers: dict[str, str] | None = None,
    ) -> HttpResponse:
        """Send a request and return its response.

        Raise CallUnsent, or CallRefused if no process listens; LinkTimeout or LinkClosed.
        """
        session = self._session or self._open_session()
        try:
            async with session.request(
                method,
                self._base_url + path,
                data=body or None,
                params=query,
                headers=headers,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(
                    total=timeout_ms / 1000, sock_connect=CONNECT_TIMEOUT_S
                ),
            ) as response:
                answer = HttpResponse(response.status, await response.read())
                self._consecutive_timeouts = 0
                return answer
        except aiohttp.ClientConnectorError as error:
            is_refused = error.errno == errno.ECONNREFUSED
            raise (CallRefused if is_refused else CallUnsent)(f"{path}: {error}") from error
        except (TimeoutError, aiohttp.ServerTimeoutError) as error:
            self._record_timeout(session)
            raise LinkTimeout(f"{path}: no answer in {timeout_ms:.0f} ms") from error
        except aiohttp.ClientError as error:
            raise LinkClosed(f"{path}: {error}") from error

    async def close(self) -> None:
        """Close all connections."""
        closing = list(self._closing_tasks)
        for task in closing:
            task.cancel()
        await asyncio.gather(*closing, return_exceptions=True)
        if self._session is not None:
            await self._session.close()

    def _open_session(self) -> aiohttp.ClientSession:
        connector = aiohttp.TCPConnector(
            limit=self._connections, keepalive_timeout=KEEP_ALIVE_TIMEOUT_S, force_close=False
        )
        self._session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )
        return self._session

    def _record_timeout(self, session: aiohttp.ClientSession) -> None:
        """Count a time-out, and replace all connections after more than the tolerated ones.

        Idle connections may all become unresponsive at once. Calls in progress continue on the
        old connections, which are closed later.
        """
        if self._session is not session:
            return
        self._consecutive_timeouts += 1
        if self._consecutive_timeouts <= self._tolerated_timeouts:
            return
        self._consecutive_timeouts = 0
        self._session = None
        closing = asyncio.create_task(self._close_after_delay(session))
        self._closing_tasks.add(closing)
        closing.add_done_callback(self._closing_tasks.discard)

    @staticmethod
    async def _close_after_delay(session: aiohttp.ClientSession) -> None:
        try:
            await asyncio.sleep(SESSION_CLOSE_DELAY_S)
        finally:
            await session.close()
