"""Make remote procedure calls over a link."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, TypeVar

from currantbarrow.exceptions import LinkClosed, LinkTimeout, RemoteError
from currantbarrow.protocol.messages import Call, Failure, Reply

if TYPE_CHECKING:
    from currantbarrow.types import Link

__all__ = ["RpcClient"]

ReplyT = TypeVar("ReplyT", bound=Reply)


class RpcClient:
    """Make calls over one link, and match replies by call id."""

    __slots__ = ("_link", "_next_id", "_pending", "late_replies")

    def __init__(self, link: Link) -> None:
        self._link = link
        self._next_id = 0
        self._pending: dict[int, asyncio.Future[Reply]] = {}
        self.late_replies = 0

    async def call(
        self, build: Callable[[int], Call], expected: type[ReplyT], timeout_ms: float
    ) -> ReplyT:
        """Send a call and return its reply; raise LinkClosed, LinkTimeout or RemoteError."""
        self._next_id += 1
        call_id = self._next_id
        future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self._pending[call_id] = future
        try:
            self._link.post(build(call_id))
            reply = await asyncio.wait_for(future, timeout_ms / 1000)
        except TimeoutError as error:
            raise LinkTimeout(
                f"no reply from {self._link.peer.name} within {timeout_ms:.0f} ms"
            ) from error
        finally:
            self._pending.pop(call_id, None)
        if isinstance(reply, Failure):
            raise RemoteError(f"{reply.code}: {reply.reason}", remote_code=reply.code)
        if not isinstance(reply, expected):
            raise RemoteError(f"unexpected reply {type(reply).__name__}")
        return reply

    def handle_reply(self, reply: Reply) -> None:
        """Complete the call that a reply belongs to; count replies without a pending call."""
        future = self._pending.pop(reply.call_id, None)
        if future is None or future.done():
            self.late_replies += 1
            return
        future.set_result(reply)

    def close(self) -> None:
        """Fail all pending calls with LinkClosed."""
        for future in self._pending.values():
            if not future.done():
                future.set_exception(LinkClosed("the link closed before the reply"))
        self._pending.clear()
