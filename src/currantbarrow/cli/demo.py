"""Run both users' workloads through complete fleets and report on them."""

from __future__ import annotations

from pathlib import Path

from cleo.helpers import option

from currantbarrow.cli.command import LocalCommand
from currantbarrow.cli.errors import EXIT_FAILED, EXIT_OK

__all__ = ["DemoCommand"]


class DemoCommand(LocalCommand):
    """Run entries, sides, the log service and workers in one process, under load."""

    name = "demo"
    description = "Run both users' workloads over loopback sockets in one process."
    options = [
        option("output", None, "The folder to write to.", flag=False, default="build/demo"),
        option("examples", None, "The folder of example settings.", flag=False, default="examples"),
        option("seconds", None, "Seconds of load for each user.", flag=False, default="15"),
        option("json", None, "Print JSON instead of tables."),
    ]

    def run_command(self) -> int:
        """Run the demo and print its report."""
        # Imported here so that other commands need not load the daemons and matplotlib.
        from currantbarrow.load.demo import DemoOptions, run_demo

        output = Path(self.option("output"))
        load_s = self.float_option("seconds", minimum=0.5)
        options = DemoOptions(Path(self.option("examples")), output, load_s=load_s)
        output.mkdir(parents=True, exist_ok=True)
        report = self.run_async(run_demo(options, self.print_stderr))
        if self.option("json"):
            self.show_json([load_report.as_dict() for load_report in report.reports])
        else:
            self.show(report.as_table())
        self.print_stderr(f"reports, plot and timelines: {output}")
        return EXIT_OK if report.promises_held() else EXIT_FAILED
