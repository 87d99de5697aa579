"""Serve operators over HTTP, on a loopback address by default."""

from __future__ import annotations

from typing import Any

import msgspec
from sanic import Request, Sanic
from sanic.response import HTTPResponse

from currantbarrow.classes import ClassRevision
from currantbarrow.entry.node import EntryNode
from currantbarrow.exceptions import ClassConflict, ConfigurationError, CurrantbarrowError
from currantbarrow.logservice import ClassDefinition
from currantbarrow.observe import MetricsBook

__all__ = ["create_operator_api"]


class ClassBody(msgspec.Struct):
    """Show a class in force."""

    name: str
    revision: int
    target_ms: float | None
    description: str
    at_ms: int
    operator: str


class ClassChangeBody(msgspec.Struct, forbid_unknown_fields=True):
    """Ask for a change of a class; no definition removes it."""

    name: str
    based_on: int
    definition: ClassDefinition | None = None
    operator: str = ""
    # A client that repeats a request whose reply was lost sends the same id again.
    change_id: str = ""


class ErrorBody(msgspec.Struct):
    """Show an error with its code and a hint."""

    code: str
    detail: str
    hint: str = ""


def create_operator_api(node: EntryNode, book: MetricsBook, name: str) -> Sanic[Any, Any]:
    """Return the application that operators reach."""
    app: Sanic[Any, Any] = Sanic(name, configure_logging=False)

    @app.get("/classes")
    async def list_classes(request: Request) -> HTTPResponse:
        found = [(name, node.classes.find(name)) for name in node.classes.names()]
        return _json([_describe(name, revision) for name, revision in found if revision])

    @app.get("/classes/<name:str>")
    async def show_history(request: Request, name: str) -> HTTPResponse:
        return _json([_describe(name, revision) for revision in node.classes.history(name)])

    @app.post("/classes")
    async def change_class(request: Request) -> HTTPResponse:
        body = msgspec.json.decode(request.body, type=ClassChangeBody)
        revision = await node.change_class(
            body.name, body.based_on, body.definition, body.operator, body.change_id
        )
        return _json({"name": body.name, "revision": revision})

    @app.get("/members")
    async def list_members(request: Request) -> HTTPResponse:
        return _json(node.describe_members())

    @app.get("/status")
    async def status(request: Request) -> HTTPResponse:
        return _json(
            {
                "name": node.options.name,
                "incarnation": node.options.incarnation,
                "ready": node.is_ready(),
                "lease_held": node.lease.held(),
                "version": node.ownership.version,
                "class_offset": node.classes.offset,
                "counters": dict(book.counters),
                "gauges": book.gauges,
            }
        )

    @app.get("/events")
    async def events(request: Request) -> HTTPResponse:
        since_ms = int(request.args.get("since_ms") or 0)
        return _json(node.events.select(job=request.args.get("job") or "", since_ms=since_ms))

    @app.exception(CurrantbarrowError)
    async def handle(request: Request, error: CurrantbarrowError) -> HTTPResponse:
        status = 409 if isinstance(error, ClassConflict) else 503
        status = 422 if type(error) is ConfigurationError else status
        return _json(ErrorBody(error.code, str(error), error.hint), status)

    @app.exception(msgspec.MsgspecError, ValueError)
    async def handle_body(request: Request, error: Exception) -> HTTPResponse:
        return _json(ErrorBody("request_invalid", str(error)), 422)

    return app


def _describe(name: str, revision: ClassRevision) -> ClassBody:
    definition = revision.definition
    return ClassBody(
        name,
        revision.revision,
        definition.target_ms if definition else None,
        definition.description if definition else "",
        revision.at_ms,
        revision.operator,
    )


def _json(body: Any, status: int = 200) -> HTTPResponse:
    return HTTPResponse(msgspec.json.encode(body), status, {}, "application/json")
