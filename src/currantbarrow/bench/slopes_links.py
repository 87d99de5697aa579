"""Measure the cost of links and tasks at both ends, over real websockets on loopback."""

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
SIDES_FOR_ENTRY_COUNTS = 10
LOADED_SIDES = 60
SLOTS = 8
IDLE_S = 10.0
LOADED_S = 8.0
TASKS_PER_JOB = 10
TASK_RUN_MS = 50.0
READY_TIMEOUT_S = 60.0
SETTLE_S = 3.0


class Usage(msgspec.Struct):
    """Report the resources that a process has used since it started."""

    cpu_s: float
    resident_kib: float
    bytes_sent: float
    messages_sent: float

    def since(self, before: Usage) -> Usage:
        """Return the difference from an earlier reading."""
        return Usage(
            self.cpu_s - before.cpu_s,
            self.resident_kib - before.resident_kib,
            self.bytes_sent - before.bytes_sent,
            self.messages_sent - before.messages_sent,
        )


class Testbed:
    """Run entries in this process, with side processes and a log in a child process."""

    def __init__(self, child: Process, url: str) -> None:
        self.entries: list[EntryNode] = []
        self.metrics = MetricsRegistry()
        self._child = child
        self._log: HttpLogService = create_log_service(url)

    async def start_entries(self, count: int, sides: int) -> None:
        """Start entries and wait until all links are open and all shards are owned."""
        definition = ClassDefinition(300.0)
        record = ClassChanged("class-quote", "quote", 0, definition)
        await self._log.append(CLASS_STREAM, encode_record(record))
        for number in range(count):
            self.entries.append(self._create_entry(number))
            await self.entries[-1].start()
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not all(self._is_ready(node, count, sides) for node in self.entries):
                await asyncio.sleep(0.1)
        await asyncio.sleep(SETTLE_S)

    async def stop(self) -> None:
        """Stop the entries and the child process."""
        for node in self.entries:
            await node.kill()
        await self._log.close()
        if self._child.stdin is not None:
            self._child.stdin.close()
        await self._child.wait()

    def entry_usage(self) -> Usage:
        """Return the resources used by this process."""
        counters = self.metrics.counters
        return Usage(
            time.process_time(),
            resident_kib(),
            counters["link.bytes_sent"],
            counters["link.messages_sent"],
        )

    async def side_usage(self) -> Usage:
        """Return the resources used by the child process."""
        assert self._child.stdin is not None and self._child.stdout is not None
        self._child.stdin.write(b"usage\n")
        return msgspec.json.decode(await self._child.stdout.readline(), type=Usage)

    def _create_entry(self, number: int) -> EntryNode:
        clock = create_clock()
        hybrid = HybridClock(clock)
        name, rng = f"entry-{number}", random.Random(number)
        return EntryNode(
            EntryOptions(name, f"{name}.1", "127.0.0.1:0", "one", f"entry-rack-{number}", TOKEN),
            clock=clock,
            network=create_network(TOKEN, hybrid, self.metrics),
            log=self._log,
            rng=rng,
            metrics=self.metrics,
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


async def create_testbed(sides: int) -> Testbed:
    """Start the child process and return a testbed that uses it."""
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
    return Testbed(child, ready["url"])


class Measurement(msgspec.Struct):
    """Report what both ends used per second in one measurement; size is the varied quantity."""

    size: float
    entries_used: Usage
    sides_used: Usage


async def measure_links() -> list[Slope]:
    """Return the slopes over side processes, entries and task rates."""
    # Memory freed by an earlier testbed is reused, so all are compared with the start.
    start_kib = resident_kib()
    by_sides = [await _measure_idle(1, sides, start_kib) for sides in SIDE_COUNTS]
    by_entries = [
        await _measure_idle(count, SIDES_FOR_ENTRY_COUNTS, start_kib) for count in ENTRY_COUNTS
    ]
    loaded = [await _measure_loaded(rate) for rate in TASK_RATES_PER_S]
    return [
        *_fit_by_sides(by_sides),
        *_fit_by_entries(by_entries),
        *_fit_by_task_rate(loaded),
    ]


async def _measure_idle(entries: int, sides: int, start_kib: float) -> Measurement:
    testbed = await create_testbed(sides)
    baseline = await testbed.side_usage()
    await testbed.start_entries(entries, sides)
    entries_before, sides_before = testbed.entry_usage(), await testbed.side_usage()
    await asyncio.sleep(IDLE_S)
    entries_used = _per_second(testbed.entry_usage().since(entries_before), IDLE_S)
    sides_used = _per_second((await testbed.side_usage()).since(sides_before), IDLE_S)
    entries_used.resident_kib = resident_kib() - start_kib
    sides_used.resident_kib = (await testbed.side_usage()).resident_kib - baseline.resident_kib
    await testbed.stop()
    size = entries if sides == SIDES_FOR_ENTRY_COUNTS else sides
    return Measurement(size, entries_used, sides_used)


async def _measure_loaded(rate_per_s: int) -> Measurement:
    testbed = await create_testbed(LOADED_SIDES)
    await testbed.start_entries(1, LOADED_SIDES)
    entries_before, sides_before = testbed.entry_usage(), await testbed.side_usage()
    began_s = time.monotonic()
    jobs = await _submit_jobs(testbed.entries[0], rate_per_s)
    await asyncio.gather(*jobs)
    took_s = time.monotonic() - began_s
    entries_used = _per_second(testbed.entry_usage().since(entries_before), took_s)
    sides_used = _per_second((await testbed.side_usage()).since(sides_before), took_s)
    await testbed.stop()
    done_per_s = sum(len(job.result().tasks) for job in jobs) / took_s
    return Measurement(done_per_s, entries_used, sides_used)


async def _submit_jobs(node: EntryNode, rate_per_s: int) -> list[asyncio.Task[JobAnswer]]:
    rng = random.Random(1)
    jobs_per_s = rate_per_s / TASKS_PER_JOB
    end_s = time.monotonic() + LOADED_S
    jobs: list[asyncio.Task[JobAnswer]] = []
    while time.monotonic() < end_s:
        tasks = [TaskRequest({"run_ms": TASK_RUN_MS}, TASK_RUN_MS)] * TASKS_PER_JOB
        now_ms = int(time.time() * 1000)
        request = JobRequest(f"k{len(jobs)}", now_ms, "team-1", "quote", tasks)
        jobs.append(asyncio.create_task(node.submit(request)))
        await asyncio.sleep(rng.expovariate(jobs_per_s))
    return jobs


def _per_second(usage: Usage, seconds: float) -> Usage:
    return Usage(
        usage.cpu_s / seconds,
        usage.resident_kib,
        usage.bytes_sent / seconds,
        usage.messages_sent / seconds,
    )


def _points(
    measured: list[Measurement], usage: str, field: str, factor: float = 1.0
) -> list[tuple[float, float]]:
    return [(each.size, getattr(getattr(each, usage), field) * factor) for each in measured]


def _fit_by_sides(measured: list[Measurement]) -> list[Slope]:
    over = "linked side process"
    ms = 1000.0
    return [
        fit_slope(
            "idle links", "entry", over, "ms CPU/s", _points(measured, "entries_used", "cpu_s", ms)
        ),
        fit_slope(
            "idle links", "entry", over, "B/s sent", _points(measured, "entries_used", "bytes_sent")
        ),
        fit_slope(
            "idle links",
            "entry",
            over,
            "messages/s",
            _points(measured, "entries_used", "messages_sent"),
        ),
        fit_slope(
            "resident", "entry", over, "KiB", _points(measured, "entries_used", "resident_kib")
        ),
        fit_slope(
            "idle, one entry",
            "side",
            over,
            "ms CPU/s",
            _points(measured, "sides_used", "cpu_s", ms),
        ),
        fit_slope(
            "idle, one entry",
            "side",
            over,
            "B/s sent",
            _points(measured, "sides_used", "bytes_sent"),
        ),
        fit_slope(
            "idle, one entry",
            "side",
            over,
            "messages/s",
            _points(measured, "sides_used", "messages_sent"),
        ),
    ]


def _fit_by_entries(measured: list[Measurement]) -> list[Slope]:
    """Return slopes per entry and per side over the number of entries, by dividing the totals."""
    ms = 1000.0

    def per_entry(field: str, factor: float = 1.0) -> list[tuple[float, float]]:
        return [
            (each.size, getattr(each.entries_used, field) * factor / each.size) for each in measured
        ]

    def per_side(field: str, factor: float = 1.0) -> list[tuple[float, float]]:
        return [
            (each.size, getattr(each.sides_used, field) * factor / SIDES_FOR_ENTRY_COUNTS)
            for each in measured
        ]

    return [
        fit_slope("idle, ten sides", "entry", "entry", "ms CPU/s", per_entry("cpu_s", ms)),
        fit_slope("idle, ten sides", "entry", "entry", "B/s sent", per_entry("bytes_sent")),
        fit_slope("idle", "side", "entry", "ms CPU/s", per_side("cpu_s", ms)),
        fit_slope("idle", "side", "entry", "B/s sent", per_side("bytes_sent")),
        fit_slope("resident", "side", "entry", "KiB", per_side("resident_kib")),
    ]


def _fit_by_task_rate(measured: list[Measurement]) -> list[Slope]:
    ms = 1000.0
    over = "task/s"
    return [
        fit_slope(
            "loaded", "entry", over, "ms CPU/s", _points(measured, "entries_used", "cpu_s", ms)
        ),
        fit_slope(
            "loaded", "entry", over, "B/s sent", _points(measured, "entries_used", "bytes_sent")
        ),
        fit_slope("loaded", "side", over, "ms CPU/s", _points(measured, "sides_used", "cpu_s", ms)),
        fit_slope(
            "loaded", "side", over, "B/s sent", _points(measured, "sides_used", "bytes_sent")
        ),
        fit_slope(
            "loaded",
            "entry",
            over,
            "messages/s",
            _points(measured, "entries_used", "messages_sent"),
        ),
        fit_slope(
            "loaded", "side", over, "messages/s", _points(measured, "sides_used", "messages_sent")
        ),
    ]
