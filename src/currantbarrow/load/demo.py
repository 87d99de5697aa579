"""Run both users' workloads through complete fleets on loopback, and write the reports."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from pathlib import Path

import msgspec

from currantbarrow.entry.submission import creation_time_ms
from currantbarrow.jobs import JobRequest, make_job_id
from currantbarrow.load.fleet_settings import load_fleet_settings
from currantbarrow.load.loopback import LoopbackFleet, start_loopback_fleet
from currantbarrow.load.plot import plot_ratios
from currantbarrow.load.report import LoadReport
from currantbarrow.load.runner import run_load
from currantbarrow.load.workload import WORKLOADS, PlannedJob, Workload, plan_jobs
from currantbarrow.timeline import merge_events, render_html

__all__ = ["DemoOptions", "DemoReport", "run_demo"]

TIMELINE_MS = 2000


class DemoOptions(msgspec.Struct, frozen=True):
    """Configure a demo run."""

    settings_folder: Path
    output: Path
    load_s: float = 15.0
    busy_share: float = 0.6
    seed: int = 7


class DemoReport:
    """Contain the reports of both users' runs."""

    def __init__(self, reports: list[LoadReport]) -> None:
        self.reports = reports

    def as_table(self) -> str:
        """Return all figures as Markdown tables."""
        return "\n".join(report.as_table() for report in self.reports)

    def promises_held(self) -> bool:
        """Return whether no task started twice and no answer was partial, for both users."""
        return all(report.promises_held() for report in self.reports)


async def run_demo(options: DemoOptions, on_step: Callable[[str], None]) -> DemoReport:
    """Run the workloads one after the other, and write their reports, timelines and a plot."""
    reports = []
    for workload in WORKLOADS.values():
        reports.append(await _run_workload(workload, options, on_step))
    plot_ratios(
        {report.title: report.curves() for report in reports}, options.output / "ratios.svg"
    )
    return DemoReport(reports)


async def _run_workload(
    workload: Workload, options: DemoOptions, on_step: Callable[[str], None]
) -> LoadReport:
    settings = load_fleet_settings(options.settings_folder / workload.name)
    on_step(f"{workload.name}: starting the fleet")
    async with start_loopback_fleet(settings) as fleet:
        for work_class in workload.classes:
            await fleet.create_class(work_class.name, work_class.target_ms)
        report = LoadReport(workload.name, fleet.slots)
        busy_slots = fleet.slots * options.busy_share
        jobs = plan_jobs(
            workload, duration_s=options.load_s, busy_slots=busy_slots, seed=options.seed
        )
        sent: list[PlannedJob] = []
        before = fleet.traffic()
        on_step(f"{workload.name}: {options.load_s:g} s of load")
        middle_ms = int((time.time() + options.load_s / 2) * 1000)
        await run_load(jobs, fleet.entry_urls, report, options.seed, sent.append)
        report.traffic = fleet.traffic().since(before)
        _record_double_starts(fleet, sent, report)
        report.write(options.output)
        _write_timeline(fleet, middle_ms, options.output / f"{workload.name}-timeline.html")
    return report


def _record_double_starts(
    fleet: LoopbackFleet, jobs: Iterable[PlannedJob], report: LoadReport
) -> None:
    classes = {_job_id(job): job.job_class for job in jobs}
    for job_id, _ in fleet.start_counter.double_starts():
        report.record_double_start(classes[job_id])


def _job_id(job: PlannedJob) -> bytes:
    created_at_ms = creation_time_ms(job.key, None)
    return make_job_id(JobRequest(job.key, created_at_ms, job.customer, job.job_class, []))


def _write_timeline(fleet: LoopbackFleet, from_ms: int, path: Path) -> None:
    timeline = merge_events(fleet.events(), from_ms=from_ms, to_ms=from_ms + TIMELINE_MS)
    path.write_text(render_html(timeline, f"{TIMELINE_MS / 1000:g} s of load"))
