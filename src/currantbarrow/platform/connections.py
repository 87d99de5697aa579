"""Tell from a call's connection whether its caller is still there."""

from __future__ import annotations

from aiohttp import web

from currantbarrow.intake import is_peer_gone

__all__ = ["CallConnection"]


class CallConnection:
    """Represent the connection of one call."""

    __slots__ = ("_request",)

    def __init__(self, request: web.Request) -> None:
        self._request = request

    def has_left(self) -> bool:
        """Return whether the caller has closed or reset the connection."""
        transport = self._request.transport
        return transport is None or is_peer_gone(transport)
