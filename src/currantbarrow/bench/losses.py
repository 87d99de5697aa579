"""Measure what callers see when workers, an entry or a data centre are lost under load."""

from __future__ import annotations

import asyncio

import msgspec

from currantbarrow.bench.ownership import OWNERS, OwnershipRun
from currantbarrow.standins.virtual import run_virtual

__all__ = ["LossFigures", "measure_loss"]

LOSS_AT_MS = 8_000.0
END_MS = 30_000.0
WATCH_MS = 12_000.0
LOOK_MS = 20.0
LOSSES = {
    "a worker": ("side-1",),
    "a rack of three workers": ("side-3", "side-4", "side-5"),
    "an entry": ("entry-1",),
    "an entry and a worker": ("entry-1", "side-1"),
    "a data centre": ("entry-0", "side-0", "side-3", "side-6", "side-9"),
}


class LossFigures(msgspec.Struct, frozen=True):
    """Hold what a loss cost."""

    back_ms: float
    jobs: int
    unknown: int
    refused: int
    slowest_ms: float
    double_starts: int


async def _measure(victims: tuple[str, ...], seed: int) -> LossFigures:
    run = OwnershipRun(OWNERS, seed, END_MS)
    await run.begin()
    load = asyncio.create_task(run.load())
    await run.until(LOSS_AT_MS)
    lost_ms = run.fleet.clock.monotonic_ms()
    for name in victims:
        if name in run.fleet.entries:
            await run.fleet.kill_entry(name)
        else:
            await run.fleet.kill_side(name)
    back_ms = -1.0
    while back_ms < 0 and run.fleet.clock.monotonic_ms() - lost_ms < WATCH_MS:
        await run.fleet.clock.sleep_ms(LOOK_MS)
        if run.is_settled():
            back_ms = run.fleet.clock.monotonic_ms() - lost_ms
    await load
    await run.fleet.stop()
    touched = [seen for seen in run.seen if seen.sent_ms + seen.response_ms >= LOSS_AT_MS]
    return LossFigures(
        back_ms,
        len(touched),
        sum(seen.unknown for seen in touched),
        sum(seen.refused for seen in touched),
        max(seen.response_ms for seen in touched),
        len(run.fleet.start_counter.double_starts()),
    )


def measure_loss(victims: tuple[str, ...], seed: int) -> LossFigures:
    """Return what the loss of processes cost the jobs that were open or came after it."""
    return run_virtual(_measure(victims, seed))


def main() -> None:
    """Print the figures of all losses as a Markdown table."""
    print("| loss | shards back ms | jobs | unknown | refused | slowest ms | double starts |")
    print("|---|---|---|---|---|---|---|")
    for name, victims in LOSSES.items():
        each = measure_loss(victims, 1)
        print(
            f"| {name} | {each.back_ms:.0f} | {each.jobs} | {each.unknown} | {each.refused} "
            f"| {each.slowest_ms:.0f} | {each.double_starts} |"
        )


if __name__ == "__main__":
    main()
