"""Compute from measured slopes what each role needs at a given size of the installation."""

from __future__ import annotations

import argparse
from pathlib import Path

import msgspec

from currantbarrow.bench.slopes_figures import Slope
from currantbarrow.bench.slopes_state import SHARDS_PER_ENTRY
from currantbarrow.jobs import SHARD_COUNT

__all__ = ["Requirement", "Size", "compute_requirements", "format_requirements", "main"]

WINDOW_S = 600.0
KIB_PER_MIB = 1024.0
PANEL_MEMBERS = 5
PANEL_QUORUM = 3
CHECKS_PER_S = 5
CORE_MS_PER_S = 1000.0
# Limits on what control traffic and state may use in each process.
CONTROL_CPU_LIMIT_MS_PER_S = 17.0
CONTROL_MEMORY_LIMIT_MIB = 64e6 / 2**20
CONTROL_TRAFFIC_LIMIT_KB_PER_S = 13.0


class Size(msgspec.Struct, frozen=True):
    """Describe the size of an installation and its load."""

    workers: int = 2900
    starts_per_s: float = 100_000.0
    tasks_per_job: float = 10.0
    customers: int = 420
    classes: int = 1000
    entries: int = 80
    sides_per_entry: int = 2900

    @property
    def entries_per_side(self) -> float:
        """Return the mean number of entries that are linked to one side process."""
        return self.entries * self.sides_per_entry / self.workers


class Requirement(msgspec.Struct, frozen=True):
    """Describe a resource requirement of a role, with its limit if there is one."""

    role: str
    what: str
    amount: float
    unit: str
    bound: float | None = None


class _SlopeTable:
    """Look up slopes by name, role, varied quantity and unit."""

    def __init__(self, slopes: list[Slope]) -> None:
        self._slopes = {(each.name, each.role, each.over, each.unit): each for each in slopes}

    def slope(self, name: str, role: str, over: str, unit: str) -> float:
        """Return a slope; raise KeyError if it was not measured."""
        return self._slopes[name, role, over, unit].slope

    def base(self, name: str, role: str, over: str, unit: str) -> float:
        """Return the value at zero units, at least 0; raise KeyError if it was not measured."""
        return max(0.0, self._slopes[name, role, over, unit].base)


def compute_requirements(size: Size, measured: list[Slope]) -> list[Requirement]:
    """Return the requirements of all roles; raise KeyError if a slope is missing."""
    slopes = _SlopeTable(measured)
    return [*_entry_control(size, slopes), *_entry_work(size, slopes), *_side(size, slopes)]


def _entry_control(size: Size, slopes: _SlopeTable) -> list[Requirement]:
    over, link_count = "linked side process", size.sides_per_entry
    member_count = size.workers + size.entries
    cpu_ms_per_s = slopes.base("idle, ten sides", "entry", "entry", "ms CPU/s")
    cpu_ms_per_s += link_count * slopes.slope("idle links", "entry", over, "ms CPU/s")
    check = "one look at the wanted assignment"
    cpu_ms_per_s += CHECKS_PER_S * member_count * slopes.slope(check, "entry", "member", "ms")
    sent_bytes_per_s = link_count * slopes.slope("idle links", "entry", over, "B/s sent")
    sent_bytes_per_s += size.entries * slopes.slope("idle, ten sides", "entry", "entry", "B/s sent")
    received_bytes_per_s = link_count * slopes.slope("idle, one entry", "side", over, "B/s sent")
    messages_per_s = link_count * slopes.slope("idle links", "entry", over, "messages/s")
    messages_per_s += link_count * slopes.slope("idle, one entry", "side", over, "messages/s")
    memory_kib = slopes.slope("resident after the imports", "entry", "process", "KiB")
    memory_kib += link_count * slopes.slope("resident", "entry", over, "KiB") + _state_kib(
        size, slopes, member_count
    )
    memory_kib += size.customers * slopes.slope(
        "policies' memory of customers", "entry", "customer", "KiB"
    )
    return [
        Requirement(
            "entry, control", "processor, idle", cpu_ms_per_s, "ms/s", CONTROL_CPU_LIMIT_MS_PER_S
        ),
        Requirement("entry, control", "messages, idle, both ways", messages_per_s, "1/s"),
        Requirement(
            "entry, control",
            "sent, idle",
            sent_bytes_per_s / 1000,
            "KB/s",
            CONTROL_TRAFFIC_LIMIT_KB_PER_S,
        ),
        Requirement(
            "entry, control",
            "received, idle",
            received_bytes_per_s / 1000,
            "KB/s",
            CONTROL_TRAFFIC_LIMIT_KB_PER_S,
        ),
        Requirement(
            "entry, control", "memory", memory_kib / KIB_PER_MIB, "MiB", CONTROL_MEMORY_LIMIT_MIB
        ),
    ]


def _entry_work(size: Size, slopes: _SlopeTable) -> list[Requirement]:
    over = "task of a job, whole way over HTTP"
    job_cpu_ms = slopes.base("one job", "entry", over, "ms CPU")
    job_cpu_ms += size.tasks_per_job * slopes.slope("one job", "entry", over, "ms CPU")
    jobs_per_s = size.starts_per_s / size.tasks_per_job
    jobs_per_s_per_entry = jobs_per_s / size.entries
    task = "task of the job"
    job_kib = slopes.base("ended job in the table", "entry", task, "KiB")
    job_kib += size.tasks_per_job * slopes.slope("ended job in the table", "entry", task, "KiB")
    sent_bytes_per_s = (
        size.starts_per_s / size.entries * slopes.slope("loaded", "entry", "task/s", "B/s sent")
    )
    cores = jobs_per_s * job_cpu_ms / CORE_MS_PER_S
    return [
        Requirement("entry, work", "cores for all starts, all entries", cores, "cores"),
        Requirement("entry, work", "share of a core of each entry", cores / size.entries, "cores"),
        Requirement(
            "entry, work",
            "job table",
            jobs_per_s_per_entry * WINDOW_S * job_kib / KIB_PER_MIB,
            "MiB",
        ),
        Requirement("entry, work", "sent to side processes", sent_bytes_per_s / 1000, "KB/s"),
        Requirement("entry, work", "shards", SHARD_COUNT / size.entries, ""),
    ]


def _side(size: Size, slopes: _SlopeTable) -> list[Requirement]:
    link_count, member_count = size.entries_per_side, size.workers + size.entries
    worker_starts_per_s = size.starts_per_s / size.workers
    cpu_ms_per_s = slopes.base("idle", "side", "entry", "ms CPU/s")
    link_cpu_ms_per_s = slopes.slope("idle", "side", "entry", "ms CPU/s")
    cpu_ms_per_s += link_count * link_cpu_ms_per_s
    messages_per_s = slopes.slope("idle, one entry", "side", "linked side process", "messages/s")
    # Every entry needs a link to each panel member, also to those outside its own subset of sides.
    confirms_per_s = size.entries * PANEL_QUORUM / PANEL_MEMBERS
    panel_cpu_ms_per_s = (
        cpu_ms_per_s
        + (size.entries - link_count) * link_cpu_ms_per_s
        + confirms_per_s * link_cpu_ms_per_s / messages_per_s
    )
    sent_bytes_per_s = link_count * slopes.slope("idle", "side", "entry", "B/s sent")
    memory_kib = slopes.slope("resident after the imports", "side", "process", "KiB")
    memory_kib += link_count * slopes.slope("resident", "side", "entry", "KiB")
    memory_kib += _state_kib(size, slopes, member_count)
    starts_in_window = worker_starts_per_s * WINDOW_S
    over = "start in the window"
    ledger_kib = starts_in_window * slopes.slope(
        "start ledger, one task a job", "side", over, "KiB"
    )
    reply_kib = (
        starts_in_window
        / link_count
        * slopes.slope("reply to a fence of all shards", "side", over, "KiB")
    )
    reading_ms = (
        starts_in_window / link_count * slopes.slope("reading that reply", "entry", over, "ms")
    )
    reply_slope_name = f"making a reply for {SHARDS_PER_ENTRY} shards"
    making_ms = slopes.base(reply_slope_name, "side", over, "ms") + starts_in_window * slopes.slope(
        reply_slope_name, "side", over, "ms"
    )
    work_cpu_ms_per_s = worker_starts_per_s * slopes.slope("loaded", "side", "task/s", "ms CPU/s")
    return [
        Requirement(
            "side, control", "processor, idle", cpu_ms_per_s, "ms/s", CONTROL_CPU_LIMIT_MS_PER_S
        ),
        Requirement(
            "side, control",
            "processor, idle, on the panel",
            panel_cpu_ms_per_s,
            "ms/s",
            CONTROL_CPU_LIMIT_MS_PER_S,
        ),
        Requirement("side, control", "messages sent, idle", link_count * messages_per_s, "1/s"),
        Requirement(
            "side, control",
            "sent, idle",
            sent_bytes_per_s / 1000,
            "KB/s",
            CONTROL_TRAFFIC_LIMIT_KB_PER_S,
        ),
        Requirement(
            "side, control", "memory", memory_kib / KIB_PER_MIB, "MiB", CONTROL_MEMORY_LIMIT_MIB
        ),
        Requirement("side, work", "start ledger", ledger_kib / KIB_PER_MIB, "MiB"),
        Requirement("side, work", "processor for its starts", work_cpu_ms_per_s, "ms/s"),
        Requirement("takeover of one entry", "reply of a side process", reply_kib, "KiB"),
        Requirement("takeover of one entry", "making one reply", making_ms, "ms"),
        Requirement(
            "takeover of one entry",
            "all replies",
            reply_kib * size.sides_per_entry / KIB_PER_MIB,
            "MiB",
        ),
        Requirement(
            "takeover of one entry",
            "reading all replies",
            reading_ms * size.sides_per_entry / CORE_MS_PER_S,
            "s",
        ),
    ]


def _state_kib(size: Size, slopes: _SlopeTable, member_count: int) -> float:
    memory_kib = member_count * slopes.slope("cluster state", "entry, side", "member", "KiB")
    return memory_kib + size.classes * slopes.slope(
        "class state, one revision each", "entry, side", "class", "KiB"
    )


def format_requirements(requirements: list[Requirement]) -> str:
    """Return the requirements as a Markdown table."""
    rows = ["| role | what | amount | bound | within |", "|---|---|---:|---:|---|"]
    for requirement in requirements:
        bound = "" if requirement.bound is None else f"{requirement.bound:.3g}"
        within = (
            ""
            if requirement.bound is None
            else ("yes" if requirement.amount <= requirement.bound else "**no**")
        )
        amount = f"{requirement.amount:.3g} {requirement.unit}".strip()
        rows.append(f"| {requirement.role} | {requirement.what} | {amount} | {bound} | {within} |")
    return "\n".join(rows)


def main() -> None:
    """Print the requirements at a size, from the slopes of an earlier measurement."""
    parser = argparse.ArgumentParser(prog="currantbarrow.bench.slopes_sizing")
    parser.add_argument("--input", type=Path, default=Path("build"))
    parser.add_argument("--entries", type=int, default=Size().entries)
    parser.add_argument("--sides-per-entry", type=int, default=Size().sides_per_entry)
    parser.add_argument("--tasks-per-job", type=float, default=Size().tasks_per_job)
    options = parser.parse_args()
    measured = []
    for part in ("state", "links", "callers"):
        data = (options.input / f"slopes-{part}.json").read_bytes()
        measured += msgspec.json.decode(data, type=list[Slope])
    size = Size(
        entries=options.entries,
        sides_per_entry=options.sides_per_entry,
        tasks_per_job=options.tasks_per_job,
    )
    print(format_requirements(compute_requirements(size, measured)))


if __name__ == "__main__":
    main()
