"""Run both users' fleets in one process over loopback sockets, with load."""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
from collections.abc import AsyncIterator
from pathlib import Path

import msgspec
from aiohttp import web

from currantbarrow.entry.main import EntryDaemon, start_entry
from currantbarrow.load.report import LoadReport
from currantbarrow.load.runner import run_load
from currantbarrow.load.workload import WORKLOADS, Workload, plan_jobs
from currantbarrow.logservice import ClassDefinition
from currantbarrow.settings import (
    EntrySettings,
    LogStandinSettings,
    SideSettings,
    WorkerStandinSettings,
)
from currantbarrow.side.main import SideDaemon, start_side
from currantbarrow.standins.log_main import create_log_app, create_log_standin
from currantbarrow.standins.upstream import StartBook
from currantbarrow.standins.worker_main import WorkerStandin

__all__ = ["DemoPlan", "DemoReport", "run_demo"]

TOKEN = "demo"
READY_LOOK_S = 0.05
READY_LIMIT_S = 20.0
BASE_PORTS = {"vaja": 21000, "sorachi": 22000}
DATA_CENTRES = {
    "vaja": ("moste", "siska", "vic"),
    "sorachi": ("asahikawa", "nayoro", "wakkanai"),
}


class DemoPlan(msgspec.Struct, frozen=True):
    """Say how large the demo is."""

    entries: int = 3
    workers: int = 11
    slots: int = 8
    load_s: float = 15.0
    busy_share: float = 0.6
    seed: int = 7


class DemoReport:
    """Hold the reports of both users."""

    def __init__(self, reports: list[LoadReport]) -> None:
        self.reports = reports

    def as_table(self) -> str:
        """Return all figures as Markdown tables."""
        return "\n".join(report.as_table() for report in self.reports)

    def promises_held(self) -> bool:
        """Tell whether no promise was broken."""
        return all(report.promises_held() for report in self.reports)


async def run_demo(plan: DemoPlan, output: Path) -> DemoReport:
    """Run one user after the other and write their reports."""
    reports = []
    for workload in WORKLOADS.values():
        reports.append(await _run_workload(workload, plan, output))
    return DemoReport(reports)


async def _run_workload(workload: Workload, plan: DemoPlan, output: Path) -> LoadReport:
    report = LoadReport(workload.name)
    book = StartBook()
    async with _start_fleet(workload.name, plan, book) as (entries, sides):
        await _wait_ready(entries, plan)
        for kind in workload.classes:
            definition = ClassDefinition(kind.target_ms)
            await entries[0].node.change_class(kind.name, 0, definition, "demo")
        await _wait_classes(entries, len(workload.classes))
        busy_slots = plan.workers * plan.slots * plan.busy_share
        jobs = plan_jobs(workload, load_s=plan.load_s, busy_slots=busy_slots, seed=plan.seed)
        urls = [f"http://127.0.0.1:{_port(workload.name, n, 0)}" for n in range(plan.entries)]
        before = _messages(entries, sides)
        await run_load(jobs, urls, report, plan.seed)
        report.messages = _messages(entries, sides) - before
        report.started_tasks = len(book.starts)
        report.double_starts = len(book.double_starts())
    report.write(output)
    return report


def _messages(entries: list[EntryDaemon], sides: list[SideDaemon]) -> int:
    books = [entry.book for entry in entries] + [side.book for side in sides]
    return sum(book.counters["link.messages_sent"] for book in books)


async def _wait_ready(entries: list[EntryDaemon], plan: DemoPlan) -> None:
    async with asyncio.timeout(READY_LIMIT_S):
        while not all(_is_ready(entry, plan) for entry in entries):
            await asyncio.sleep(READY_LOOK_S)


def _is_ready(entry: EntryDaemon, plan: DemoPlan) -> bool:
    node = entry.node
    owners = set(node.cluster.assignment.owners)
    sides_up = len(node.sides.views())
    settled = node.ownership.is_settled() and node.lease.held()
    return len(owners) == plan.entries and sides_up == plan.workers and settled


async def _wait_classes(entries: list[EntryDaemon], count: int) -> None:
    async with asyncio.timeout(READY_LIMIT_S):
        while not all(len(entry.node.classes.names()) >= count for entry in entries):
            await asyncio.sleep(READY_LOOK_S)


def _port(user: str, number: int, kind: int) -> int:
    return BASE_PORTS[user] + 10 * number + kind


@contextlib.asynccontextmanager
async def _start_fleet(
    user: str, plan: DemoPlan, book: StartBook
) -> AsyncIterator[tuple[list[EntryDaemon], list[SideDaemon]]]:
    async with contextlib.AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        token_file = Path(folder) / "token"
        token_file.write_text(TOKEN)
        log_address = f"127.0.0.1:{BASE_PORTS[user] + 999}"
        await _start_log(stack, log_address)
        entries, sides = [], []
        for number in range(plan.workers):
            sides.append(
                await _start_side(stack, user, plan, number, book, log_address, token_file)
            )
        for number in range(plan.entries):
            settings = _entry_settings(user, number, log_address, str(token_file))
            entry = start_entry(settings, TOKEN)
            await entry.start(settings)
            stack.push_async_callback(entry.stop)
            entries.append(entry)
        yield entries, sides


async def _start_log(stack: contextlib.AsyncExitStack, address: str) -> None:
    app = create_log_app(create_log_standin(LogStandinSettings(address)))
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    host, _, port = address.rpartition(":")
    await web.TCPSite(runner, host, int(port)).start()


async def _start_side(
    stack: contextlib.AsyncExitStack,
    user: str,
    plan: DemoPlan,
    number: int,
    book: StartBook,
    log_address: str,
    token_file: Path,
) -> SideDaemon:
    centres = DATA_CENTRES[user]
    worker = 100 + number * 10
    settings = SideSettings(
        f"side-{number}",
        centres[number % len(centres)],
        f"rack-{number // 3}",
        f"127.0.0.1:{BASE_PORTS[user] + worker}",
        f"127.0.0.1:{BASE_PORTS[user] + worker + 1}",
        f"http://127.0.0.1:{BASE_PORTS[user] + worker + 2}",
        f"http://{log_address}",
        str(token_file),
    )
    side = start_side(settings, TOKEN)
    await side.start(settings)
    stack.push_async_callback(side.drain)
    upstream = WorkerStandin(
        WorkerStandinSettings(
            f"worker-{number}",
            f"127.0.0.1:{BASE_PORTS[user] + worker + 2}",
            f"http://127.0.0.1:{BASE_PORTS[user] + worker + 1}",
            plan.slots,
        ),
        book,
    )
    await upstream.start()
    stack.push_async_callback(upstream.stop)
    return side


def _entry_settings(user: str, number: int, log_address: str, token_file: str) -> EntrySettings:
    centres = DATA_CENTRES[user]
    return EntrySettings(
        f"{user}-entry-{number}",
        centres[number % len(centres)],
        f"entry-rack-{number}",
        f"127.0.0.1:{_port(user, number, 0)}",
        f"127.0.0.1:{_port(user, number, 1)}",
        f"127.0.0.1:{_port(user, number, 2)}",
        f"http://{log_address}",
        token_file,
    )
