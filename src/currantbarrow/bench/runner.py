"""Run a case under a policy on a fleet of stand-ins, in virtual time."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Sequence

from currantbarrow.bench.cases import BenchCase
from currantbarrow.bench.figures import (
    Figures,
    Row,
    Window,
    goodput,
    percentile,
    recovery_s,
    response_ratios,
    target_met_pct,
)
from currantbarrow.bench.oracle import RunSpan
from currantbarrow.bench.outcomes import COMPLETE, FAILED, NO_ANSWER, REFUSED, IdleFleet, JobOutcome
from currantbarrow.bench.reference import run_reference
from currantbarrow.bench.traffic import Traffic
from currantbarrow.bench.variants import REFERENCE, create_variant
from currantbarrow.load.workload import PlannedJob, Workload, plan_burst, plan_jobs
from currantbarrow.standins.fleet import Fleet, FleetPlan
from currantbarrow.standins.virtual import run_virtual

__all__ = ["plan_case", "run_case"]

WARM_UP_S = 1.0
DATA_CENTRE_DELAY_MS = {"vaja": 1.0, "sorachi": 0.5}
SETTLE_DELAY_MS = 3000.0
WAVE_JOBS = 100
WAVE_TASKS = 100
WAVE_BEGIN_S = 2.0
TASK_MESSAGES = ("Start", "Result")
CANCELLATION_MESSAGES = ("Cancel", "CancelJob", "JobShown")


def run_case(
    case: BenchCase, base_workload: Workload, policy: str, seed: int, load_s: float = 0.0
) -> Row:
    """Run a case under a policy and return its figures; load_s overrides the case's duration."""
    duration_s = load_s or case.load_s
    plan = FleetPlan(cross_centre_delay_ms=DATA_CENTRE_DELAY_MS[base_workload.name], seed=seed)
    jobs = plan_case(case, base_workload, plan.sides * plan.slots, duration_s, seed)
    targets_ms = {
        work_class.name: work_class.target_ms for work_class in case.workload(base_workload).classes
    }
    run = _CaseRun(case, base_workload, plan, jobs, targets_ms, duration_s, seed)
    figures = (
        run.measure_reference() if policy == REFERENCE else run_virtual(run.measure_policy(policy))
    )
    return Row(f"{base_workload.name}/{case.name}", policy, figures, seed)


def plan_case(
    case: BenchCase, base_workload: Workload, slots: int, load_s: float, seed: int
) -> list[PlannedJob]:
    """Return the jobs of a case in order of time, the same for every policy."""
    workload = case.workload(base_workload)
    jobs = list(
        plan_jobs(
            workload,
            duration_s=load_s,
            busy_slots=case.load * slots,
            seed=seed,
            straggler_share=case.straggler_share,
        )
    )
    for number, (begin_s, end_s) in enumerate(case.bursts_s(load_s)):
        jobs += plan_burst(
            workload,
            case.burst_customer,
            begin_s=begin_s,
            end_s=end_s,
            busy_slots=case.burst_load * slots,
            seed=seed + 1 + number,
        )
    if case.cancel_wave:
        jobs += _plan_wave(workload)
    return sorted(jobs, key=lambda job: job.at_s)


def _plan_wave(workload: Workload) -> list[PlannedJob]:
    """Return jobs of one customer that submits many tasks within a second and cancels them all."""
    work_class = max(workload.classes, key=lambda each: each.target_ms)
    run_ms = [sum(work_class.run_range_ms) / 2] * WAVE_TASKS
    return [
        PlannedJob(
            WAVE_BEGIN_S + number / WAVE_JOBS,
            "",
            "wave",
            work_class.name,
            run_ms,
            True,
            False,
            True,
            run_ms,
        )
        for number in range(WAVE_JOBS)
    ]


class _CaseRun:
    """Run a case once, under a policy or with the reference scheduler."""

    def __init__(
        self,
        case: BenchCase,
        base_workload: Workload,
        plan: FleetPlan,
        jobs: list[PlannedJob],
        targets_ms: dict[str, float],
        load_s: float,
        seed: int,
    ) -> None:
        self._case = case
        self._base_workload = base_workload
        self._plan = plan
        self._jobs = jobs
        self._targets_ms = targets_ms
        self._load_s = load_s
        self._seed = seed

    def measure_reference(self) -> Figures:
        """Return the figures of the reference scheduler, which knows every run time."""
        outcomes = run_reference(self._jobs, self._idle_fleet(), self._targets_ms)
        return self._summarize(outcomes, [], self._window(0.0))

    async def measure_policy(self, policy: str) -> Figures:
        """Run the case on a fleet under a policy and return its figures."""
        fleet = Fleet(self._plan, create_variant(policy))
        await fleet.start(self._targets_ms)
        traffic = Traffic(fleet, self._idle_fleet(), self._seed, self._case.declared_factors)
        # Messages of the start-up phase are not caused by tasks, so they are not counted.
        await fleet.clock.sleep_ms(SETTLE_DELAY_MS)
        sent_before = fleet.fabric.sent.copy()
        begin_ms = fleet.clock.monotonic_ms()
        fault: asyncio.Task[None] | None = None
        if self._case.fault is not None:
            fault = asyncio.create_task(self._case.fault(fleet, traffic))
        await traffic.run(self._jobs)
        if fault is not None:
            await fault
        messages = fleet.fabric.sent - sent_before
        figures = self._summarize(traffic.outcomes, traffic.oracle.spans, self._window(begin_ms))
        self._count_messages(figures, messages, traffic, len(fleet.start_counter.starts))
        await fleet.stop()
        return figures

    def _idle_fleet(self) -> IdleFleet:
        return IdleFleet(self._plan.sides * self._plan.slots, 2 * self._plan.same_centre_delay_ms)

    def _window(self, begin_ms: float) -> Window:
        slots = self._idle_fleet().slots
        return Window(begin_ms + WARM_UP_S * 1000, begin_ms + self._load_s * 1000, slots)

    def _summarize(
        self, outcomes: Sequence[JobOutcome], spans: Sequence[RunSpan], window: Window
    ) -> Figures:
        prefix = self._case.small_prefix(self._base_workload)
        small = [each for each in outcomes if each.job.customer.startswith(prefix)]
        large = [each for each in outcomes if not each.job.customer.startswith(prefix)]
        all_ratios, small_ratios = response_ratios(outcomes), response_ratios(small)
        by_class = collections.defaultdict(list)
        for outcome in outcomes:
            by_class[outcome.job.job_class].append(outcome)
        met_pct_by_class = {
            name: target_met_pct(class_outcomes, self._targets_ms)
            for name, class_outcomes in by_class.items()
        }
        worst_class = min(
            sorted(met_pct_by_class), key=lambda name: met_pct_by_class[name], default=""
        )
        complete = {outcome.job_id for outcome in outcomes if outcome.status == COMPLETE}
        statuses = collections.Counter(
            outcome.status for outcome in outcomes if not outcome.cancelled
        )
        bursts_s = self._case.bursts_s(self._load_s)
        burst_end_ms = 0.0
        if bursts_s:
            burst_end_ms = window.begin_ms + (bursts_s[-1][1] - WARM_UP_S) * 1000
        return Figures(
            jobs=len(outcomes),
            p50=percentile(all_ratios, 0.5),
            p99=percentile(all_ratios, 0.99),
            p999=percentile(all_ratios, 0.999),
            small_p50=percentile(small_ratios, 0.5),
            small_p99=percentile(small_ratios, 0.99),
            small_p999=percentile(small_ratios, 0.999),
            large_p99=percentile(response_ratios(large), 0.99),
            target_met_pct=target_met_pct(outcomes, self._targets_ms),
            small_target_met_pct=target_met_pct(small, self._targets_ms),
            goodput_pct=goodput(spans, complete, window),
            wasted_per_task=0.0,
            overhead_per_task=0.0,
            refused_starts_per_task=0.0,
            refused=statuses[REFUSED],
            failed=statuses[FAILED],
            no_answer=statuses[NO_ANSWER],
            broken_promises=0,
            recovery_s=(recovery_s(outcomes, self._targets_ms, burst_end_ms) if bursts_s else 0.0),
            worst_class=worst_class,
            worst_class_met_pct=met_pct_by_class.get(worst_class, 100.0),
        )

    @staticmethod
    def _count_messages(
        figures: Figures, messages: collections.Counter[str], traffic: Traffic, started: int
    ) -> None:
        """Set the figures per task; a batch counts as one message, so waste can be negative."""
        tasks = max(1, started)
        total = sum(messages.values())
        # Without batches, each task needs two messages: its start and its result.
        figures.wasted_per_task = total / tasks - 2
        figures.overhead_per_task = (total - sum(messages[name] for name in TASK_MESSAGES)) / tasks
        figures.refused_starts_per_task = traffic.oracle.refused_starts / tasks
        figures.broken_promises = traffic.oracle.guarantee_violations()
        if traffic.oracle.cancelled_tasks:
            cancellation_messages = sum(messages[name] for name in CANCELLATION_MESSAGES)
            figures.messages_per_cancelled_task = (
                cancellation_messages / traffic.oracle.cancelled_tasks
            )
        figures.messages = dict(sorted(messages.items()))
