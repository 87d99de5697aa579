"""Measure the CPU time of jobs over HTTP, and the resident memory after start-up."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import threading
import time
import uuid

import aiohttp

from currantbarrow.bench.slopes_figures import Slope, fit_slope
from currantbarrow.bench.slopes_links import LOADED_SIDES, create_testbed
from currantbarrow.entry.api import create_api
from currantbarrow.entry.http_server import serve_app
from currantbarrow.intake import create_intake, create_limits
from currantbarrow.listening import bind_address, bound_address

__all__ = ["measure_callers"]

JOBS_PER_S = 40
LOAD_DURATION_S = 6.0
TASK_COUNTS = (1, 10, 25)
TASK_RUN_MS = 50.0
MAX_TASKS = 220
MAX_BODY_BYTES = 4_000_000
MEMORY_MB, DESCRIPTORS = 300, 4096
RESIDENT_MEMORY_CODE = "from pathlib import Path; import resource, {module}; print("
RESIDENT_MEMORY_CODE += (
    "int(Path('/proc/self/statm').read_text().split()[1]) * resource.getpagesize() // 1024)"
)


class CallerThread(threading.Thread):
    """Run callers in a separate thread, whose CPU time is not counted."""

    def __init__(self, url: str, tasks: int) -> None:
        super().__init__()
        self.completed_jobs = 0
        self._url = url
        self._tasks = tasks

    def run(self) -> None:
        """Submit jobs at a constant rate and wait for all answers."""
        asyncio.run(self._submit_all())

    async def _submit_all(self) -> None:
        async with aiohttp.ClientSession() as session:
            submissions = []
            end_s = time.monotonic() + LOAD_DURATION_S
            while time.monotonic() < end_s:
                submissions.append(asyncio.create_task(self._submit(session)))
                await asyncio.sleep(1 / JOBS_PER_S)
            await asyncio.gather(*submissions)

    async def _submit(self, session: aiohttp.ClientSession) -> None:
        task = {"payload": {"run_ms": TASK_RUN_MS}, "declared_ms": TASK_RUN_MS}
        body = {
            "key": str(uuid.uuid4()),
            "customer": "team-1",
            "class": "quote",
            "created_at_ms": int(time.time() * 1000),
            "tasks": [task] * self._tasks,
        }
        async with session.post(f"{self._url}/v1/jobs", json=body) as response:
            await response.read()
            self.completed_jobs += response.status == 200


async def measure_callers() -> list[Slope]:
    """Return the CPU time of a job over HTTP, and the resident memory after the imports."""
    testbed = await create_testbed(LOADED_SIDES)
    await testbed.start_entries(1, LOADED_SIDES)
    listener = bind_address("127.0.0.1:0", "callers")
    api = create_api(testbed.entries[0], MAX_TASKS, MAX_BODY_BYTES, "slopes")
    limits = create_limits(MEMORY_MB, DESCRIPTORS)
    intake = create_intake("callers", limits, testbed.entries[0].metrics)
    server = await serve_app(api, listener, intake)
    points = [(n, await _measure_jobs(f"http://{bound_address(listener)}", n)) for n in TASK_COUNTS]
    await server.stop()
    await testbed.stop()
    over = "task of a job, whole way over HTTP"
    jobs = fit_slope("one job", "entry", over, "ms CPU", points)
    return [jobs, *(_measure_imports(role) for role in ("entry", "side"))]


async def _measure_jobs(url: str, tasks: int) -> float:
    callers = CallerThread(url, tasks)
    began_s = time.thread_time()
    callers.start()
    while callers.is_alive():
        await asyncio.sleep(0.05)
    used_ms = (time.thread_time() - began_s) * 1000
    return used_ms / callers.completed_jobs


def _measure_imports(role: str) -> Slope:
    code = RESIDENT_MEMORY_CODE.format(module=f"currantbarrow.{role}.main")
    process = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True)
    kib = float(process.stdout)
    return Slope("resident after the imports", role, "process", "KiB", kib, 0.0, [(1, kib)])
