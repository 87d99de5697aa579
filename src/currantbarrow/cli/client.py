"""Call the entry and side processes over HTTP."""

from __future__ import annotations

import types
from collections.abc import Mapping
from typing import Any

import aiohttp
import msgspec

from currantbarrow.exceptions import OperatorError

__all__ = ["HttpClient", "Reply"]

MIN_ERROR_STATUS = 400
CONNECT_HINT = "Check that the process runs and that --operator, --entry or --settings names it."
Params = Mapping[str, str]


class Reply(msgspec.Struct, frozen=True):
    """Represent the status and the decoded body of an HTTP response."""

    status: int
    body: Any


class HttpClient:
    """Send requests, and raise every failure as an OperatorError with a code and a hint."""

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> HttpClient:
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=self._timeout_s),
            headers={"Content-Type": "application/json"},
        )
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        if self._session is not None:
            await self._session.close()

    async def get(self, url: str, params: Params | None = None) -> Any:
        """Return the body of a successful GET; raise OperatorError."""
        return (await self.send("GET", url, params=params)).body

    async def post(self, url: str, body: Any) -> Any:
        """Return the body of a successful POST; raise OperatorError."""
        return (await self.send("POST", url, body=body)).body

    async def send(
        self, method: str, url: str, *, params: Params | None = None, body: Any = None
    ) -> Reply:
        """Send a request and return its successful reply; raise OperatorError."""
        data = None if body is None else msgspec.json.encode(body)
        status, content = await self._exchange(method, url, params, data)
        try:
            decoded = msgspec.json.decode(content) if content else None
        except msgspec.DecodeError as error:
            message = f"{url} answered {status} with a body that is not JSON"
            raise OperatorError(message, code="reply_invalid") from error
        if status >= MIN_ERROR_STATUS:
            raise _error_from_body(status, decoded)
        return Reply(status, decoded)

    async def _exchange(
        self, method: str, url: str, params: Params | None, data: bytes | None
    ) -> tuple[int, bytes]:
        if self._session is None:
            raise RuntimeError("HttpClient is used outside its async context")
        try:
            async with self._session.request(method, url, params=params, data=data) as response:
                return response.status, await response.read()
        except (aiohttp.InvalidURL, ValueError) as error:
            raise OperatorError(f"not a URL: {url}", code="argument_invalid") from error
        except TimeoutError as error:
            message = f"{url} did not answer within {self._timeout_s:g} s"
            hint = "Raise --timeout, or name another entry with --operator."
            raise OperatorError(message, code="timeout", hint=hint) from error
        except aiohttp.ClientConnectorError as error:
            message = f"{url}: cannot connect to {error.host}:{error.port}"
            raise OperatorError(message, code="unreachable", hint=CONNECT_HINT) from error
        except aiohttp.ClientError as error:
            raise OperatorError(f"{url}: {error}", code="unreachable", hint=CONNECT_HINT) from error


def _error_from_body(status: int, decoded: Any) -> OperatorError:
    body = decoded if isinstance(decoded, dict) else {}
    detail = str(body.get("detail") or f"the request was answered with {status}")
    if body.get("field"):
        detail = f"{body['field']}: {detail}"
    if body.get("not_run"):
        detail = f"{detail} (not run)"
    hint = str(body.get("hint") or "")
    if body.get("retry_after_ms"):
        hint = f"Retry in {body['retry_after_ms']} ms."
    return OperatorError(detail, code=str(body.get("code") or "http_error"), hint=hint)
