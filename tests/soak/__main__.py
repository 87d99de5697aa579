"""Play seeds of the soak, some at once, and keep the logs of those that fail."""

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


async def _run_one(plan: Plan, keep_folder: Path) -> int:
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{plan.seed}-"))
    running = asyncio.ensure_future(run_seed(plan, folder))
    # What the run has started ends with it.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, running.cancel)
    report = await asyncio.wait_for(running, SEED_TIMEOUT_S)
    print(
        f"seed {plan.seed}: {len(report.faults)} faults, {report.starts} starts, "
        f"{report.outcomes}, {len(report.violations)} violations",
        flush=True,
    )
    for line in report.violations[:20]:
        print(f"  {line}", flush=True)
    if report.violations:
        kept_folder = keep_folder / f"seed-{plan.seed}"
        shutil.rmtree(kept_folder, ignore_errors=True)
        shutil.move(folder, kept_folder)
        (kept_folder / "report.json").write_bytes(msgspec.json.format(msgspec.json.encode(report)))
    else:
        shutil.rmtree(folder)
    return bool(report.violations)


async def _run_many(options: argparse.Namespace) -> int:
    failed: list[int] = []
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
            )
            try:
                if await process.wait():
                    failed.append(seed)
            except asyncio.CancelledError:
                process.terminate()
                raise

    seeds = range(options.seed, options.seed + options.seeds)
    running = asyncio.gather(*(run_one(seed) for seed in seeds))
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, running.cancel)
    await running
    print(f"{options.seeds} seeds played, failed: {sorted(failed)}", flush=True)
    return 1 if failed else 0


def main() -> int:
    """Play one seed, or many."""
    parser = argparse.ArgumentParser(prog="python -m soak")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="how many, from the first one on")
    parser.add_argument("--jobs", type=int, default=2, help="how many at once")
    parser.add_argument("--seconds", type=float, default=20.0, help="of faults")
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--sides", type=int, default=6)
    parser.add_argument("--rate", type=float, default=15.0, help="jobs a second")
    parser.add_argument("--keep", default="build/soak", help="where logs of failed seeds go")
    options = parser.parse_args()
    keep_folder = Path(options.keep)
    keep_folder.mkdir(parents=True, exist_ok=True)
    if options.seeds > 1:
        return asyncio.run(_run_many(options))
    plan = Plan(options.seed, options.seconds, options.entries, options.sides, options.rate)
    return uvloop.run(_run_one(plan, keep_folder))


if __name__ == "__main__":
    sys.exit(main())
