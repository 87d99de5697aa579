"""Measure the cost of state: memory, snapshots and the application of records."""

from __future__ import annotations

import functools
import gc
import random
import time
import tracemalloc
import zlib
from collections.abc import Callable
from typing import Any

import msgspec

from currantbarrow.bench.slopes_figures import Slope, fit_slope
from currantbarrow.classes import ClassState
from currantbarrow.cluster import ClusterState, balance_shards, choose_panel
from currantbarrow.jobs import (
    SHARD_COUNT,
    JobRequest,
    TaskAnswer,
    TaskRequest,
    TaskState,
    make_job_id,
)
from currantbarrow.jobs.table import Job, JobTable
from currantbarrow.logservice import (
    AssignmentChanged,
    ClassChanged,
    ClassDefinition,
    MemberJoined,
    Record,
    StreamState,
    decode_record,
    encode_record,
)
from currantbarrow.observe import create_clock
from currantbarrow.policy import create_policies
from currantbarrow.protocol import FencedTasks, Role, TaskResult, decode_frame, encode_frame
from currantbarrow.side.ledger import StartLedger

__all__ = ["SHARDS_PER_ENTRY", "measure_state"]

MEMBER_COUNTS = (500, 1500, 2900)
CLASS_COUNTS = (100, 400, 1600)
JOB_COUNTS = (500, 1000, 2000)
TASK_COUNTS = (20, 80, 220)
LEDGER_COUNTS = (5000, 10_000, 20_000)
CUSTOMER_COUNTS = (100, 200, 420)
JOBS_PER_TASK_COUNT = 200
ENTRY_COUNT = 20
SHARDS_PER_ENTRY = 3
ENTRY_QUERIES = 3
ROUNDS = 20
WINDOW_MS = 600_000.0
KIB = 1024.0
Points = list[tuple[float, float]]


async def measure_state() -> list[Slope]:
    """Return the slopes of all kinds of state."""
    return [
        *_measure_members(),
        *_measure_classes(),
        *_measure_membership_manager(),
        *_measure_jobs(),
        _measure_ledger(),
        *_measure_takeover(),
        _measure_customers(),
    ]


def _create_join_record(number: int) -> MemberJoined:
    incarnation = f"side-{number}.{number:012x}"
    address = f"10.{number >> 8}.{number & 255}.7:7100"
    data_centre, rack = f"centre-{number % 5}", f"rack-{number // 30}"
    return MemberJoined(
        f"{incarnation}-1",
        Role.SIDE,
        f"side-{number}",
        incarnation,
        address,
        data_centre,
        rack,
        1_760_000_000_000 + number,
        address,
    )


def _create_cluster_state(count: int) -> ClusterState:
    state = ClusterState()
    for number in range(count):
        # Decoding creates separate strings for each record, as reading the log does.
        state.apply(number, decode_record(encode_record(_create_join_record(number))))
    return state


def _create_class_state(count: int) -> ClassState:
    state = ClassState()
    for number in range(count):
        state.apply(number, decode_record(encode_record(_create_class_change(number))))
    return state


def _create_class_change(number: int) -> ClassChanged:
    definition = ClassDefinition(300.0 + number, "quotes for one team")
    return ClassChanged(f"change-{number:024x}", f"class-{number}", 0, definition, 0, "operator")


def _measure_kib(build: Callable[[], Any]) -> float:
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    built = build()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return (after - before) / KIB


def _measure_cpu_ms(work: Callable[[], Any], rounds: int = ROUNDS) -> float:
    began_s = time.process_time()
    for _ in range(rounds):
        work()
    return (time.process_time() - began_s) * 1000 / rounds


def _encode(state: StreamState) -> bytes:
    return msgspec.json.encode(state.dump())


def _apply(state: StreamState, data: bytes) -> None:
    state.apply(0, decode_record(data))


def _measure_members() -> list[Slope]:
    memory: Points = []
    encoded_sizes: Points = []
    compressed_sizes: Points = []
    snapshot_encoding: Points = []
    apply: Points = []
    for count in MEMBER_COUNTS:
        kib = _measure_kib(functools.partial(_create_cluster_state, count))
        state = _create_cluster_state(count)
        data = msgspec.json.encode(state.dump())
        memory.append((count, kib))
        encoded_sizes.append((count, len(data) / KIB))
        compressed_sizes.append((count, len(zlib.compress(data, 1)) / KIB))
        snapshot_encoding.append((count, _measure_cpu_ms(functools.partial(_encode, state))))
        apply.append((count, _measure_replacement_ms(state, count)))
    return [
        fit_slope("cluster state", "entry, side", "member", "KiB", memory),
        fit_slope("snapshot record", "log", "member", "KiB", encoded_sizes),
        fit_slope("whole state between peers", "entry, side", "member", "KiB", compressed_sizes),
        fit_slope("making a snapshot", "entry", "member", "ms", snapshot_encoding),
        fit_slope("taking in one joined member", "entry, side", "member", "ms", apply),
    ]


def _measure_replacement_ms(state: ClusterState, count: int) -> float:
    """Return the CPU time in ms to apply a record with the next incarnation of a host."""
    numbers = iter(range(count))

    def replace() -> None:
        number = next(numbers)
        old = _create_join_record(number)
        record: Record = msgspec.structs.replace(
            old, record_id=f"{old.record_id}-next", incarnation=f"{old.incarnation}-next"
        )
        state.apply(count + number, decode_record(encode_record(record)))

    return _measure_cpu_ms(replace, min(count, 100))


def _measure_classes() -> list[Slope]:
    memory: Points = []
    encoded_sizes: Points = []
    compressed_sizes: Points = []
    apply: Points = []
    for count in CLASS_COUNTS:
        kib = _measure_kib(functools.partial(_create_class_state, count))
        state = _create_class_state(count)
        data = msgspec.json.encode(state.dump())
        memory.append((count, kib))
        encoded_sizes.append((count, len(data) / KIB))
        compressed_sizes.append((count, len(zlib.compress(data, 1)) / KIB))
        encoded = encode_record(_create_class_change(count))
        apply.append((count, _measure_cpu_ms(functools.partial(_apply, state, encoded), 1000)))
    return [
        fit_slope("class state, one revision each", "entry, side", "class", "KiB", memory),
        fit_slope("class snapshot record", "log", "class", "KiB", encoded_sizes),
        fit_slope("class state between peers", "entry, side", "class", "KiB", compressed_sizes),
        fit_slope("taking in one change of class", "entry, side", "class", "ms", apply),
    ]


def _measure_membership_manager() -> list[Slope]:
    checks: Points = []
    assignment_decoding: Points = []
    for count in MEMBER_COUNTS:
        state = _create_cluster_state(count)
        names = [f"entry-{number}" for number in range(ENTRY_COUNT)]
        shards = [shard % ENTRY_COUNT for shard in range(SHARD_COUNT)]
        panel = choose_panel((), state.by_role(Role.SIDE))
        record = AssignmentChanged("a", 0, names, shards, panel)
        state.apply(count, record)

        def check_once(state: ClusterState = state, names: list[str] = names) -> None:
            # A check queries the entries three times and the side processes once.
            for _ in range(ENTRY_QUERIES):
                state.by_role(Role.ENTRY)
            balance_shards(state.assignment, names)
            choose_panel(state.assignment.panel, state.by_role(Role.SIDE))

        checks.append((count, _measure_cpu_ms(check_once)))
        data = encode_record(record)
        assignment_decoding.append((count, _measure_cpu_ms(functools.partial(_apply, state, data))))
    return [
        fit_slope("one look at the wanted assignment", "entry", "member", "ms", checks),
        fit_slope("decoding an assignment", "entry, side", "member", "ms", assignment_decoding),
    ]


def _create_request(number: int, tasks: int) -> JobRequest:
    payload = {"route": f"asahikawa-{number}", "seats": 4}
    task_requests = [TaskRequest(dict(payload), 100.0) for _ in range(tasks)]
    return JobRequest(f"key-{number}", 1_760_000_000_000 + number, "team-1", "quote", task_requests)


def _create_job_table(jobs: int, tasks: int) -> JobTable:
    table = JobTable(create_clock(), WINDOW_MS)
    for number in range(jobs):
        request = _create_request(number, tasks)
        job = Job(make_job_id(request), request, 0.0)
        for index in range(tasks):
            job.tasks[index].side = "side-1"
            job.record_task_end(
                index, TaskAnswer(TaskState.DONE, {"price": number, "index": index})
            )
        job.finish(job.completed_answer())
        table.add(job)
    return table


def _measure_jobs() -> list[Slope]:
    by_jobs = [
        (jobs, _measure_kib(functools.partial(_create_job_table, jobs, 1))) for jobs in JOB_COUNTS
    ]
    by_tasks = [
        (
            tasks,
            _measure_kib(functools.partial(_create_job_table, JOBS_PER_TASK_COUNT, tasks))
            / JOBS_PER_TASK_COUNT,
        )
        for tasks in TASK_COUNTS
    ]
    return [
        fit_slope("ended job of one task in the table", "entry", "job", "KiB", by_jobs),
        fit_slope("ended job in the table", "entry", "task of the job", "KiB", by_tasks),
    ]


def _create_ledger(starts: int) -> StartLedger:
    ledger = StartLedger(create_clock(), WINDOW_MS)
    for number in range(starts):
        job_id = make_job_id(_create_request(number, 0))
        entry = ledger.get_or_create(job_id, 0)
        entry.attempt, entry.owner = 1, "entry-1"
        entry.result = TaskResult(job_id, 0, 1, TaskState.DONE, {"price": number}, "", 100.0)
    return ledger


def _measure_ledger() -> Slope:
    points = [
        (starts, _measure_kib(functools.partial(_create_ledger, starts)))
        for starts in LEDGER_COUNTS
    ]
    return fit_slope("start ledger, one task a job", "side", "start in the window", "KiB", points)


def _measure_takeover() -> list[Slope]:
    """Measure the replies of one side process to fences of some and of all shards."""
    entry_shards = set(range(SHARDS_PER_ENTRY))
    reply_sizes: Points = []
    reply_building: Points = []
    reply_for_some_shards: Points = []
    reply_decoding: Points = []
    for starts in LEDGER_COUNTS:
        ledger = _create_ledger(starts)
        shards = set(range(SHARD_COUNT))
        message = FencedTasks(1, ledger.started_tasks(shards), ledger.complete_since_ms)
        frame = encode_frame(1, [message])
        reply_sizes.append((starts, len(frame) / KIB))
        reply_building.append(
            (starts, _measure_cpu_ms(functools.partial(ledger.started_tasks, shards), 3))
        )
        reply_for_some_shards.append(
            (starts, _measure_cpu_ms(functools.partial(ledger.started_tasks, entry_shards), 3))
        )
        reply_decoding.append((starts, _measure_cpu_ms(functools.partial(decode_frame, frame), 3)))
    over = "start in the window"
    return [
        fit_slope(
            f"making a reply for {SHARDS_PER_ENTRY} shards",
            "side",
            over,
            "ms",
            reply_for_some_shards,
        ),
        fit_slope("reply to a fence of all shards", "side", over, "KiB", reply_sizes),
        fit_slope("making that reply", "side", over, "ms", reply_building),
        fit_slope("reading that reply", "entry", over, "ms", reply_decoding),
    ]


def _create_policies(count: int) -> Any:
    policies = create_policies(random.Random(1))
    for number in range(count):
        customer = f"team-{number}"
        policies.estimator.record(customer, "quote", 100.0, 100.0)
        policies.queue.record_run_time(customer, "quote", 100.0, 100.0)
    return policies


def _measure_customers() -> Slope:
    points = [
        (count, _measure_kib(functools.partial(_create_policies, count)))
        for count in CUSTOMER_COUNTS
    ]
    return fit_slope("policies' memory of customers", "entry", "customer", "KiB", points)
