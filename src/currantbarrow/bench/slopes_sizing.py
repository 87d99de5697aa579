"""Work out from measured slopes what each role needs at a given size."""

from __future__ import annotations

import argparse
from pathlib import Path

import msgspec

from currantbarrow.bench.slopes_figures import Slope
from currantbarrow.bench.slopes_state import SHARDS_OF_ONE
from currantbarrow.jobs import SHARD_COUNT

__all__ = ["Need", "Size", "format_needs", "main", "work_out"]

WINDOW_S = 600.0
KIB_PER_MIB = 1024.0
PANEL_MEMBERS = 5
PANEL_ASKED = 3
LOOKS_PER_S = 5
CORE_MS_PER_S = 1000.0
CONTROL_CPU_MS_PER_S = 17.0
CONTROL_MIB = 64e6 / 2**20
CONTROL_KB_PER_S = 13.0


class Size(msgspec.Struct, frozen=True):
    """Hold the size of an installation."""

    workers: int = 2900
    starts_per_s: float = 100_000.0
    tasks_per_job: float = 10.0
    customers: int = 420
    classes: int = 1000
    entries: int = 80
    sides_per_entry: int = 2900

    @property
    def entries_per_side(self) -> float:
        """Return how many entries are linked to one side process."""
        return self.entries * self.sides_per_entry / self.workers


class Need(msgspec.Struct, frozen=True):
    """Hold one need of one role, beside its bound when there is one."""

    role: str
    what: str
    amount: float
    unit: str
    bound: float | None = None


class _Slopes:
    """Find slopes by name, role and what they are over."""

    def __init__(self, slopes: list[Slope]) -> None:
        self._slopes = {(each.name, each.role, each.over, each.unit): each for each in slopes}

    def per(self, name: str, role: str, over: str, unit: str) -> float:
        """Return a slope; raise KeyError when it was not measured."""
        return self._slopes[name, role, over, unit].slope

    def base(self, name: str, role: str, over: str, unit: str) -> float:
        """Return what there is at none."""
        return max(0.0, self._slopes[name, role, over, unit].base)


def work_out(size: Size, measured: list[Slope]) -> list[Need]:
    """Return the needs of all roles."""
    slopes = _Slopes(measured)
    return [*_entry_control(size, slopes), *_entry_work(size, slopes), *_side(size, slopes)]


def _entry_control(size: Size, slopes: _Slopes) -> list[Need]:
    over, links = "linked side process", size.sides_per_entry
    members = size.workers + size.entries
    cpu = slopes.base("idle, ten sides", "entry", "entry", "ms CPU/s")
    cpu += links * slopes.per("idle links", "entry", over, "ms CPU/s")
    look = "one look at the wanted assignment"
    cpu += LOOKS_PER_S * members * slopes.per(look, "entry", "member", "ms")
    sent = links * slopes.per("idle links", "entry", over, "B/s sent")
    sent += size.entries * slopes.per("idle, ten sides", "entry", "entry", "B/s sent")
    received = links * slopes.per("idle, one entry", "side", over, "B/s sent")
    messages = links * slopes.per("idle links", "entry", over, "messages/s")
    messages += links * slopes.per("idle, one entry", "side", over, "messages/s")
    kib = slopes.per("resident after the imports", "entry", "process", "KiB")
    kib += links * slopes.per("resident", "entry", over, "KiB") + _state_kib(size, slopes, members)
    kib += size.customers * slopes.per("policies' memory of customers", "entry", "customer", "KiB")
    return [
        Need("entry, control", "processor, idle", cpu, "ms/s", CONTROL_CPU_MS_PER_S),
        Need("entry, control", "messages, idle, both ways", messages, "1/s"),
        Need("entry, control", "sent, idle", sent / 1000, "KB/s", CONTROL_KB_PER_S),
        Need("entry, control", "received, idle", received / 1000, "KB/s", CONTROL_KB_PER_S),
        Need("entry, control", "memory", kib / KIB_PER_MIB, "MiB", CONTROL_MIB),
    ]


def _entry_work(size: Size, slopes: _Slopes) -> list[Need]:
    over = "task of a job, whole way over HTTP"
    job_ms = slopes.base("one job", "entry", over, "ms CPU")
    job_ms += size.tasks_per_job * slopes.per("one job", "entry", over, "ms CPU")
    jobs_per_s = size.starts_per_s / size.tasks_per_job
    mine = jobs_per_s / size.entries
    task = "task of the job"
    row_kib = slopes.base("ended job in the table", "entry", task, "KiB")
    row_kib += size.tasks_per_job * slopes.per("ended job in the table", "entry", task, "KiB")
    sent = size.starts_per_s / size.entries * slopes.per("loaded", "entry", "task/s", "B/s sent")
    cores = jobs_per_s * job_ms / CORE_MS_PER_S
    return [
        Need("entry, work", "cores for all starts, all entries", cores, "cores"),
        Need("entry, work", "share of a core of each entry", cores / size.entries, "cores"),
        Need("entry, work", "job table", mine * WINDOW_S * row_kib / KIB_PER_MIB, "MiB"),
        Need("entry, work", "sent to side processes", sent / 1000, "KB/s"),
        Need("entry, work", "shards", SHARD_COUNT / size.entries, ""),
    ]


def _side(size: Size, slopes: _Slopes) -> list[Need]:
    links, members = size.entries_per_side, size.workers + size.entries
    starts = size.starts_per_s / size.workers
    cpu = slopes.base("idle", "side", "entry", "ms CPU/s")
    link_ms = slopes.per("idle", "side", "entry", "ms CPU/s")
    cpu += links * link_ms
    messages = slopes.per("idle, one entry", "side", "linked side process", "messages/s")
    # Every entry has to reach the panel, whichever side processes it else has links to.
    confirms = size.entries * PANEL_ASKED / PANEL_MEMBERS
    panel = cpu + (size.entries - links) * link_ms + confirms * link_ms / messages
    sent = links * slopes.per("idle", "side", "entry", "B/s sent")
    control_kib = slopes.per("resident after the imports", "side", "process", "KiB")
    control_kib += links * slopes.per("resident", "side", "entry", "KiB")
    control_kib += _state_kib(size, slopes, members)
    window = starts * WINDOW_S
    over = "start in the window"
    ledger = window * slopes.per("start ledger, one task a job", "side", over, "KiB")
    reply = window / links * slopes.per("reply to a fence of all shards", "side", over, "KiB")
    reading = window / links * slopes.per("reading that reply", "entry", over, "ms")
    name = f"making a reply for {SHARDS_OF_ONE} shards"
    making = slopes.base(name, "side", over, "ms") + window * slopes.per(name, "side", over, "ms")
    work = starts * slopes.per("loaded", "side", "task/s", "ms CPU/s")
    return [
        Need("side, control", "processor, idle", cpu, "ms/s", CONTROL_CPU_MS_PER_S),
        Need(
            "side, control",
            "processor, idle, on the panel",
            panel,
            "ms/s",
            CONTROL_CPU_MS_PER_S,
        ),
        Need("side, control", "messages sent, idle", links * messages, "1/s"),
        Need("side, control", "sent, idle", sent / 1000, "KB/s", CONTROL_KB_PER_S),
        Need("side, control", "memory", control_kib / KIB_PER_MIB, "MiB", CONTROL_MIB),
        Need("side, work", "start ledger", ledger / KIB_PER_MIB, "MiB"),
        Need("side, work", "processor for its starts", work, "ms/s"),
        Need("takeover of one entry", "reply of a side process", reply, "KiB"),
        Need("takeover of one entry", "making one reply", making, "ms"),
        Need(
            "takeover of one entry",
            "all replies",
            reply * size.sides_per_entry / KIB_PER_MIB,
            "MiB",
        ),
        Need(
            "takeover of one entry",
            "reading all replies",
            reading * size.sides_per_entry / CORE_MS_PER_S,
            "s",
        ),
    ]


def _state_kib(size: Size, slopes: _Slopes, members: int) -> float:
    kib = members * slopes.per("cluster state", "entry, side", "member", "KiB")
    return kib + size.classes * slopes.per(
        "class state, one revision each", "entry, side", "class", "KiB"
    )


def format_needs(needs: list[Need]) -> str:
    """Return a table in Markdown."""
    rows = ["| role | what | amount | bound | within |", "|---|---|---:|---:|---|"]
    for need in needs:
        bound = "" if need.bound is None else f"{need.bound:.3g}"
        within = "" if need.bound is None else ("yes" if need.amount <= need.bound else "**no**")
        amount = f"{need.amount:.3g} {need.unit}".strip()
        rows.append(f"| {need.role} | {need.what} | {amount} | {bound} | {within} |")
    return "\n".join(rows)


def main() -> None:
    """Print the needs at a size, from the figures of an earlier measurement."""
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
    print(format_needs(work_out(size, measured)))


if __name__ == "__main__":
    main()
