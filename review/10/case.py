"""A worker comes back as one of another kind during a short cut, and an order of before arrives."""

import asyncio
import os
import sys
import time
from pathlib import Path

from standins import Client, Record, Run, System, Worker, job_body, new_job_id, run_case

# A worker that has crashed is back after some seconds.
AWAY_S = 3.0
CUT_S = 0.8
ROUNDS = 3
REQUIRED, OTHER, THIRD = "a", "b", "c"


async def case(record: Record, trouble: bool) -> None:
    """Bring the case about, and record whether the rule is broken."""
    system = System(record, entries=2, sides=2)
    client = Client(record)
    required: dict[str, str] = {}

    def check_start(worker: Worker, run: Run) -> None:
        label = required[run.task.partition(".")[0]]
        if label not in worker.labels:
            record.break_rule(
                f"ROUTE: {run.task} requires label {label} and starts on {worker.id}, which has "
                + ",".join(worker.labels)
            )

    def create(number: int, life: int, kind: str) -> Worker:
        side = system.sides[number]
        return Worker(
            record,
            f"i-{side.name}-{life}",
            side.worker_address,
            side.control,
            labels=(kind, f"r1-{number + 1}"),
            on_start=check_start,
        )

    lives = [create(0, 1, REQUIRED), create(1, 1, THIRD)]
    try:
        await system.start(lives)
        kind, side = REQUIRED, system.sides[0]
        for number in range(ROUNDS):
            if trouble:
                await lives[0].crash()
                await asyncio.sleep(AWAY_S)
                record.write(f"{side.name} and its worker are cut off")
                side.cut.begin()
                cut_s = time.monotonic()
                lives[0] = create(0, number + 2, OTHER if kind == REQUIRED else REQUIRED)
                await asyncio.sleep(0.1)
                await lives[0].start()
                # The entries' last reports are still fresh.
                await asyncio.sleep(0.2)
            job = new_job_id()
            required[job] = kind
            body = job_body(200, requires=kind)
            submitted = asyncio.create_task(
                client.send("POST", system.entries[number % 2], job, body, 1500)
            )
            if trouble:
                await asyncio.sleep(max(0.0, cut_s + CUT_S - time.monotonic()))
                side.cut.end()
                record.write("the cut has ended")
            await submitted
            kind = next(label for label in lives[0].labels if label in (REQUIRED, OTHER))
            await asyncio.sleep(5.0)
    finally:
        await client.close()
        await system.stop()


TROUBLE = os.environ.get("TROUBLE", "1") != "0"
sys.exit(run_case(case, Path(__file__).with_name("record.txt"), trouble=TROUBLE))
