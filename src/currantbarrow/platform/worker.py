"""Control the worker on this host over HTTP."""

from __future__ import annotations

from typing import Any

import msgspec

from currantbarrow.decoding import Count, Integer, Number, decode_json
from currantbarrow.direct.worker import (
    PollResult,
    RunName,
    RunSpec,
    StartAnswer,
    StartVerdict,
    WorkerEnd,
)
from currantbarrow.exceptions import (
    CallRefused,
    CallUnsent,
    LinkError,
    ValueUndecodable,
    WorkerAbsent,
    WorkerReplaced,
    WorkerSilent,
    WorkerUnreached,
)
from currantbarrow.platform.http import HttpClient, HttpResponse
from currantbarrow.protocol.direct import RunEnd

__all__ = ["HttpWorkerControl"]

START_PATH = "/currantbarrow/run-start"
STOP_PATH = "/currantbarrow/run-stop"
POLL_PATH = "/currantbarrow/hold"
INSTANCE_HEADER = "X-Expected-Instance"
CONNECTIONS = 24
# Commands are lost one by one on a lossy path, and new connections to a worker are expensive.
TOLERATED_TIMEOUTS = 1
# The only occurrence of a job that is not repeated.
OCCURRENCE = 0
MISDIRECTED = 421
VERDICT_BY_REASON = {
    "fence": StartVerdict.FENCED,
    "old": StartVerdict.OUTDATED,
    "late": StartVerdict.LEASE_EXPIRED,
    "room": StartVerdict.INSUFFICIENT_RESOURCES,
}
RUN_END_BY_REASON = {
    "done": RunEnd.DONE,
    "failed": RunEnd.FAILED,
    "stopped": RunEnd.STOPPED,
    "lapsed": RunEnd.LOST,
    "broken": RunEnd.LOST,
    "alone": RunEnd.LOST,
}


class _StartBody(msgspec.Struct):
    task: str
    run: int
    spec: str
    until_ms: int
    fencing_token: int


class _StopBody(msgspec.Struct):
    task: str
    run: int
    fencing_token: int


class _PollBody(msgspec.Struct, omit_defaults=True):
    fencing_token: int
    # Position up to which the worker may discard reported ends.
    observed: int | None = None
    until_ms: int | None = None
    wait_ms: int | None = None


class _ClockReply(msgspec.Struct):
    clock_ms: Number | None = None
    reason: str = ""


class _PollReply(msgspec.Struct):
    clock_ms: Number
    born: Count = 0
    # Rows of task, run, checkpoint and percent at work; only the first two are used.
    running: list[list[msgspec.Raw]] = []
    # Rows of position, task, run, reason of the end and checkpoint; the last is not used.
    finished: list[list[msgspec.Raw]] = []


class HttpWorkerControl:
    """Control the worker on this host."""

    __slots__ = ("_http",)

    def __init__(self, address: str) -> None:
        self._http = HttpClient(address, CONNECTIONS, tolerated_timeouts=TOLERATED_TIMEOUTS)

    async def start(
        self, worker: str, run: RunSpec, lease_until_ms: float, token: int, timeout_ms: float
    ) -> StartAnswer:
        """Start a run."""
        body = _StartBody(
            _task_name(run.name), run.name.number, run.payload, int(lease_until_ms), token
        )
        answer = await self._post(worker, START_PATH, body, timeout_ms)
        reply = _read_clock(answer)
        if answer.status == 200:
            verdict = StartVerdict.STARTED
        elif answer.status == 409:
            verdict = VERDICT_BY_REASON.get(reply.reason, StartVerdict.INVALID)
        elif answer.status in (429, 503):
            verdict = StartVerdict.UNHEALTHY
        elif answer.status == 400:
            verdict = StartVerdict.INVALID
        else:
            raise WorkerSilent(f"{START_PATH}: status {answer.status}")
        return StartAnswer(verdict, reply.clock_ms)

    async def stop(self, worker: str, run: RunName, token: int, timeout_ms: float) -> bool:
        """Stop a run; return False if the token is fenced."""
        body = _StopBody(_task_name(run), run.number, token)
        answer = await self._post(worker, STOP_PATH, body, timeout_ms)
        if answer.status == 409:
            return False
        if answer.status != 200:
            raise WorkerSilent(f"{STOP_PATH}: status {answer.status}")
        return True

    async def poll(
        self,
        worker: str,
        token: int,
        *,
        acknowledged_end: int,
        lease_until_ms: float | None,
        wait_ms: float,
        timeout_ms: float,
    ) -> PollResult | None:
        """Return the running and ended runs, or None if the token is fenced."""
        until_ms = None if lease_until_ms is None else int(lease_until_ms)
        body = _PollBody(token, acknowledged_end, until_ms, int(wait_ms) or None)
        answer = await self._post(worker, POLL_PATH, body, timeout_ms)
        if answer.status == 409:
            return None
        if answer.status != 200:
            raise WorkerSilent(f"{POLL_PATH}: status {answer.status}")
        try:
            return _read_poll_reply(decode_json(answer.body, _PollReply))
        except (ValueUndecodable, ValueError) as error:
            raise WorkerSilent(f"{POLL_PATH}: cannot decode response: {error}") from error

    async def close(self) -> None:
        """Close the connections."""
        await self._http.close()

    async def _post(
        self, worker: str, path: str, body: msgspec.Struct, timeout_ms: float
    ) -> HttpResponse:
        try:
            answer = await self._http.call(
                "POST",
                path,
                body=msgspec.json.encode(body),
                headers={"Content-Type": "application/json", INSTANCE_HEADER: worker},
                timeout_ms=timeout_ms,
            )
        except CallRefused as error:
            raise WorkerAbsent(str(error)) from error
        except CallUnsent as error:
            raise WorkerUnreached(str(error)) from error
        except LinkError as error:
            raise WorkerSilent(str(error)) from error
        if answer.status == MISDIRECTED:
            raise WorkerReplaced(f"worker instance {worker} has been replaced")
        return answer


def _task_name(name: RunName) -> str:
    return f"{name.job}.{OCCURRENCE}.{name.step}.{name.index}"


def _run_name(task: str, number: int) -> RunName:
    job, _, step, index = task.split(".")
    return RunName(job, int(step), int(index), number)


def _read_clock(answer: HttpResponse) -> _ClockReply:
    try:
        return decode_json(answer.body, _ClockReply)
    except ValueUndecodable:
        # A response without a clock is interpreted by its status alone.
        return _ClockReply()


def _decode_row(row: list[msgspec.Raw], *types: Any) -> list[Any]:
    """Decode the first items of a row; raise ValueUndecodable, or ValueError if one is missing."""
    return [decode_json(item, kind) for item, kind in zip(row[: len(types)], types, strict=True)]


def _read_poll_reply(reply: _PollReply) -> PollResult:
    running = []
    for row in reply.running:
        task, number = _decode_row(row, str, Integer)
        running.append(_run_name(task, number))
    ends = []
    for row in reply.finished:
        position, task, number, reason = _decode_row(row, Integer, str, Integer, str)
        end = RUN_END_BY_REASON.get(reason, RunEnd.LOST)
        ends.append(WorkerEnd(position, _run_name(task, number), end))
    return PollResult(reply.clock_ms, running, ends, reply.born)
