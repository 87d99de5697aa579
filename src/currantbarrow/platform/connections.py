"""Tell from a call's connection whether its caller is still there."""

from __future__ import annotations

import select

from aiohttp import web

__all__ = ["CallConnection"]

LEFT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL


class CallConnection:
    """Represent the connection of one call."""

    __slots__ = ("_request",)

    def __init__(self, request: web.Request) -> None:
        self._request = request

    def has_left(self) -> bool:
        """Return whether the caller has closed or reset the connection.

        The system knows before the event loop has read the end of the connection.
        """
        transport = self._request.transport
        if transport is None or transport.is_closing():
            return True
        poll = select.poll()
        poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        return any(events & LEFT_EVENTS for _, events in poll.poll(0))
