"""Measure how the loss of workers, an entry or a data centre under load affects callers."""

from __future__ import annotations

import asyncio

import msgspec

from currantbarrow.bench.ownership import OWNERS, OwnershipRun
from currantbarrow.standins.virtual import run_virtual

__all__ = ["LossFigures", "measure_loss"]

LOSS_AT_MS = 8_000.0
LOAD_END_MS = 30_000.0
RECOVERY_TIMEOUT_MS = 12_000.0
POLL_INTERVAL_MS = 20.0
LOSSES = {
    "a worker": ("side-1",),
    "a rack of three workers": ("side-3", "side-4", "side-5"),
    "an entry": ("entry-1",),
    "an entry and a worker": ("entry-1", "side-1"),
    "a data centre": ("entry-0", "side-0", "side-3", "side-6", "side-9"),
}


class LossFigures(msgspec.Struct, frozen=True):
    """Report a loss; back_ms is the takeover time, -1 if shards were not taken over in time."""

    back_ms: float
    jobs: int
    unknown: int
    refused: int
    slowest_ms: float
    double_starts: int


async def _measure(lost_processes: tuple[str, ...], seed: int) -> LossFigures:
    run = OwnershipRun(OWNERS, seed, LOAD_END_MS)
    await run.start()
    load = asyncio.create_task(run.run_load())
    await run.sleep_until(LOSS_AT_MS)
    lost_ms = run.fleet.clock.monotonic_ms()
    for name in lost_processes:
        if name in run.fleet.entries:
            await run.fleet.kill_entry(name)
        else:
            await run.fleet.kill_side(name)
    back_ms = -1.0
    while back_ms < 0 and run.fleet.clock.monotonic_ms() - lost_ms < RECOVERY_TIMEOUT_MS:
        await run.fleet.clock.sleep_ms(POLL_INTERVAL_MS)
        if run.is_settled():
            back_ms = run.fleet.clock.monotonic_ms() - lost_ms
    await load
    await run.fleet.stop()
    affected_jobs = [
        job for job in run.observed_jobs if job.sent_ms + job.response_ms >= LOSS_AT_MS
    ]
    return LossFigures(
        back_ms,
        len(affected_jobs),
        sum(job.unknown for job in affected_jobs),
        sum(job.refused for job in affected_jobs),
        max(job.response_ms for job in affected_jobs),
        len(run.fleet.start_counter.double_starts()),
    )


def measure_loss(lost_processes: tuple[str, ...], seed: int) -> LossFigures:
    """Return the effects of a loss on jobs that were open then or were submitted later."""
    return run_virtual(_measure(lost_processes, seed))


def main() -> None:
    """Print the figures of all losses as a Markdown table."""
    print("| loss | shards back ms | jobs | unknown | refused | slowest ms | double starts |")
    print("|---|---|---|---|---|---|---|")
    for name, lost_processes in LOSSES.items():
        each = measure_loss(lost_processes, 1)
        print(
            f"| {name} | {each.back_ms:.0f} | {each.jobs} | {each.unknown} | {each.refused} "
            f"| {each.slowest_ms:.0f} | {each.double_starts} |"
        )


if __name__ == "__main__":
    main()
