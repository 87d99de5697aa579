"""Serve the HTTP API of the side process on loopback, for its upstream and for operators."""

from __future__ import annotations

from typing import Any

import msgspec
from aiohttp import web

from currantbarrow.decoding import decode_json
from currantbarrow.exceptions import ValueUndecodable
from currantbarrow.observe import EventRing, MetricsRegistry, parse_since_ms
from currantbarrow.side.node import SideNode

__all__ = ["create_side_api"]


class AnnouncementBody(msgspec.Struct, forbid_unknown_fields=True):
    """Announce an upstream that accepts work in a number of slots."""

    slots: int


def create_side_api(node: SideNode, events: EventRing, book: MetricsRegistry) -> web.Application:
    """Return the application that serves the upstream and operators."""

    async def announce(request: web.Request) -> web.Response:
        try:
            body = decode_json(await request.read(), AnnouncementBody)
        except ValueUndecodable as error:
            return _json({"code": "request_invalid", "detail": str(error)}, 422)
        if body.slots < 1:
            return _json({"code": "request_invalid", "detail": "slots: at least 1"}, 422)
        node.announce(body.slots)
        return _json({"leaving": node.leaving})

    async def leave(request: web.Request) -> web.Response:
        node.leave()
        return _json({"leaving": True})

    async def status(request: web.Request) -> web.Response:
        return _json(
            {
                "name": node.options.name,
                "incarnation": node.options.incarnation,
                "load": node.load(),
                "counters": dict(book.counters),
                "gauges": book.gauges,
            }
        )

    async def show_events(request: web.Request) -> web.Response:
        try:
            since_ms = parse_since_ms(request.query.get("since_ms"))
        except ValueError as error:
            return _json({"code": "request_invalid", "detail": str(error)}, 422)
        return _json(events.select(job=request.query.get("job", ""), since_ms=since_ms))

    app = web.Application()
    app.router.add_put("/announcement", announce)
    app.router.add_delete("/announcement", leave)
    app.router.add_get("/status", status)
    app.router.add_get("/events", show_events)
    return app


def _json(body: Any, status: int = 200) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(body), status=status, content_type="application/json"
    )
