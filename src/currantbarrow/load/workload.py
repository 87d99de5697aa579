"""Generate the jobs of both users' workloads from a seed."""

from __future__ import annotations

import random
from collections.abc import Iterator

import msgspec
import uuid6

__all__ = ["WORKLOADS", "PlannedJob", "Workload", "WorkloadClass", "plan_burst", "plan_jobs"]

LONG_TASK_SHARE = 0.004
LONG_TASK_RANGE_MS = (2000.0, 4000.0)
BURST_INTERVAL_S = 5.0
BURST_JOBS = 10
STRAGGLER_FACTOR = 10.0


class WorkloadClass(msgspec.Struct, frozen=True):
    """Describe a class of a user's work: share of jobs, ranges of run time and task count."""

    name: str
    target_ms: float
    share: float
    run_range_ms: tuple[float, float]
    tasks: tuple[int, int]
    idempotent: bool


class Workload(msgspec.Struct, frozen=True):
    """Describe a user's work: its classes, and its customers with their shares of jobs."""

    name: str
    classes: list[WorkloadClass]
    customers: list[tuple[str, float]]
    resubmit_share: float = 0.02
    cancel_share: float = 0.01


class PlannedJob(msgspec.Struct, frozen=True):
    """Describe a job to submit at_s seconds after the start of a run."""

    at_s: float
    key: str
    customer: str
    job_class: str
    run_ms: list[float]
    idempotent: bool
    resubmit: bool
    cancel: bool
    # The run times that a caller would declare; those of stragglers in run_ms are longer.
    expected_ms: list[float] = []
    target_ms: float = 0.0


VAJA = Workload(
    "vaja",
    [
        WorkloadClass("hold", 400.0, 0.60, (50.0, 150.0), (1, 3), False),
        WorkloadClass("booking", 1000.0, 0.25, (100.0, 400.0), (1, 8), False),
        WorkloadClass("cancellation", 800.0, 0.10, (50.0, 200.0), (1, 4), False),
        WorkloadClass("calendar", 3000.0, 0.05, (100.0, 600.0), (20, 120), True),
    ],
    [("band-small", 0.05), ("school", 0.25), ("agency-large", 0.70)],
)
SORACHI = Workload(
    "sorachi",
    [
        WorkloadClass("fare-check", 300.0, 0.55, (50.0, 120.0), (1, 2), True),
        WorkloadClass("route-quote", 1500.0, 0.30, (200.0, 1000.0), (4, 24), True),
        WorkloadClass("seat-hold", 500.0, 0.15, (80.0, 250.0), (1, 2), False),
    ],
    [("clinic-small", 0.05), ("town-office", 0.25), ("fishery-large", 0.70)],
)
WORKLOADS = {workload.name: workload for workload in (VAJA, SORACHI)}


def plan_jobs(
    workload: Workload,
    *,
    duration_s: float,
    busy_slots: float,
    seed: int,
    straggler_share: float = 0.0,
) -> Iterator[PlannedJob]:
    """Yield jobs in order of time: Poisson arrivals and additional periodic bursts.

    The Poisson arrivals keep busy_slots slots busy on average, not counting stragglers.
    """
    rng = random.Random(seed)
    mean_work_s = sum(
        work_class.share * _mean_work_s(work_class) for work_class in workload.classes
    )
    jobs_per_s = busy_slots / mean_work_s
    at_s, next_burst_s = 0.0, BURST_INTERVAL_S
    while True:
        at_s += rng.expovariate(jobs_per_s)
        if at_s >= duration_s:
            return
        yield _plan_job(workload, at_s, rng, straggler_share)
        if at_s >= next_burst_s:
            next_burst_s += BURST_INTERVAL_S
            for _ in range(BURST_JOBS):
                yield _plan_job(workload, at_s, rng, straggler_share)


def plan_burst(
    workload: Workload,
    customer: str,
    *,
    begin_s: float,
    end_s: float,
    busy_slots: float,
    seed: int,
) -> Iterator[PlannedJob]:
    """Yield jobs from begin_s to end_s of a customer, or of all customers if its name is empty."""
    customers = [(customer, 1.0)] if customer else workload.customers
    burst_workload = msgspec.structs.replace(workload, customers=customers)
    duration_s = end_s - begin_s
    for job in plan_jobs(burst_workload, duration_s=duration_s, busy_slots=busy_slots, seed=seed):
        yield msgspec.structs.replace(job, at_s=begin_s + job.at_s)


def _mean_work_s(work_class: WorkloadClass) -> float:
    long_ms = LONG_TASK_SHARE * sum(LONG_TASK_RANGE_MS) / 2
    return sum(work_class.tasks) / 2 * (sum(work_class.run_range_ms) / 2 + long_ms) / 1000


def _plan_job(
    workload: Workload, at_s: float, rng: random.Random, straggler_share: float
) -> PlannedJob:
    work_class = rng.choices(
        workload.classes, [work_class.share for work_class in workload.classes]
    )[0]
    customer = rng.choices(
        [name for name, _ in workload.customers], [share for _, share in workload.customers]
    )[0]
    expected_ms = [_draw_run_ms(work_class, rng) for _ in range(rng.randint(*work_class.tasks))]
    run_ms = list(expected_ms)
    if straggler_share:
        run_ms = [
            task_ms * (STRAGGLER_FACTOR if rng.random() < straggler_share else 1.0)
            for task_ms in expected_ms
        ]
    return PlannedJob(
        at_s,
        str(uuid6.uuid7()),
        customer,
        work_class.name,
        run_ms,
        work_class.idempotent,
        rng.random() < workload.resubmit_share,
        rng.random() < workload.cancel_share,
        expected_ms,
        work_class.target_ms,
    )


def _draw_run_ms(work_class: WorkloadClass, rng: random.Random) -> float:
    if rng.random() < LONG_TASK_SHARE:
        return rng.uniform(*LONG_TASK_RANGE_MS)
    return rng.uniform(*work_class.run_range_ms)
