"""Serve the HTTP API that receives the announcements of the worker on this host."""

from __future__ import annotations

from typing import Literal

import msgspec
from aiohttp import web

from currantbarrow.decoding import Count, Number, decode_json
from currantbarrow.direct.model import Resources
from currantbarrow.direct.side import DirectSide
from currantbarrow.direct.worker import NOT_ANNOUNCED, Announcement
from currantbarrow.exceptions import AnnouncementInvalid, ValueUndecodable
from currantbarrow.intake.web import take_body
from currantbarrow.observe import logger
from currantbarrow.types import Metrics

__all__ = ["create_announcements_app", "parse_announcement"]

DRAINING = "draining"


class _Capacity(msgspec.Struct):
    # Thousandths of a core.
    cpu: Count
    mem_mb: Count = 0
    gpus: Count = 0


class _AnnouncementBody(msgspec.Struct):
    service: str
    state: Literal["ready", "draining"]
    capacity: _Capacity
    sequence: Count = 0
    labels: list[str] = []
    # Unix millisecond of the worker's start; workers of earlier versions do not send it.
    born: Count = 0
    cold_remaining_ms: Number = 0.0


def parse_announcement(
    worker: str, body: bytes, service: str, known: Announcement | None
) -> Announcement:
    """Return the announcement in a request; raise AnnouncementInvalid.

    Which fields a worker sends depends on its version, so a missing one is an error if the known
    announcement of this worker has it: a default would change the capacity or the instance.
    """
    try:
        decoded = decode_json(body, _AnnouncementBody)
    except ValueUndecodable as error:
        raise AnnouncementInvalid(str(error)) from error
    if service and decoded.service != service:
        raise AnnouncementInvalid(f"the service is {decoded.service!r} instead of {service!r}")
    announcement = Announcement(
        worker,
        decoded.service,
        Resources(decoded.capacity.cpu, decoded.capacity.mem_mb, decoded.capacity.gpus),
        frozenset(decoded.labels),
        decoded.state == DRAINING,
        decoded.sequence,
        decoded.born,
        decoded.cold_remaining_ms,
    )
    if known is not None and known.worker == worker:
        _check_missing_fields(announcement, body, known)
    return announcement


def _check_missing_fields(announcement: Announcement, body: bytes, known: Announcement) -> None:
    """Check that no field is missing that the worker has announced before."""
    sent = decode_json(body, dict[str, msgspec.Raw])
    capacity = decode_json(sent["capacity"], dict[str, msgspec.Raw])
    present = {
        "mem_mb": "mem_mb" in capacity or not known.capacity.memory_mb,
        "gpus": "gpus" in capacity or not known.capacity.gpus,
        "labels": "labels" in sent or not known.labels,
        "sequence": "sequence" in sent or known.sequence <= 0,
        "born": "born" in sent or not known.born_ms or known.sequence <= NOT_ANNOUNCED,
    }
    missing = [field for field, is_present in present.items() if not is_present]
    if missing:
        raise AnnouncementInvalid(f"missing fields: {', '.join(missing)}")


def create_announcements_app(side: DirectSide, metrics: Metrics, service: str) -> web.Application:
    """Return the application that serves the worker of a service."""

    async def announce(request: web.Request) -> web.Response:
        worker = request.match_info["worker"]
        instance = side.driver.instance
        known = None if instance is None else instance.announcement
        try:
            announcement = parse_announcement(worker, await take_body(request), service, known)
        except AnnouncementInvalid as error:
            metrics.incr("side.announcement_unreadable")
            logger.warning(
                "worker announcement rejected", extra={"worker": worker, "error": str(error)}
            )
            return web.Response(status=400)
        await side.handle_announcement(announcement)
        return web.json_response({})

    async def leave(request: web.Request) -> web.Response:
        side.handle_departure(request.match_info["worker"])
        return web.json_response({})

    app = web.Application()
    app.router.add_put("/currantbarrow/instances/{worker}", announce)
    app.router.add_delete("/currantbarrow/instances/{worker}", leave)
    return app
