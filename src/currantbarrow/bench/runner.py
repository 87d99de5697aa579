"""Run one case with one policy on a fleet of stand-ins in virtual time."""

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
    ratios,
    recovery_s,
    share_met,
)
from currantbarrow.bench.oracle import RunSpan
from currantbarrow.bench.outcomes import COMPLETE, FAILED, NO_ANSWER, REFUSED, JobOutcome, Venue
from currantbarrow.bench.reference import run_reference
from currantbarrow.bench.traffic import Traffic
from currantbarrow.bench.variants import REFERENCE, create_variant
from currantbarrow.load.workload import PlannedJob, Workload, plan_burst, plan_jobs
from currantbarrow.standins.fleet import Fleet, FleetPlan
from currantbarrow.standins.virtual import run_virtual

__all__ = ["plan_case", "run_case"]

WARM_UP_S = 1.0
FAR_MS = {"vaja": 1.0, "sorachi": 0.5}
SETTLE_MS = 3000.0
WAVE_JOBS = 100
WAVE_TASKS = 100
WAVE_BEGIN_S = 2.0
USEFUL = ("Start", "Result")
CANCELLING = ("Cancel", "CancelJob", "JobShown")


def run_case(case: BenchCase, user: Workload, policy: str, seed: int, load_s: float = 0.0) -> Row:
    """Return the figures of one case under one policy."""
    length_s = load_s or case.load_s
    plan = FleetPlan(cross_centre_delay_ms=FAR_MS[user.name], seed=seed)
    jobs = plan_case(case, user, plan.sides * plan.slots, length_s, seed)
    targets_ms = {kind.name: kind.target_ms for kind in case.workload(user).classes}
    run = _Run(case, user, plan, jobs, targets_ms, length_s, seed)
    figures = run.refer() if policy == REFERENCE else run_virtual(run.measure(policy))
    return Row(f"{user.name}/{case.name}", policy, figures, seed)


def plan_case(
    case: BenchCase, user: Workload, slots: int, load_s: float, seed: int
) -> list[PlannedJob]:
    """Return the jobs of a case, the same for every policy."""
    workload = case.workload(user)
    jobs = list(
        plan_jobs(
            workload,
            load_s=load_s,
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
    """Return the jobs of one customer that queues many tasks and cancels them in a second."""
    kind = max(workload.classes, key=lambda each: each.target_ms)
    run_ms = [sum(kind.run_ms) / 2] * WAVE_TASKS
    return [
        PlannedJob(
            WAVE_BEGIN_S + number / WAVE_JOBS,
            "",
            "wave",
            kind.name,
            run_ms,
            True,
            False,
            True,
            run_ms,
        )
        for number in range(WAVE_JOBS)
    ]


class _Run:
    """Hold what one run needs and works out."""

    def __init__(
        self,
        case: BenchCase,
        user: Workload,
        plan: FleetPlan,
        jobs: list[PlannedJob],
        targets_ms: dict[str, float],
        load_s: float,
        seed: int,
    ) -> None:
        self._case = case
        self._user = user
        self._plan = plan
        self._jobs = jobs
        self._targets_ms = targets_ms
        self._load_s = load_s
        self._seed = seed

    def refer(self) -> Figures:
        """Return the figures of the all-knowing queue."""
        outcomes = run_reference(self._jobs, self._venue(), self._targets_ms)
        return self._figures(outcomes, [], self._window(0.0))

    async def measure(self, policy: str) -> Figures:
        """Return the figures of a policy on a fleet."""
        fleet = Fleet(self._plan, create_variant(policy))
        await fleet.start(self._targets_ms)
        traffic = Traffic(fleet, self._venue(), self._seed, self._case.declared_factors)
        # Starting has messages of its own, which no task causes.
        await fleet.clock.sleep_ms(SETTLE_MS)
        before = fleet.fabric.sent.copy()
        begin_ms = fleet.clock.monotonic_ms()
        fault: asyncio.Task[None] | None = None
        if self._case.fault is not None:
            fault = asyncio.create_task(self._case.fault(fleet, traffic))
        await traffic.run(self._jobs)
        if fault is not None:
            await fault
        messages = fleet.fabric.sent - before
        figures = self._figures(traffic.outcomes, traffic.oracle.spans, self._window(begin_ms))
        self._count_messages(figures, messages, traffic, len(fleet.start_counter.starts))
        await fleet.stop()
        return figures

    def _venue(self) -> Venue:
        return Venue(self._plan.sides * self._plan.slots, 2 * self._plan.same_centre_delay_ms)

    def _window(self, begin_ms: float) -> Window:
        slots = self._venue().slots
        return Window(begin_ms + WARM_UP_S * 1000, begin_ms + self._load_s * 1000, slots)

    def _figures(
        self, outcomes: Sequence[JobOutcome], spans: Sequence[RunSpan], window: Window
    ) -> Figures:
        prefix = self._case.small_prefix(self._user)
        small = [each for each in outcomes if each.job.customer.startswith(prefix)]
        large = [each for each in outcomes if not each.job.customer.startswith(prefix)]
        all_ratios, small_ratios = ratios(outcomes), ratios(small)
        by_class = collections.defaultdict(list)
        for outcome in outcomes:
            by_class[outcome.job.job_class].append(outcome)
        met = {name: share_met(group, self._targets_ms) for name, group in by_class.items()}
        worst = min(sorted(met), key=lambda name: met[name], default="")
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
            large_p99=percentile(ratios(large), 0.99),
            target_met_pct=share_met(outcomes, self._targets_ms),
            small_target_met_pct=share_met(small, self._targets_ms),
            goodput_pct=goodput(spans, complete, window),
            wasted_per_task=0.0,
            overhead_per_task=0.0,
            refused_starts_per_task=0.0,
            refused=statuses[REFUSED],
            failed=statuses[FAILED],
            no_answer=statuses[NO_ANSWER],
            broken_promises=0,
            recovery_s=(recovery_s(outcomes, self._targets_ms, burst_end_ms) if bursts_s else 0.0),
            worst_class=worst,
            worst_class_met_pct=met.get(worst, 100.0),
        )

    @staticmethod
    def _count_messages(
        figures: Figures, messages: collections.Counter[str], traffic: Traffic, started: int
    ) -> None:
        """Count messages; a batch counts once, so batches may save what others waste."""
        tasks = max(1, started)
        total = sum(messages.values())
        figures.wasted_per_task = total / tasks - 2
        figures.overhead_per_task = (total - sum(messages[name] for name in USEFUL)) / tasks
        figures.refused_starts_per_task = traffic.oracle.refused_starts / tasks
        figures.broken_promises = traffic.oracle.broken_promises()
        if traffic.oracle.cancelled_tasks:
            cancelling = sum(messages[name] for name in CANCELLING)
            figures.messages_per_cancelled_task = cancelling / traffic.oracle.cancelled_tasks
        figures.messages = dict(sorted(messages.items()))
