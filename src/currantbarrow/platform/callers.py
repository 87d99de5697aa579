"""Serve the HTTP API for the platform's callers."""

from __future__ import annotations

import asyncio
import math

import msgspec
from aiohttp import web

from currantbarrow.direct.admission import Refusal
from currantbarrow.direct.entry import DirectEntry
from currantbarrow.direct.job import OpenJob
from currantbarrow.direct.model import JobState, WorkQueue
from currantbarrow.direct.standings import CancelOutcome
from currantbarrow.exceptions import JobInvalid
from currantbarrow.intake.web import take_body
from currantbarrow.observe import logger
from currantbarrow.platform.connections import CallConnection
from currantbarrow.platform.jobs import is_job_id, parse_job
from currantbarrow.platform.serving import REFUSE_UNRECEIVED
from currantbarrow.protocol.direct import Standing
from currantbarrow.types import Metrics

__all__ = ["CallersApi", "create_callers_app", "create_readiness_app"]

TIMEOUT_HEADER = "X-Deadline-Ms"
# Retry-After while this entry has not received a configuration.
UNCONFIGURED_RETRY_S = 1
UNSUPPORTED_RETRY_S = 30
# Retry-After while processes that may have a cancelled job do not answer.
UNCONFIRMED_RETRY_S = 1
READY_PATH = "/currantbarrow/readiness"
STATE_BY_STANDING = {
    Standing.OPEN: "running",
    Standing.COMPLETED: "completed",
    Standing.FAILED: "failed",
    Standing.CANCELLED: "cancelled",
}


class _StateBody(msgspec.Struct):
    state: str


class _CountBody(msgspec.Struct):
    pending: int


class _ErrorBody(msgspec.Struct):
    code: str
    detail: str = ""


class CallersApi:
    """Translate callers' requests into calls of the entry, and its answers into responses."""

    def __init__(self, entry: DirectEntry, metrics: Metrics) -> None:
        self._entry = entry
        self._metrics = metrics

    async def handle(self, request: web.Request) -> web.Response:
        """Answer one request."""
        response = await self._answer(request)
        if self._entry.draining:
            # Close the connection, so that the caller's next request goes to another entry.
            response.force_close()
        return response

    def refuse_unreceived(self, request: web.Request, reason: str) -> web.Response:
        """Refuse a request that is not received whole, since clients take too much together."""
        job_id = request.path.rpartition("/")[2]
        refusal = self._entry.refuse_unreceived(job_id, reason)
        logger.info(
            "job refused",
            extra={"job": job_id, "reason": reason, "may_have_run": refusal.may_have_run},
        )
        return _answer_refusal(refusal)

    async def _answer(self, request: web.Request) -> web.Response:
        configured = self._entry.current_configuration
        if configured is None:
            return _refuse("no configuration yet", UNCONFIGURED_RETRY_S)
        queue = configured.find(request.host.partition(":")[0], request.path)
        if queue is None:
            self._metrics.incr("entry.unknown_queue")
            return _reply(404, _ErrorBody("unknown_queue"))
        job_id = request.path[len(queue.path_prefix) :]
        if request.method == "POST":
            return await self._submit(request, queue, job_id)
        if request.method == "GET":
            return self._get_state(queue, job_id)
        if request.method == "DELETE":
            # Entries remember each cancelling, so others must not be able to fill their memory.
            if not is_job_id(job_id):
                return _reply(410, _ErrorBody("job_unknown"))
            return _report_cancelling(await self._entry.cancel(job_id))
        return _reply(405, _ErrorBody("method_not_allowed"))

    def _get_state(self, queue: WorkQueue, job_id: str) -> web.Response:
        if not job_id:
            return _reply(200, _CountBody(self._entry.dispatcher.count_unstarted(queue.name)))
        state = STATE_BY_STANDING.get(self._entry.standing_of(job_id))
        if state is None:
            return _reply(410, _ErrorBody("job_unknown"))
        return _reply(200, _StateBody(state))

    async def _submit(self, request: web.Request, queue: WorkQueue, job_id: str) -> web.Response:
        try:
            spec = parse_job(job_id, await take_body(request))
        except JobInvalid as error:
            return self._refuse_invalid(job_id, queue, error)
        if queue.needs_placement_advice:
            return self._refuse_invalid(
                job_id, queue, JobInvalid("not served: advice", code="unsupported")
            )
        outcome = await self._entry.submit(
            spec, queue, _read_timeout_ms(request), CallConnection(request)
        )
        if isinstance(outcome, Refusal):
            return _answer_refusal(outcome)
        if isinstance(outcome, OpenJob):
            return await self._wait_for_end(outcome)
        return _reply(200, _StateBody(STATE_BY_STANDING[outcome]))

    def _refuse_invalid(self, job_id: str, queue: WorkQueue, error: JobInvalid) -> web.Response:
        self._metrics.incr(f"entry.job_refused.{error.code}")
        logger.info(
            "job refused",
            extra={"job": job_id, "queue": queue.name, "reason": error.code, "error": str(error)},
        )
        if error.code == "unsupported":
            return _refuse(str(error), UNSUPPORTED_RETRY_S)
        return _reply(400, _ErrorBody(error.code, str(error)))

    async def _wait_for_end(self, job: OpenJob) -> web.Response:
        job.waiters += 1
        try:
            await job.ended.wait()
        except asyncio.CancelledError:
            if job.waiters == 1:
                self._entry.dispatcher.abandon(job)
            raise
        finally:
            job.waiters -= 1
        match job.state:
            case JobState.COMPLETED:
                return _reply(200, _StateBody("completed"))
            case JobState.FAILED:
                return _reply(200, _StateBody("failed"))
            case JobState.CANCELLED:
                return _reply(200, _StateBody("cancelled"))
            case JobState.REFUSED if job.highest_attempt():
                return _refuse_interrupted(job.reason, job.retry_after_s)
            case JobState.REFUSED:
                return _refuse(job.reason, job.retry_after_s)
            case _:
                # Another entry has the job, or this one is shutting down: the caller retries there.
                return _reply(502, _ErrorBody("job_moved"))


def create_callers_app(entry: DirectEntry, metrics: Metrics) -> web.Application:
    """Return the application that serves callers."""
    app = web.Application(client_max_size=1024 * 1024)
    api = CallersApi(entry, metrics)
    app[REFUSE_UNRECEIVED] = api.refuse_unreceived
    app.router.add_route("*", "/{path:.*}", api.handle)
    return app


def create_readiness_app(entry: DirectEntry) -> web.Application:
    """Return the application that serves the load balancer's readiness checks."""

    async def ready(request: web.Request) -> web.Response:
        return web.Response(status=200 if entry.is_ready() else 503)

    app = web.Application()
    app.router.add_get(READY_PATH, ready)
    return app


def _read_timeout_ms(request: web.Request) -> float:
    try:
        timeout_ms = float(request.headers.get(TIMEOUT_HEADER, 0))
    except ValueError:
        return 0.0
    return timeout_ms if 0 < timeout_ms < math.inf else 0.0


def _reply(status: int, body: msgspec.Struct) -> web.Response:
    return web.Response(
        status=status, body=msgspec.json.encode(body), content_type="application/json"
    )


def _report_cancelling(outcome: CancelOutcome) -> web.Response:
    match outcome:
        case CancelOutcome.CANCELLED:
            return _reply(200, _StateBody("cancelled"))
        case CancelOutcome.UNKNOWN:
            return _reply(410, _StateBody("cancelled"))
        case CancelOutcome.UNCONFIRMED:
            response = _reply(504, _ErrorBody("cancelling_unconfirmed"))
            response.headers["Retry-After"] = str(UNCONFIRMED_RETRY_S)
            return response


def _answer_refusal(refusal: Refusal) -> web.Response:
    refuse = _refuse_interrupted if refusal.may_have_run else _refuse
    return refuse(refusal.reason, refusal.retry_after_s)


def _refuse(reason: str, retry_after_s: int) -> web.Response:
    response = _reply(503, _ErrorBody("not_run", reason))
    response.headers["Retry-After"] = str(retry_after_s)
    return response


def _refuse_interrupted(reason: str, retry_after_s: int) -> web.Response:
    """Refuse a job of which tasks may have run after an earlier submission."""
    response = _reply(502, _ErrorBody("interrupted", reason))
    response.headers["Retry-After"] = str(retry_after_s)
    return response
