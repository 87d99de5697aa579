"""Send planned jobs to entries at their scheduled times."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import aiohttp
import msgspec

from currantbarrow.load.report import LoadReport
from currantbarrow.load.workload import PlannedJob

__all__ = ["run_load"]

REQUEST_TIMEOUT_S = 60.0
RESUBMIT_AFTER_S = 0.05
CANCEL_AFTER_S = 0.05
HTTP_OK = 200
JSON_HEADERS = {"Content-Type": "application/json"}

OnScheduled = Callable[[PlannedJob], None]


class _Answer(msgspec.Struct):
    # The status of the job; in a problem response, the HTTP status.
    status: str | int = "refused"
    tasks: list[Any] = []
    code: str = ""


async def run_load(
    jobs: Iterable[PlannedJob],
    entry_urls: Sequence[str],
    report: LoadReport,
    seed: int,
    on_scheduled: OnScheduled = lambda job: None,
) -> None:
    """Send each job at its scheduled time, regardless of how many are unanswered.

    on_scheduled is called once the task that sends a job is created, before the job is sent.
    """
    rng = random.Random(seed)
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    connector = aiohttp.TCPConnector(limit=0)
    began_s = time.monotonic()
    async with (
        aiohttp.ClientSession(
            timeout=timeout, connector=connector, headers=JSON_HEADERS
        ) as session,
        asyncio.TaskGroup() as group,
    ):
        for job in jobs:
            await asyncio.sleep(max(0.0, began_s + job.at_s - time.monotonic()))
            group.create_task(_send(session, job, rng.choice(entry_urls), report))
            if job.resubmit:
                group.create_task(_resubmit(session, job, rng.choice(entry_urls)))
            if job.cancel:
                group.create_task(_cancel(session, job, rng.choice(entry_urls)))
            on_scheduled(job)


async def _send(
    session: aiohttp.ClientSession, job: PlannedJob, url: str, report: LoadReport
) -> None:
    began_s = time.monotonic()
    answer = await _post(session, job, url)
    response_ms = (time.monotonic() - began_s) * 1000
    report.record_answer(job, str(answer.status), answer.code, len(answer.tasks), response_ms)


async def _resubmit(session: aiohttp.ClientSession, job: PlannedJob, url: str) -> None:
    await asyncio.sleep(RESUBMIT_AFTER_S)
    await _post(session, job, url)


async def _cancel(session: aiohttp.ClientSession, job: PlannedJob, url: str) -> None:
    await asyncio.sleep(CANCEL_AFTER_S)
    params = {"customer": job.customer}
    # The outcome of the job shows whether a cancellation without an answer took effect.
    with contextlib.suppress(aiohttp.ClientError, TimeoutError):
        async with session.delete(f"{url}/v1/jobs/{job.key}", params=params) as response:
            await response.read()


async def _post(session: aiohttp.ClientSession, job: PlannedJob, url: str) -> _Answer:
    tasks = [
        {"payload": {"run_ms": run_ms}, "declared_ms": run_ms, "idempotent": job.idempotent}
        for run_ms in job.run_ms
    ]
    body = {"key": job.key, "customer": job.customer, "class": job.job_class, "tasks": tasks}
    try:
        async with session.post(f"{url}/v1/jobs", data=msgspec.json.encode(body)) as response:
            content = await response.read()
        answer = msgspec.json.decode(content, type=_Answer)
    except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError) as error:
        return _Answer("no answer", [], type(error).__name__)
    if response.status == HTTP_OK:
        return answer
    return _Answer("refused", [], answer.code)
