"""Generate load on a running fleet."""

from __future__ import annotations

from pathlib import Path

import msgspec
from cleo.helpers import option

from currantbarrow.cli.client import HttpClient
from currantbarrow.cli.command import FleetCommand, fleet_options
from currantbarrow.cli.errors import EXIT_FAILED, EXIT_OK
from currantbarrow.cli.fleet import ClassRow, MemberRow, list_members, query_members
from currantbarrow.exceptions import OperatorError
from currantbarrow.load.report import LoadReport
from currantbarrow.load.runner import run_load
from currantbarrow.load.traffic import Traffic, count_traffic
from currantbarrow.load.workload import WORKLOADS, PlannedJob, Workload, plan_jobs

__all__ = ["LoadCommand"]

PROGRESS_INTERVAL_JOBS = 200


class LoadCommand(FleetCommand):
    """Send a user's workload to a fleet in an open loop, and report the results."""

    name = "load"
    description = "Put a workload on a running fleet and report response over ideal."
    options = fleet_options(
        option("workload", None, f"One of {', '.join(WORKLOADS)}.", flag=False, default="vaja"),
        option("seconds", None, "Seconds of load.", flag=False, default="10"),
        option("busy", None, "The share of all slots to keep busy.", flag=False, default="0.6"),
        option("seed", None, "Seed of the generated jobs.", flag=False, default="7"),
        option("also", None, "Another callers' URL; may be repeated.", flag=False, multiple=True),
        option("output", None, "Write the report and a plot here.", flag=False),
    )

    async def run_with_client(self, client: HttpClient) -> int:
        """Run the load, and show and write the report."""
        workload = self._workload()
        rows = await list_members(client, self.operator_url)
        slots = sum(row.slots for row in rows)
        await self._check_fleet(client, workload, slots)
        seed = self.int_option("seed") or 0
        report = LoadReport(workload.name, slots)
        jobs = plan_jobs(
            workload,
            duration_s=self.float_option("seconds", minimum=0.1),
            busy_slots=slots * self.float_option("busy", minimum=0.001),
            seed=seed,
        )
        before = await self._traffic(client, rows)
        await run_load(
            jobs, [self.entry_url, *self.option("also")], report, seed, self._create_progress()
        )
        report.traffic = (await self._traffic(client, rows)).since(before)
        self._show_report(report)
        return EXIT_OK if report.promises_held() else EXIT_FAILED

    def _workload(self) -> Workload:
        name = self.option("workload")
        if name not in WORKLOADS:
            message = f"--workload: one of {', '.join(WORKLOADS)}, not {name}"
            raise OperatorError(message, code="argument_invalid")
        return WORKLOADS[name]

    async def _check_fleet(self, client: HttpClient, workload: Workload, slots: int) -> None:
        if not slots:
            raise OperatorError(
                "no worker has announced itself",
                code="no_workers",
                hint="See: currantbarrow members",
            )
        decoded = await client.get(f"{self.operator_url}/classes")
        known = {row.name for row in msgspec.convert(decoded, list[ClassRow])}
        missing = [
            work_class.name for work_class in workload.classes if work_class.name not in known
        ]
        if missing:
            raise OperatorError(
                f"there is no class named {', '.join(missing)}",
                code="class_unknown",
                hint=f"Create them with: examples/{workload.name}/classes.sh",
            )

    async def _traffic(self, client: HttpClient, rows: list[MemberRow]) -> Traffic:
        replies = await query_members(client, [row.member for row in rows], "/status")
        return count_traffic(reply.body["counters"] for reply in replies if reply.body)

    def _create_progress(self) -> _Progress:
        return _Progress(self)

    def _show_report(self, report: LoadReport) -> None:
        if self.option("output"):
            # Imported here so that matplotlib is loaded only if a plot is written.
            from currantbarrow.load.plot import plot_ratios

            folder = Path(self.option("output"))
            report.write(folder)
            plot_ratios({report.title: report.curves()}, folder / f"{report.title}-ratios.svg")
        if self.as_json:
            self.show_json(report.as_dict())
        else:
            self.show(report.as_table())
            self.print_stderr(
                "double starts are not visible from outside; the demo and the tests count them"
            )


class _Progress:
    """Print the number of sent jobs every PROGRESS_INTERVAL_JOBS jobs."""

    def __init__(self, command: LoadCommand) -> None:
        self._command = command
        self._sent = 0

    def __call__(self, job: PlannedJob) -> None:
        """Count a sent job."""
        self._sent += 1
        if self._sent % PROGRESS_INTERVAL_JOBS == 0:
            self._command.print_stderr(f"{self._sent} jobs sent, {job.at_s:.1f} s in")
