"""Measure response times and throughput of a running fleet with tasks that take no time."""

from __future__ import annotations

import argparse
import asyncio
import collections
import time
import uuid
from collections.abc import Sequence

import aiohttp
import msgspec
import uvloop

__all__ = ["main"]

WARM_UP_JOBS = 200
COMPLETE = "complete"
JSON_HEADERS = {"Content-Type": "application/json"}


class _Options(argparse.Namespace):
    entry: str
    job_class: str
    jobs: int
    tasks: int
    at_once: int


class _Answer(msgspec.Struct):
    status: str | int
    code: str = ""


class _Figures(msgspec.Struct):
    jobs: int
    tasks: int
    not_complete: dict[str, int]
    seconds: float
    tasks_per_s: float
    response_p50_ms: float
    response_p99_ms: float


async def _measure(options: _Options) -> _Figures:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector, headers=JSON_HEADERS) as session:
        await _run(session, options, WARM_UP_JOBS)
        began_s = time.perf_counter()
        responses_ms, codes = await _run(session, options, options.jobs)
        seconds = time.perf_counter() - began_s
    tasks = options.jobs * options.tasks
    return _Figures(
        options.jobs,
        tasks,
        dict(codes),
        round(seconds, 3),
        round(tasks / seconds, 1),
        _percentile(responses_ms, 50),
        _percentile(responses_ms, 99),
    )


async def _run(
    session: aiohttp.ClientSession, options: _Options, jobs: int
) -> tuple[list[float], collections.Counter[str]]:
    """Send jobs from concurrent senders; return response times in ms and counted failures."""
    responses_ms: list[float] = []
    codes: collections.Counter[str] = collections.Counter()
    remaining = jobs

    async def send_remaining() -> None:
        nonlocal remaining
        while remaining > 0:
            remaining -= 1
            began_s = time.perf_counter()
            code = await _submit_job(session, options)
            if code:
                codes[code] += 1
            responses_ms.append((time.perf_counter() - began_s) * 1000)

    await asyncio.gather(*(send_remaining() for _ in range(options.at_once)))
    return responses_ms, codes


async def _submit_job(session: aiohttp.ClientSession, options: _Options) -> str:
    """Submit a job and return the failure's status and code, empty if it is complete."""
    body = {
        # Not a UUIDv7: its time runs ahead of the clock if several are made in a millisecond.
        "key": uuid.uuid4().hex,
        "created_at_ms": time.time_ns() // 1_000_000,
        "customer": "measure",
        "class": options.job_class,
        "tasks": [{"payload": {"run_ms": 0}}] * options.tasks,
    }
    url = f"{options.entry}/v1/jobs"
    async with session.post(url, data=msgspec.json.encode(body)) as response:
        content = await response.read()
    answer = msgspec.json.decode(content, type=_Answer)
    return "" if answer.status == COMPLETE else f"{response.status} {answer.code}"


def _percentile(values: Sequence[float], percent: int) -> float:
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, len(ordered) * percent // 100)], 3)


def main() -> None:
    """Run the program."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entry", required=True, help="the callers' URL of an entry process")
    parser.add_argument("--job-class", default="measure")
    parser.add_argument("--jobs", type=int, default=2000)
    parser.add_argument("--tasks", type=int, default=1, help="tasks per job")
    parser.add_argument("--at-once", type=int, default=1, help="number of concurrent jobs")
    figures = uvloop.run(_measure(parser.parse_args(namespace=_Options())))
    print(msgspec.json.format(msgspec.json.encode(figures)).decode())


if __name__ == "__main__":
    main()
