"""Run a log and many side processes in one operating system process, to measure links."""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import resource
import sys
import time
from pathlib import Path

import uvloop

from currantbarrow.listening import bind_address, bound_address
from currantbarrow.logservice.client import create_log_service
from currantbarrow.observe import EventRing, HybridClock, MetricsRegistry, create_clock
from currantbarrow.protocol.websocket import create_network
from currantbarrow.settings import LogStandinSettings
from currantbarrow.side import SideNode, SideOptions
from currantbarrow.standins.log_main import LogStandin
from currantbarrow.standins.upstream import MemoryUpstream, StartCounter
from currantbarrow.types import LogService

__all__ = ["TOKEN", "main"]

TOKEN = "slopes"
ANNOUNCE_S = 1.0
START_PAUSE_S = 0.005


def resident_kib() -> float:
    """Return the resident memory of this process in KiB."""
    pages = int(Path("/proc/self/statm").read_text(encoding="ascii").split()[1])
    return pages * resource.getpagesize() / 1024


async def _serve(count: int, slots: int) -> None:
    listener = bind_address("127.0.0.1:0", "log")
    log_standin = LogStandin(LogStandinSettings(bound_address(listener)), listener)
    await log_standin.start()
    url = f"http://{bound_address(listener)}"
    metrics = MetricsRegistry()
    log = create_log_service(url)
    sides = [await _start_side(number, slots, metrics, log) for number in range(count)]
    announcing = asyncio.create_task(_announce_load(sides, slots))
    print(json.dumps({"url": url}), flush=True)
    loop = asyncio.get_running_loop()
    while await loop.run_in_executor(None, sys.stdin.readline):
        figures = {
            "cpu_s": time.process_time(),
            "resident_kib": resident_kib(),
            "bytes_sent": metrics.counters["link.bytes_sent"],
            "messages_sent": metrics.counters["link.messages_sent"],
        }
        print(json.dumps(figures), flush=True)
    announcing.cancel()
    await log.close()


async def _start_side(
    number: int, slots: int, metrics: MetricsRegistry, log: LogService
) -> SideNode:
    clock = create_clock()
    hybrid = HybridClock(clock)
    name = f"side-{number}"
    rng = random.Random(number)
    node = SideNode(
        SideOptions(name, f"{name}.1", "127.0.0.1:0", "one", f"rack-{number // 3}", TOKEN),
        clock=clock,
        network=create_network(TOKEN, hybrid, metrics),
        log=log,
        upstream=MemoryUpstream(name, clock, rng, StartCounter()),
        rng=rng,
        metrics=metrics,
        events=EventRing(name, hybrid),
    )
    await node.start()
    node.announce(slots)
    await asyncio.sleep(START_PAUSE_S)
    return node


async def _announce_load(sides: list[SideNode], slots: int) -> None:
    while True:
        await asyncio.sleep(ANNOUNCE_S)
        for side in sides:
            side.announce(slots)


def main() -> None:
    """Run the side processes until standard input closes; print usage for each line read."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--sides", type=int, required=True)
    parser.add_argument("--slots", type=int, required=True)
    options = parser.parse_args()
    uvloop.run(_serve(options.sides, options.slots))


if __name__ == "__main__":
    main()
