"""Measure what links and tasks cost the two ends, over real websockets on loopback."""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from asyncio.subprocess import PIPE, Process

import msgspec

from currantbarrow.bench.slopes_figures import Slope, fit_slope
from currantbarrow.bench.slopes_sides import TOKEN, resident_kib
from currantbarrow.entry import EntryNode, EntryOptions
from currantbarrow.jobs import JobAnswer, JobRequest, TaskRequest
from currantbarrow.logservice import CLASS_STREAM, ClassChanged, ClassDefinition, encode_record
from currantbarrow.logservice.client import HttpLogService, create_log_service
from currantbarrow.observe import EventRing, HybridClock, MetricsRegistry, create_clock
from currantbarrow.policy import create_policies
from currantbarrow.protocol.websocket import create_network

__all__ = ["measure_links"]

SIDE_COUNTS = (20, 80, 200)
ENTRY_COUNTS = (1, 4, 8)
TASK_RATES_PER_S = (200, 500, 1000)
SIDES_BESIDE_ENTRIES = 10
LOADED_SIDES = 60
SLOTS = 8
IDLE_S = 10.0
LOADED_S = 8.0
TASKS_OF_A_JOB = 10
TASK_RUN_MS = 50.0
READY_TIMEOUT_S = 60.0
SETTLE_S = 3.0


class Usage(msgspec.Struct):
    """Hold what a process has used so far."""

    cpu_s: float
    resident_kib: float
    bytes_sent: float
    messages_sent: float

    def since(self, before: Usage) -> Usage:
        """Return what was used after an earlier look."""
        return Usage(
            self.cpu_s - before.cpu_s,
            self.resident_kib - before.resident_kib,
            self.bytes_sent - before.bytes_sent,
            self.messages_sent - before.messages_sent,
        )


class Rig:
    """Hold entries in this process, and side processes and a log in a child."""

    def __init__(self, child: Process, url: str) -> None:
        self.entries: list[EntryNode] = []
        self.book = MetricsRegistry()
        self._child = child
        self._log: HttpLogService = create_log_service(url)

    async def start_entries(self, count: int, sides: int) -> None:
        """Start entries and wait until all links are open."""
        definition = ClassDefinition(300.0)
        record = ClassChanged("class-quote", "quote", 0, definition)
        await self._log.append(CLASS_STREAM, encode_record(record))
        for number in range(count):
            self.entries.append(self._create(number))
            await self.entries[-1].start()
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not all(self._is_ready(node, count, sides) for node in self.entries):
                await asyncio.sleep(0.1)
        await asyncio.sleep(SETTLE_S)

    async def stop(self) -> None:
        """End the entries and the child."""
        for node in self.entries:
            await node.kill()
        await self._log.close()
        if self._child.stdin is not None:
            self._child.stdin.close()
        await self._child.wait()

    def used_here(self) -> Usage:
        """Return what this process has used so far."""
        counters = self.book.counters
        return Usage(
            time.process_time(),
            resident_kib(),
            counters["link.bytes_sent"],
            counters["link.messages_sent"],
        )

    async def used_there(self) -> Usage:
        """Return what the child has used so far."""
        assert self._child.stdin is not None and self._child.stdout is not None
        self._child.stdin.write(b"usage\n")
        return msgspec.json.decode(await self._child.stdout.readline(), type=Usage)

    def _create(self, number: int) -> EntryNode:
        clock = create_clock()
        hybrid = HybridClock(clock)
        name, rng = f"entry-{number}", random.Random(number)
        return EntryNode(
            EntryOptions(name, f"{name}.1", "127.0.0.1:0", "one", f"entry-rack-{number}", TOKEN),
            clock=clock,
            network=create_network(TOKEN, hybrid, self.book),
            log=self._log,
            rng=rng,
            metrics=self.book,
            events=EventRing(name, hybrid),
            policies=create_policies(rng, "one"),
        )

    @staticmethod
    def _is_ready(node: EntryNode, entries: int, sides: int) -> bool:
        return (
            sum(1 for peer in node.sides.peers.values() if peer.up) == sides
            and len(node.entries.peers) == entries - 1
            and len(set(node.cluster.assignment.owners)) == entries
            and node.ownership.all_ready()
            and node.lease.is_held()
            and bool(node.classes.names())
        )


async def create_rig(sides: int) -> Rig:
    """Start the child and return the rig around it."""
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "currantbarrow.bench.slopes_sides",
        "--sides",
        str(sides),
        "--slots",
        str(SLOTS),
        stdin=PIPE,
        stdout=PIPE,
    )
    assert child.stdout is not None
    ready = json.loads(await asyncio.wait_for(child.stdout.readline(), READY_TIMEOUT_S))
    return Rig(child, ready["url"])


class Measured(msgspec.Struct):
    """Hold what both ends used in a second of one measurement."""

    size: float
    here: Usage
    there: Usage


async def measure_links() -> list[Slope]:
    """Return the slopes over side processes, entries and tasks."""
    # Memory that an earlier rig gave back is used again, so all are compared with the start.
    start_kib = resident_kib()
    over_sides = [await _measure_idle(1, sides, start_kib) for sides in SIDE_COUNTS]
    over_entries = [
        await _measure_idle(count, SIDES_BESIDE_ENTRIES, start_kib) for count in ENTRY_COUNTS
    ]
    loaded = [await _measure_loaded(rate) for rate in TASK_RATES_PER_S]
    return [
        *_slopes_over_sides(over_sides),
        *_slopes_over_entries(over_entries),
        *_per_task(loaded),
    ]


async def _measure_idle(entries: int, sides: int, start_kib: float) -> Measured:
    rig = await create_rig(sides)
    alone = await rig.used_there()
    await rig.start_entries(entries, sides)
    here, there = rig.used_here(), await rig.used_there()
    await asyncio.sleep(IDLE_S)
    used_here = _rate(rig.used_here().since(here), IDLE_S)
    used_there = _rate((await rig.used_there()).since(there), IDLE_S)
    used_here.resident_kib = resident_kib() - start_kib
    used_there.resident_kib = (await rig.used_there()).resident_kib - alone.resident_kib
    await rig.stop()
    size = entries if sides == SIDES_BESIDE_ENTRIES else sides
    return Measured(size, used_here, used_there)


async def _measure_loaded(rate_per_s: int) -> Measured:
    rig = await create_rig(LOADED_SIDES)
    await rig.start_entries(1, LOADED_SIDES)
    here, there = rig.used_here(), await rig.used_there()
    began_s = time.monotonic()
    jobs = await _submit_jobs(rig.entries[0], rate_per_s)
    await asyncio.gather(*jobs)
    took_s = time.monotonic() - began_s
    used_here = _rate(rig.used_here().since(here), took_s)
    used_there = _rate((await rig.used_there()).since(there), took_s)
    await rig.stop()
    done_per_s = sum(len(job.result().tasks) for job in jobs) / took_s
    return Measured(done_per_s, used_here, used_there)


async def _submit_jobs(node: EntryNode, rate_per_s: int) -> list[asyncio.Task[JobAnswer]]:
    rng = random.Random(1)
    jobs_per_s = rate_per_s / TASKS_OF_A_JOB
    end_s = time.monotonic() + LOADED_S
    jobs: list[asyncio.Task[JobAnswer]] = []
    while time.monotonic() < end_s:
        tasks = [TaskRequest({"run_ms": TASK_RUN_MS}, TASK_RUN_MS)] * TASKS_OF_A_JOB
        now_ms = int(time.time() * 1000)
        request = JobRequest(f"k{len(jobs)}", now_ms, "team-1", "quote", tasks)
        jobs.append(asyncio.create_task(node.submit(request)))
        await asyncio.sleep(rng.expovariate(jobs_per_s))
    return jobs


def _rate(used: Usage, seconds: float) -> Usage:
    return Usage(
        used.cpu_s / seconds,
        used.resident_kib,
        used.bytes_sent / seconds,
        used.messages_sent / seconds,
    )


def _points(
    measured: list[Measured], end: str, field: str, factor: float = 1.0
) -> list[tuple[float, float]]:
    return [(each.size, getattr(getattr(each, end), field) * factor) for each in measured]


def _slopes_over_sides(measured: list[Measured]) -> list[Slope]:
    over = "linked side process"
    ms = 1000.0
    return [
        fit_slope("idle links", "entry", over, "ms CPU/s", _points(measured, "here", "cpu_s", ms)),
        fit_slope("idle links", "entry", over, "B/s sent", _points(measured, "here", "bytes_sent")),
        fit_slope(
            "idle links", "entry", over, "messages/s", _points(measured, "here", "messages_sent")
        ),
        fit_slope("resident", "entry", over, "KiB", _points(measured, "here", "resident_kib")),
        fit_slope(
            "idle, one entry", "side", over, "ms CPU/s", _points(measured, "there", "cpu_s", ms)
        ),
        fit_slope(
            "idle, one entry", "side", over, "B/s sent", _points(measured, "there", "bytes_sent")
        ),
        fit_slope(
            "idle, one entry",
            "side",
            over,
            "messages/s",
            _points(measured, "there", "messages_sent"),
        ),
    ]


def _slopes_over_entries(measured: list[Measured]) -> list[Slope]:
    """Return slopes for one of n entries: what all used, shared out, grows with the others."""
    ms = 1000.0

    def shared(field: str, factor: float = 1.0) -> list[tuple[float, float]]:
        return [(each.size, getattr(each.here, field) * factor / each.size) for each in measured]

    def of_side(field: str, factor: float = 1.0) -> list[tuple[float, float]]:
        return [
            (each.size, getattr(each.there, field) * factor / SIDES_BESIDE_ENTRIES)
            for each in measured
        ]

    return [
        fit_slope("idle, ten sides", "entry", "entry", "ms CPU/s", shared("cpu_s", ms)),
        fit_slope("idle, ten sides", "entry", "entry", "B/s sent", shared("bytes_sent")),
        fit_slope("idle", "side", "entry", "ms CPU/s", of_side("cpu_s", ms)),
        fit_slope("idle", "side", "entry", "B/s sent", of_side("bytes_sent")),
        fit_slope("resident", "side", "entry", "KiB", of_side("resident_kib")),
    ]


def _per_task(measured: list[Measured]) -> list[Slope]:
    ms = 1000.0
    over = "task/s"
    return [
        fit_slope("loaded", "entry", over, "ms CPU/s", _points(measured, "here", "cpu_s", ms)),
        fit_slope("loaded", "entry", over, "B/s sent", _points(measured, "here", "bytes_sent")),
        fit_slope("loaded", "side", over, "ms CPU/s", _points(measured, "there", "cpu_s", ms)),
        fit_slope("loaded", "side", over, "B/s sent", _points(measured, "there", "bytes_sent")),
        fit_slope(
            "loaded", "entry", over, "messages/s", _points(measured, "here", "messages_sent")
        ),
        fit_slope(
            "loaded", "side", over, "messages/s", _points(measured, "there", "messages_sent")
        ),
    ]
