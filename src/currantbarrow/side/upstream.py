"""Run tasks on the upstream over HTTP."""

from __future__ import annotations

from typing import Any

import aiohttp
import msgspec

from currantbarrow.exceptions import UpstreamError, UpstreamLost, ValueTooComplex
from currantbarrow.jobs import TaskRun, TaskRunResult
from currantbarrow.protocol.values import check_value

__all__ = ["HttpUpstream", "create_upstream"]

HTTP_OK = 200
CONNECT_TIMEOUT_S = 1.0
MAX_ERROR_CHARS = 200


class _TaskBody(msgspec.Struct):
    job: str
    index: int
    job_class: str
    customer: str
    payload: object


class HttpUpstream:
    """Run tasks on one upstream, with a bounded number of connections."""

    __slots__ = ("_connections", "_max_result_bytes", "_session", "_url")

    def __init__(self, url: str, connections: int, max_result_bytes: int) -> None:
        self._url = url.rstrip("/")
        self._connections = connections
        self._max_result_bytes = max_result_bytes
        self._session: aiohttp.ClientSession | None = None

    async def run(self, task: TaskRun) -> TaskRunResult:
        """Run a task and return its result; raise UpstreamError or UpstreamLost."""
        body = _TaskBody(task.job_id.hex(), task.index, task.job_class, task.customer, task.payload)
        try:
            async with self._get_session().post(
                f"{self._url}/tasks", data=msgspec.json.encode(body)
            ) as response:
                content = await response.read()
        except aiohttp.ClientConnectorError as error:
            raise UpstreamError(f"the upstream refused the connection: {error}") from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise UpstreamLost(f"the upstream's answer never came: {error}") from error
        return TaskRunResult(self._decode_answer(response.status, content))

    async def stop(self, task: TaskRun) -> None:
        """Ask the upstream to stop a running task; a failed request leaves it running."""
        url = f"{self._url}/tasks/{task.job_id.hex()}/{task.index}"
        try:
            async with self._get_session().delete(url) as response:
                await response.read()
        except (aiohttp.ClientError, TimeoutError):
            return

    async def close(self) -> None:
        """Close the connections to the upstream."""
        if self._session is not None:
            await self._session.close()

    def _decode_answer(self, status: int, content: bytes) -> Any:
        if status != HTTP_OK:
            text = content[:MAX_ERROR_CHARS].decode(errors="replace")
            raise UpstreamError(f"the upstream answered {status}: {text}")
        if len(content) > self._max_result_bytes:
            raise UpstreamError(f"the upstream's answer is over {self._max_result_bytes} bytes")
        try:
            value = msgspec.json.decode(content)
            check_value(value, "answer")
        except (msgspec.DecodeError, RecursionError) as error:
            raise UpstreamError(f"the upstream's answer is not JSON: {error}") from error
        except ValueTooComplex as error:
            raise UpstreamError(f"{error.path}: {error}") from error
        return value

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=self._connections),
                timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
            )
        return self._session


def create_upstream(url: str, connections: int, max_result_bytes: int) -> HttpUpstream:
    """Return a client for the upstream at a URL."""
    return HttpUpstream(url, connections, max_result_bytes)
