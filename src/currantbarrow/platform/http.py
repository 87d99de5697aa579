"""Make HTTP calls to one server of the platform, and leave connections that fell silent."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp
import msgspec

from currantbarrow.exceptions import CallUnsent, LinkClosed, LinkTimeout

__all__ = ["HttpResponse", "HttpClient"]

# A server is a millisecond or two away; connecting is tried again after a lost packet.
CONNECT_TIMEOUT_S = 1.0
# Connections are costly to the platform, so idle ones are kept for long.
KEEP_ALIVE_S = 120.0
# Single calls get lost now and then; that many in a row show connections that fell silent.
MAX_CONSECUTIVE_TIMEOUTS = 2
# The longest read of the store, with its wait for news.
SESSION_CLOSE_DELAY_S = 5.0


class HttpResponse(msgspec.Struct, frozen=True):
    """Hold the answer to a call."""

    status: int
    body: bytes


class HttpClient:
    """Call one server, over connections that are kept open."""

    __slots__ = ("_base", "_closing_tasks", "_connections", "_consecutive_timeouts", "_session")

    def __init__(self, address: str, connections: int) -> None:
        self._base = f"http://{address}"
        self._connections = connections
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
        """Return the answer; raise CallUnsent, LinkTimeout or LinkClosed."""
        session = self._session or self._open()
        try:
            async with session.request(
                method,
                self._base + path,
                data=body or None,
                params=query,
                headers=headers,
                timeout=aiohttp.ClientTimeout(
                    total=timeout_ms / 1000, sock_connect=CONNECT_TIMEOUT_S
                ),
            ) as response:
                answer = HttpResponse(response.status, await response.read())
                self._consecutive_timeouts = 0
                return answer
        except aiohttp.ClientConnectorError as error:
            raise CallUnsent(f"{path}: {error}") from error
        except (TimeoutError, aiohttp.ServerTimeoutError) as error:
            self._record_timeout(session)
            raise LinkTimeout(f"{path}: no answer in {timeout_ms:.0f} ms") from error
        except aiohttp.ClientError as error:
            raise LinkClosed(f"{path}: {error}") from error

    async def close(self) -> None:
        """Close all connections."""
        for closing in self._closing_tasks:
            closing.cancel()
        if self._session is not None:
            await self._session.close()

    def _open(self) -> aiohttp.ClientSession:
        connector = aiohttp.TCPConnector(
            limit=self._connections, keepalive_timeout=KEEP_ALIVE_S, force_close=False
        )
        self._session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )
        return self._session

    def _record_timeout(self, session: aiohttp.ClientSession) -> None:
        """Use new connections once several calls in a row got no answer.

        All idle connections may have fallen silent together. Calls under way end on the old ones.
        """
        self._consecutive_timeouts += 1
        if self._session is not session or self._consecutive_timeouts < MAX_CONSECUTIVE_TIMEOUTS:
            return
        self._consecutive_timeouts = 0
        self._session = None
        closing = asyncio.create_task(self._close_later(session))
        self._closing_tasks.add(closing)
        closing.add_done_callback(self._closing_tasks.discard)

    @staticmethod
    async def _close_later(session: aiohttp.ClientSession) -> None:
        await asyncio.sleep(SESSION_CLOSE_DELAY_S)
        await session.close()
