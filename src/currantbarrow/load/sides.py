"""Run many side nodes with in-memory upstreams in one process, to load a single entry."""

from __future__ import annotations

import argparse
import asyncio
import random

import uvloop

from currantbarrow.load.fleet_settings import EPHEMERAL_ADDRESS
from currantbarrow.logservice.client import create_log_service
from currantbarrow.observe import EventRing, HybridClock, MetricsRegistry, create_clock
from currantbarrow.protocol.websocket import create_network
from currantbarrow.runtime import StopSignal, new_incarnation
from currantbarrow.side.node import SideNode, SideOptions
from currantbarrow.standins.upstream import MemoryUpstream, StartCounter

__all__ = ["main"]

ANNOUNCE_INTERVAL_MS = 1000.0


class _Options(argparse.Namespace):
    count: int
    slots: int
    log: str
    token: str


async def _serve(options: _Options) -> None:
    stop = StopSignal()
    start_counter = StartCounter()
    nodes = [_create_side(number, options, start_counter) for number in range(options.count)]
    for node in nodes:
        await node.start()
    announcing = asyncio.create_task(_announce(nodes, options.slots))
    await stop.drain.wait()
    announcing.cancel()
    await asyncio.gather(*(node.stop() for node in nodes))


async def _announce(nodes: list[SideNode], slots: int) -> None:
    while True:
        for node in nodes:
            node.announce(slots)
        await asyncio.sleep(ANNOUNCE_INTERVAL_MS / 1000)


def _create_side(number: int, options: _Options, start_counter: StartCounter) -> SideNode:
    name = f"side-{number:02}"
    clock = create_clock()
    hybrid = HybridClock(clock)
    metrics = MetricsRegistry()
    rng = random.Random(number)
    return SideNode(
        SideOptions(
            name,
            new_incarnation(name),
            EPHEMERAL_ADDRESS,
            "one",
            f"rack-{number // 3}",
            options.token,
        ),
        clock=clock,
        network=create_network(options.token, hybrid, metrics),
        log=create_log_service(options.log),
        upstream=MemoryUpstream(name, clock, rng, start_counter),
        rng=rng,
        metrics=metrics,
        events=EventRing(name, hybrid),
    )


def main() -> None:
    """Run the program."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, default=11)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--log", required=True, help="the URL of the log service")
    parser.add_argument("--token", required=True)
    uvloop.run(_serve(parser.parse_args(namespace=_Options())))


if __name__ == "__main__":
    main()
