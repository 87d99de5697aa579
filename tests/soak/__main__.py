"""Run one or more seeds of the soak test, and keep the logs of seeds with violations."""

from __future__ import annotations

import argparse
import asyncio
import shutil
import signal
import sys
import tempfile
from pathlib import Path

import msgspec
import uvloop

from soak.fleet import Plan
from soak.run import run_seed

SEED_TIMEOUT_S = 240.0
FAILED = 1
# No violation, but the soak's own processes did not keep up, so that the run shows less.
LATE = 2


async def _run_one(plan: Plan, keep_folder: Path) -> int:
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{plan.seed}-"))
    running = asyncio.ensure_future(run_seed(plan, folder))
    # On SIGTERM, cancel the run so that it stops the processes that it started.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, running.cancel)
    report = await asyncio.wait_for(running, SEED_TIMEOUT_S)
    print(
        f"seed {plan.seed}: {len(report.faults)} faults, {report.starts} starts, "
        f"{report.outcomes}, {len(report.violations)} violations",
        flush=True,
    )
    for part in report.harness:
        print(f"  {'LATE ' if part.is_late else ''}{part.describe()}", flush=True)
    if report.late_parts:
        print("  the soak's own processes did not keep up in the parts marked LATE", flush=True)
    for line in report.violations[:20]:
        print(f"  {line}", flush=True)
    if report.violations or report.late_parts:
        kept_folder = keep_folder / f"seed-{plan.seed}"
        shutil.rmtree(kept_folder, ignore_errors=True)
        shutil.move(folder, kept_folder)
        (kept_folder / "report.json").write_bytes(msgspec.json.format(msgspec.json.encode(report)))
    else:
        shutil.rmtree(folder)
    if report.violations:
        return FAILED
    return LATE if report.late_parts else 0


async def _run_many(options: argparse.Namespace) -> int:
    failed: list[int] = []
    late: list[int] = []
    slots = asyncio.Semaphore(options.jobs)

    async def run_one(seed: int) -> None:
        async with slots:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "soak",
                *("--seed", str(seed), "--seconds", str(options.seconds)),
                *("--entries", str(options.entries), "--sides", str(options.sides)),
                *("--rate", str(options.rate), "--keep", options.keep),
                *(["--former-kinds"] if options.former_kinds else []),
                *(["--crashes"] if options.crashes else []),
                "--moves" if options.moves else "--no-moves",
            )
            try:
                if code := await process.wait():
                    (late if code == LATE else failed).append(seed)
            except asyncio.CancelledError:
                process.terminate()
                raise

    seeds = range(options.seed, options.seed + options.seeds)
    running = asyncio.gather(*(run_one(seed) for seed in seeds))
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, running.cancel)
    await running
    print(
        f"{options.seeds} seeds run, failed: {sorted(failed)}, "
        f"not failed but beside late stand-ins: {sorted(late)}",
        flush=True,
    )
    return FAILED if failed else LATE if late else 0


def main() -> int:
    """Run one seed in this process, or several seeds each in a process of its own."""
    parser = argparse.ArgumentParser(prog="python -m soak")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--seeds", type=int, default=1, help="number of seeds, counted up from --seed"
    )
    parser.add_argument("--jobs", type=int, default=2, help="number of seeds run concurrently")
    parser.add_argument("--seconds", type=float, default=20.0, help="duration of fault injection")
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--sides", type=int, default=6)
    parser.add_argument("--rate", type=float, default=15.0, help="jobs per second")
    parser.add_argument(
        "--keep", default="build/soak", help="directory for the logs of failed seeds"
    )
    parser.add_argument(
        "--former-kinds", action="store_true", help="no late commands, lost stops and long tasks"
    )
    parser.add_argument(
        "--crashes",
        action="store_true",
        help="tasks crash workers, and capacities shrink",
    )
    parser.add_argument(
        "--moves",
        action=argparse.BooleanOptionalAction,
        default=True,
        help="jobs outlast the processes that are stopped in turn, and move to other entries",
    )
    options = parser.parse_args()
    keep_folder = Path(options.keep)
    keep_folder.mkdir(parents=True, exist_ok=True)
    if options.seeds > 1:
        return asyncio.run(_run_many(options))
    plan = Plan(
        options.seed,
        options.seconds,
        options.entries,
        options.sides,
        options.rate,
        options.former_kinds,
        options.crashes,
        options.moves,
    )
    return uvloop.run(_run_one(plan, keep_folder))


if __name__ == "__main__":
    sys.exit(main())
