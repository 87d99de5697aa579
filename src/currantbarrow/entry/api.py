"""Serve the HTTP API for callers."""

from __future__ import annotations

import asyncio
import urllib.parse
from typing import Any, Literal

import msgspec
from sanic import Request, Sanic
from sanic.exceptions import SanicException
from sanic.http import Http
from sanic.response import HTTPResponse

from currantbarrow.entry.http_server import create_app, json_response
from currantbarrow.entry.node import EntryNode
from currantbarrow.entry.problems import (
    error_response,
    http_error_response,
    internal_error_response,
    refusal_response,
)
from currantbarrow.entry.submission import (
    MAX_TIME_MS,
    creation_time_ms,
    read_name,
    read_submission,
)
from currantbarrow.exceptions import CurrantbarrowError, JobInvalid
from currantbarrow.jobs import JobAnswer, JobStatus, TaskState
from currantbarrow.observe import logger

__all__ = ["AnswerBody", "OpenBody", "create_api"]

RESPONSE_TIMEOUT_S = 130
REQUEST_TIMEOUT_S = 30
# A submission with `wait: false` waits this long, so that the response can report a refusal.
EARLY_ANSWER_TIMEOUT_S = 0.02
BODY_READ_FACTOR = 2
JSON_TYPE_SUFFIXES = ("application/json", "+json")


class TaskBody(msgspec.Struct, omit_defaults=True):
    """Show one task of an answer."""

    state: TaskState
    value: Any = None
    error: str = ""


class AnswerBody(msgspec.Struct):
    """Show the answer of a job."""

    key: str
    status: JobStatus
    tasks: list[TaskBody]
    code: str = ""
    reason: str = ""


class OpenBody(msgspec.Struct, omit_defaults=True):
    """Show a job that has no answer yet."""

    key: str
    status: Literal["open", "cancelled"]
    created_at_ms: int


def create_api(node: EntryNode, max_tasks: int, max_body_bytes: int, name: str) -> Sanic[Any, Any]:
    """Return the callers' HTTP application."""
    # An oversized body is read in full up to this factor, because a connection can only stay
    # open after the refusal if its request was read to the end.
    app = create_app(name, max_body_bytes * BODY_READ_FACTOR, node.requests)
    app.config.RESPONSE_TIMEOUT = RESPONSE_TIMEOUT_S
    app.config.REQUEST_TIMEOUT = REQUEST_TIMEOUT_S
    _route_jobs(app, node, max_tasks, max_body_bytes)
    _route_health(app, node)
    _handle_errors(app, node)
    return app


def _route_jobs(app: Sanic[Any, Any], node: EntryNode, max_tasks: int, max_body_bytes: int) -> None:
    @app.post("/v1/jobs")
    async def submit(request: Request) -> HTTPResponse:
        _close_connection_if_draining(request, node)
        _check_body(request, max_body_bytes)
        job, wait = read_submission(request.body, max_tasks)
        if wait:
            return _answer_response(job.key, await node.submit(job))
        submission = node.submit_in_background(job)
        await asyncio.wait([submission], timeout=EARLY_ANSWER_TIMEOUT_S)
        if submission.done():
            return _answer_response(job.key, submission.result())
        query = urllib.parse.urlencode(
            {"customer": job.customer, "created_at_ms": job.created_at_ms}
        )
        location = f"/v1/jobs/{urllib.parse.quote(job.key, safe='')}?{query}"
        body = OpenBody(job.key, "open", job.created_at_ms)
        return json_response(body, 202, headers={"Location": location})

    @app.get("/v1/jobs/<key:str>", unquote=True)
    async def show(request: Request, key: str) -> HTTPResponse:
        _close_connection_if_draining(request, node)
        customer, created_at_ms = _read_query(request, key)
        answer = await node.router.show(customer, key, created_at_ms)
        if answer is None:
            return json_response(OpenBody(key, "open", created_at_ms), 202)
        return _answer_response(key, answer)

    @app.delete("/v1/jobs/<key:str>", unquote=True)
    async def cancel(request: Request, key: str) -> HTTPResponse:
        _close_connection_if_draining(request, node)
        customer, created_at_ms = _read_query(request, key)
        answer = await node.router.cancel(customer, key, created_at_ms)
        if answer is None:
            # The job has not been submitted yet; it will be refused when it is.
            return json_response(OpenBody(key, "cancelled", created_at_ms), 202)
        return json_response(_answer_body(key, answer))


def _route_health(app: Sanic[Any, Any], node: EntryNode) -> None:
    @app.get("/healthz")
    async def healthz(request: Request) -> HTTPResponse:
        return json_response({"status": "ok"})

    @app.get("/readyz")
    async def readyz(request: Request) -> HTTPResponse:
        ready = node.is_ready()
        return json_response({"ready": ready}, 200 if ready else 503)


def _handle_errors(app: Sanic[Any, Any], node: EntryNode) -> None:
    @app.exception(CurrantbarrowError)
    async def handle_error(request: Request, error: CurrantbarrowError) -> HTTPResponse:
        node.metrics.incr(f"api.error.{error.code}")
        return error_response(error)

    @app.exception(SanicException)
    async def handle_http_error(request: Request, error: SanicException) -> HTTPResponse:
        node.metrics.incr(f"api.http_error.{error.status_code}")
        return http_error_response(error)

    @app.exception(Exception)
    async def handle_unexpected(request: Request, error: Exception) -> HTTPResponse:
        node.metrics.incr("api.internal_error")
        logger.error(
            "unhandled exception in a caller's request",
            exc_info=error,
            extra={"path": request.path},
        )
        return internal_error_response()


def _close_connection_if_draining(request: Request, node: EntryNode) -> None:
    """Close the connection after this response, so that its caller connects to another entry."""
    if node.draining and isinstance(request.stream, Http):
        request.stream.keep_alive = False


def _check_body(request: Request, max_body_bytes: int) -> None:
    if len(request.body) > max_body_bytes:
        message = f"a body has at most {max_body_bytes} bytes"
        raise JobInvalid(message, code="body_too_large")
    content_type = request.headers.get("content-type", JSON_TYPE_SUFFIXES[0])
    media_type = content_type.partition(";")[0].strip().lower()
    if not media_type.endswith(JSON_TYPE_SUFFIXES):
        message = f"the body has to be application/json, not {media_type}"
        raise JobInvalid(message, field="content-type", code="content_type_unsupported")


def _answer_response(key: str, answer: JobAnswer) -> HTTPResponse:
    if answer.status is JobStatus.REFUSED:
        return refusal_response(answer)
    return json_response(_answer_body(key, answer))


def _answer_body(key: str, answer: JobAnswer) -> AnswerBody:
    tasks = [TaskBody(task.state, task.value, task.error) for task in answer.tasks]
    return AnswerBody(key, answer.status, tasks, answer.code, answer.reason)


def _read_query(request: Request, key: str) -> tuple[str, int]:
    read_name(key, "key")
    customer = read_name(request.args.get("customer"), "customer")
    time_text = request.args.get("created_at_ms")
    if time_text is None:
        return customer, creation_time_ms(key, None)
    if not time_text.isascii() or not time_text.isdigit() or int(time_text[:20]) > MAX_TIME_MS:
        message = f"created_at_ms is a whole number up to {MAX_TIME_MS}"
        raise JobInvalid(message, field="created_at_ms")
    return customer, int(time_text)
