"""Serve callers over HTTP."""

from __future__ import annotations

from typing import Any

import msgspec
from sanic import Request, Sanic
from sanic.exceptions import SanicException
from sanic.response import HTTPResponse

from currantbarrow.entry.node import EntryNode
from currantbarrow.entry.submission import creation_time_ms, read_submission
from currantbarrow.exceptions import (
    CurrantbarrowError,
    JobConflict,
    JobInvalid,
    JobUnknown,
    OwnershipError,
)
from currantbarrow.jobs import JobAnswer, JobStatus

__all__ = ["HttpServer", "create_api", "serve_app"]

JSON = "application/json"
PROBLEM = "application/problem+json"
OWNER_RETRY_AFTER_S = 2
STATUS_BY_ERROR: list[tuple[type[CurrantbarrowError], int]] = [
    (JobInvalid, 422),
    (JobConflict, 409),
    (JobUnknown, 404),
    (OwnershipError, 503),
    (CurrantbarrowError, 500),
]
STATUS_BY_CODE = {"json_invalid": 400, "never_runs": 422, "cancelled": 409}
REFUSED_STATUS = 503
OVERLOADED_STATUS = 429


class TaskBody(msgspec.Struct, omit_defaults=True):
    """Show one task of an answer."""

    state: str
    value: Any = None
    error: str = ""


class AnswerBody(msgspec.Struct):
    """Show the answer of a job."""

    key: str
    status: str
    tasks: list[TaskBody]
    code: str = ""
    reason: str = ""


class ProblemBody(msgspec.Struct, omit_defaults=True):
    """Show a refusal or an error, as RFC 9457 has it."""

    type: str
    title: str
    status: int
    code: str
    detail: str = ""
    field: str = ""
    not_run: bool | None = None
    retry_after_ms: int = 0


def create_api(node: EntryNode, max_tasks: int, max_body_bytes: int, name: str) -> Sanic[Any, Any]:
    """Return the application that callers reach."""
    app: Sanic[Any, Any] = Sanic(name, configure_logging=False)
    app.config.REQUEST_MAX_SIZE = max_body_bytes
    app.config.RESPONSE_TIMEOUT = 130
    app.config.REQUEST_TIMEOUT = 30

    @app.post("/v1/jobs")
    async def submit(request: Request) -> HTTPResponse:
        job, wait = read_submission(request.body, max_tasks)
        if not wait:
            node.submit_in_background(job)
            return _json({"key": job.key, "created_at_ms": job.created_at_ms}, 202)
        return _answer(job.key, await node.submit(job))

    @app.get("/v1/jobs/<key:str>")
    async def show(request: Request, key: str) -> HTTPResponse:
        customer, created_at_ms = _read_query(request, key)
        answer = await node.router.show(customer, key, created_at_ms)
        if answer is None:
            return _json({"key": key, "status": "open"}, 202)
        return _answer(key, answer)

    @app.delete("/v1/jobs/<key:str>")
    async def cancel(request: Request, key: str) -> HTTPResponse:
        customer, created_at_ms = _read_query(request, key)
        answer = await node.router.cancel(customer, key, created_at_ms)
        if answer is None:
            return _json({"key": key, "status": "cancelled before it came"}, 202)
        return _json(_describe(key, answer), 200)

    @app.get("/healthz")
    async def healthz(request: Request) -> HTTPResponse:
        return _json({"status": "ok"}, 200)

    @app.get("/readyz")
    async def readyz(request: Request) -> HTTPResponse:
        ready = node.is_ready()
        return _json({"ready": ready}, 200 if ready else 503)

    _handle_errors(app)
    return app


class HttpServer:
    """Hold a running HTTP server."""

    __slots__ = ("_server",)

    def __init__(self, server: Any) -> None:
        self._server = server

    async def stop(self) -> None:
        """Stop serving and close the connections."""
        self._server.close()
        await self._server.wait_closed()


async def serve_app(app: Sanic[Any, Any], address: str) -> HttpServer:
    """Serve an application inside the running loop, in this one process."""
    # Rewriting the server's classes for one application breaks the next one of the process.
    app.config.TOUCHUP = False
    host, _, port = address.rpartition(":")
    server: Any = await app.create_server(
        host=host, port=int(port), return_asyncio_server=True, access_log=False
    )
    if server is None:
        raise RuntimeError("the HTTP server did not start")
    await server.startup()
    await server.start_serving()
    return HttpServer(server)


def _handle_errors(app: Sanic[Any, Any]) -> None:
    @app.exception(CurrantbarrowError)
    async def handle(request: Request, error: CurrantbarrowError) -> HTTPResponse:
        status = next(status for kind, status in STATUS_BY_ERROR if isinstance(error, kind))
        status = STATUS_BY_CODE.get(error.code, status)
        # A submission with a mistake was not let in; an owner that cannot be reached
        # may know an earlier copy of the job, so nothing is said about that.
        not_run = True if isinstance(error, JobInvalid) else None
        body = ProblemBody(
            f"urn:currantbarrow:{error.code}",
            type(error).__name__,
            status,
            error.code,
            str(error),
            getattr(error, "field", ""),
            not_run,
        )
        headers = {"Retry-After": str(OWNER_RETRY_AFTER_S)} if status == REFUSED_STATUS else {}
        return _json(body, status, PROBLEM, headers)

    @app.exception(SanicException)
    async def handle_http(request: Request, error: SanicException) -> HTTPResponse:
        body = ProblemBody(
            "urn:currantbarrow:http_error",
            type(error).__name__,
            error.status_code,
            "http_error",
            str(error),
        )
        return _json(body, error.status_code, PROBLEM)


def _answer(key: str, answer: JobAnswer) -> HTTPResponse:
    if answer.status is not JobStatus.REFUSED:
        return _json(_describe(key, answer), 200)
    status = OVERLOADED_STATUS if answer.code == "overloaded" else REFUSED_STATUS
    status = STATUS_BY_CODE.get(answer.code, status)
    body = ProblemBody(
        f"urn:currantbarrow:{answer.code}",
        "the job was refused",
        status,
        answer.code,
        answer.reason,
        "",
        answer.not_run,
        answer.retry_after_ms,
    )
    headers = {}
    if answer.retry_after_ms:
        headers["Retry-After"] = str(-(-answer.retry_after_ms // 1000))
    return _json(body, status, PROBLEM, headers)


def _describe(key: str, answer: JobAnswer) -> AnswerBody:
    tasks = [TaskBody(task.state, task.value, task.error) for task in answer.tasks]
    return AnswerBody(key, answer.status, tasks, answer.code, answer.reason)


def _read_query(request: Request, key: str) -> tuple[str, int]:
    customer = request.args.get("customer")
    if not customer:
        raise JobInvalid("the customer is missing", field="customer")
    given = request.args.get("created_at_ms")
    if given is not None and not given.isdigit():
        raise JobInvalid("created_at_ms is a whole number", field="created_at_ms")
    return customer, creation_time_ms(key, int(given) if given else None)


def _json(
    body: Any, status: int, content_type: str = JSON, headers: dict[str, str] | None = None
) -> HTTPResponse:
    return HTTPResponse(msgspec.json.encode(body), status, headers or {}, content_type)
