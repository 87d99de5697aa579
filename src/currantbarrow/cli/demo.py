"""Show both users' workloads going through the whole path."""

from __future__ import annotations

from pathlib import Path

from cleo.helpers import option

from currantbarrow.cli.command import LocalCommand
from currantbarrow.cli.errors import EXIT_FAILED, EXIT_OK

__all__ = ["DemoCommand"]


class DemoCommand(LocalCommand):
    """Run entries, sides, the log and workers in one process, with load."""

    name = "demo"
    description = "Run both users' workloads over loopback sockets in one process."
    options = [
        option("output", None, "Where to write.", flag=False, default="build/demo"),
        option("examples", None, "The ready sets of settings.", flag=False, default="examples"),
        option("seconds", None, "How long load comes, for each user.", flag=False, default="15"),
        option("json", None, "Print JSON instead of tables."),
    ]

    def run_command(self) -> int:
        """Run the demo and print its report."""
        # The daemons and the plots are loaded only by the commands that need them.
        from currantbarrow.load.demo import DemoOptions, run_demo

        output = Path(self.option("output"))
        load_s = self.float_option("seconds", minimum=0.5)
        options = DemoOptions(Path(self.option("examples")), output, load_s=load_s)
        output.mkdir(parents=True, exist_ok=True)
        report = self.run_async(run_demo(options, self.print_stderr))
        if self.option("json"):
            self.show_json([each.as_dict() for each in report.reports])
        else:
            self.show(report.as_table())
        self.print_stderr(f"reports, plot and time lines: {output}")
        return EXIT_OK if report.promises_held() else EXIT_FAILED
