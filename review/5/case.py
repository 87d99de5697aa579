"""Submit jobs whose tasks have to be on different workers, after a release of the workers."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib"))

from deployment import PREFIX, Caller, CaseError, Deployment, job_body, new_job_id, run_case

# One of three workers; the site file replaces a share of 0.45 of them.
RELEASED = 1
JOBS = 6
LIMIT = 1
TASKS = 3


def largest_count(deployment: Deployment, job: str) -> int:
    """Return the largest number of a step's tasks that ran at the same time on one worker."""
    running: dict[str, set[str]] = {}
    largest = 0
    for _, task, _, what, life in deployment.events(job):
        tasks = running.setdefault(life, set())
        if what == "start":
            tasks.add(task)
        else:
            tasks.discard(task)
        largest = max(largest, len(tasks))
    return largest


async def scenario(deployment: Deployment, trouble: bool) -> bool:
    """Return whether no worker ran more tasks of a step than `anti_affinity` allows."""
    if trouble:
        for worker, side in list(zip(deployment.workers, deployment.sides, strict=True))[:RELEASED]:
            control = side.settings["listen_addrs"]["control"]
            await worker.release(control, with_birth=True)
            await asyncio.sleep(1.0)
    await asyncio.sleep(4.0)
    caller = Caller(deployment)
    counts = []
    for number in range(JOBS):
        job = new_job_id()
        body = job_body([0.6], TASKS, anti_affinity=LIMIT)
        _, answer = await caller.call(number % 3, "POST", PREFIX + job, body)
        if answer is None or answer[0] != 200:
            raise CaseError("a job was not done")
        counts.append(largest_count(deployment, job))
        deployment.record.write(f"job {job}: at most {counts[-1]} tasks on a worker at a time")
    deployment.record.write(f"most tasks of a step on a worker: {max(counts)}, allowed: {LIMIT}")
    return max(counts) <= LIMIT


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent / "record.txt", scenario)
