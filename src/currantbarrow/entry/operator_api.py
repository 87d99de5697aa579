"""Serve the HTTP API for operators, on a loopback address by default."""

from __future__ import annotations

from typing import Any

import msgspec
from sanic import Request, Sanic
from sanic.exceptions import SanicException
from sanic.response import HTTPResponse

from currantbarrow.classes import ClassRevision
from currantbarrow.entry.http_server import create_app, json_response
from currantbarrow.entry.node import EntryNode
from currantbarrow.exceptions import (
    ClassConflict,
    ConfigurationError,
    CurrantbarrowError,
    MemberAlive,
    MemberUnknown,
)
from currantbarrow.logservice import ClassDefinition
from currantbarrow.observe import MetricsRegistry, logger, parse_since_ms

__all__ = ["create_operator_api"]

MAX_BODY_BYTES = 100_000


class ClassBody(msgspec.Struct):
    """Describe a revision of a class."""

    name: str
    revision: int
    target_ms: float | None
    description: str
    at_ms: int
    operator: str


class ClassChangeBody(msgspec.Struct, forbid_unknown_fields=True):
    """Request a change of a class, or its removal if there is no definition."""

    name: str
    based_on: int
    definition: ClassDefinition | None = None
    operator: str = ""
    # A client that repeats a request after a lost reply sends the same id again.
    change_id: str = ""


class RetirementBody(msgspec.Struct, forbid_unknown_fields=True):
    """State that a process has ended for good, by its name or its incarnation."""

    name: str
    operator: str


class ErrorBody(msgspec.Struct):
    """Describe an error, with its code and a hint."""

    code: str
    detail: str
    hint: str = ""


class StatusBody(msgspec.Struct):
    """Describe the status of an entry process."""

    name: str
    incarnation: str
    ready: bool
    draining: bool
    lease_held: bool
    version: int
    class_offset: int
    cluster_offset: int
    counters: dict[str, int]
    gauges: dict[str, float]


def create_operator_api(node: EntryNode, metrics: MetricsRegistry, name: str) -> Sanic[Any, Any]:
    """Return the operators' HTTP application."""
    app = create_app(name, MAX_BODY_BYTES, node.requests)
    _route_classes(app, node)

    @app.get("/members")
    async def list_members(request: Request) -> HTTPResponse:
        return json_response(node.describe_members())

    @app.post("/members/retire")
    async def retire(request: Request) -> HTTPResponse:
        body = msgspec.json.decode(request.body, type=RetirementBody)
        if not body.operator:
            raise ConfigurationError("operator is empty")
        return json_response({"retired": await node.retire_member(body.name, body.operator)})

    @app.get("/status")
    async def status(request: Request) -> HTTPResponse:
        return json_response(_describe_status(node, metrics))

    @app.get("/events")
    async def events(request: Request) -> HTTPResponse:
        since_ms = parse_since_ms(request.args.get("since_ms"))
        return json_response(
            node.events.select(job=request.args.get("job") or "", since_ms=since_ms)
        )

    _handle_errors(app)
    return app


def _route_classes(app: Sanic[Any, Any], node: EntryNode) -> None:
    @app.get("/classes")
    async def list_classes(request: Request) -> HTTPResponse:
        revisions = [(name, node.classes.find(name)) for name in node.classes.names()]
        return json_response(
            [_describe_revision(name, revision) for name, revision in revisions if revision]
        )

    @app.get("/classes/<name:str>", unquote=True)
    async def show_history(request: Request, name: str) -> HTTPResponse:
        return json_response(
            [_describe_revision(name, revision) for revision in node.classes.history(name)]
        )

    @app.post("/classes")
    async def change_class(request: Request) -> HTTPResponse:
        body = msgspec.json.decode(request.body, type=ClassChangeBody)
        revision = await node.change_class(
            body.name, body.based_on, body.definition, body.operator, body.change_id
        )
        return json_response({"name": body.name, "revision": revision})


def _handle_errors(app: Sanic[Any, Any]) -> None:
    @app.exception(CurrantbarrowError)
    async def handle_error(request: Request, error: CurrantbarrowError) -> HTTPResponse:
        status = 409 if isinstance(error, ClassConflict | MemberAlive) else 503
        status = 404 if isinstance(error, MemberUnknown) else status
        status = 422 if type(error) is ConfigurationError else status
        return json_response(ErrorBody(error.code, str(error), error.hint), status)

    @app.exception(msgspec.MsgspecError, ValueError, RecursionError)
    async def handle_invalid_body(request: Request, error: Exception) -> HTTPResponse:
        return json_response(ErrorBody("request_invalid", str(error)), 422)

    @app.exception(SanicException)
    async def handle_http_error(request: Request, error: SanicException) -> HTTPResponse:
        return json_response(ErrorBody("http_error", str(error)), error.status_code)

    @app.exception(Exception)
    async def handle_unexpected(request: Request, error: Exception) -> HTTPResponse:
        logger.error(
            "unhandled exception in an operator's request",
            exc_info=error,
            extra={"path": request.path},
        )
        return json_response(ErrorBody("internal", "see the process's log lines"), 500)


def _describe_revision(name: str, revision: ClassRevision) -> ClassBody:
    definition = revision.definition
    return ClassBody(
        name,
        revision.revision,
        definition.target_ms if definition else None,
        definition.description if definition else "",
        revision.at_ms,
        revision.operator,
    )


def _describe_status(node: EntryNode, metrics: MetricsRegistry) -> StatusBody:
    return StatusBody(
        node.options.name,
        node.options.incarnation,
        node.is_ready(),
        node.draining,
        node.lease.is_held(),
        node.ownership.version,
        node.classes.offset,
        node.cluster.offset,
        dict(metrics.counters),
        metrics.gauges,
    )
