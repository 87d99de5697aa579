"""Show both users' workloads going through the whole path."""

from __future__ import annotations

import asyncio
from pathlib import Path

import uvloop
from cleo.commands.command import Command
from cleo.helpers import option

from currantbarrow.load.demo import DemoPlan, run_demo

__all__ = ["DemoCommand"]


class DemoCommand(Command):
    """Run entries, sides, the log and workers in one process, with load."""

    name = "demo"
    description = "Run both users' workloads over loopback sockets in one process."
    options = [
        option("output", None, "Folder for the report and the time line.", flag=False),
        option("seconds", None, "How long load comes, for each user.", flag=False, default="15"),
    ]

    def handle(self) -> int:
        """Run the demo and print its report."""
        output = Path(self.option("output") or "build/demo")
        plan = DemoPlan(load_s=float(self.option("seconds")))
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            report = runner.run(run_demo(plan, output))
        self.line(report.as_table())
        self.line(f"report and time line: {output}")
        return 0 if report.promises_held() else 1
