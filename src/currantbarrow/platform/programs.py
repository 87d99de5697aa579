"""Run the programs that the platform starts on its hosts."""

from __future__ import annotations

import asyncio
import gc
import random
import signal
import sys
from collections.abc import Awaitable, Callable

import uvloop
from aiohttp import web

from currantbarrow.direct.entry import DirectEntry, DirectEntryOptions
from currantbarrow.direct.side import DirectSide, DirectSideOptions
from currantbarrow.exceptions import CurrantbarrowError
from currantbarrow.listening import bind_address
from currantbarrow.observe import HybridClock, configure_logging, create_clock, logger
from currantbarrow.observe.exposition import ExposedMetrics, create_metrics_app
from currantbarrow.platform.announcements import create_announcements_app
from currantbarrow.platform.callers import create_callers_app, create_readiness_app
from currantbarrow.platform.configuration import parse_configuration
from currantbarrow.platform.settings import ProcessSettings, load_process_settings
from currantbarrow.platform.store import StoreClient
from currantbarrow.platform.topics import StoreDirectory, create_configuration_source
from currantbarrow.platform.worker import HttpWorkerControl
from currantbarrow.protocol.direct import HostRow
from currantbarrow.protocol.websocket import create_network
from currantbarrow.runtime import GC_THRESHOLDS, new_incarnation

__all__ = ["main"]

# The balancer learns within two of its questions, a second apart, that an entry is not ready.
DRAIN_ACCEPT_MS = 2800.0
# What is left of the grace period for the last answers to leave.
DRAIN_RESERVE_MS = 500.0
SHUTDOWN_S = 0.3


async def _serve_app(
    app: web.Application, address: str, setting: str, cancel: bool = False
) -> web.AppRunner:
    runner = web.AppRunner(
        app,
        access_log=None,
        handler_cancellation=cancel,
        shutdown_timeout=SHUTDOWN_S,
        keepalive_timeout=75.0,
    )
    await runner.setup()
    await web.SockSite(runner, bind_address(address, setting)).start()
    return runner


async def _wait_for_stop() -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    # The settings that a running process uses do not change while its host lives.
    loop.add_signal_handler(
        signal.SIGHUP, lambda: logger.info("reload", extra={"outcome": "nothing to change"})
    )
    await stop.wait()


async def _run_entry(settings: ProcessSettings) -> None:
    clock = create_clock()
    metrics = ExposedMetrics()
    rng = random.Random()
    store = StoreClient(settings.store_address)
    options = DirectEntryOptions(
        settings.name,
        new_incarnation(settings.name),
        settings.link_address,
        settings.data_centre,
        settings.seed_link_addresses,
        DRAIN_ACCEPT_MS,
        settings.grace_ms - DRAIN_RESERVE_MS,
    )
    entry = DirectEntry(
        options,
        clock=clock,
        network=create_network("", HybridClock(clock), metrics),
        rng=rng,
        metrics=metrics,
        directory=StoreDirectory(store, clock, rng, metrics),
        source=create_configuration_source(store, clock, rng, metrics),
        parse=parse_configuration,
    )
    runners = [
        await _serve_app(create_metrics_app(metrics), settings.metrics_address, "metrics"),
        await _serve_app(create_readiness_app(entry), settings.readiness_address, "readiness"),
        await _serve_app(
            create_callers_app(entry, metrics), settings.callers_address, "callers", cancel=True
        ),
    ]
    await entry.start()
    logger.info("started", extra={"incarnation": options.incarnation})
    await _wait_for_stop()
    await entry.drain()
    for runner in reversed(runners):
        await runner.cleanup()
    await entry.stop()
    await store.close()


async def _run_side(settings: ProcessSettings) -> None:
    clock = create_clock()
    metrics = ExposedMetrics()
    rng = random.Random()
    store = StoreClient(settings.store_address)
    control = HttpWorkerControl(settings.worker_address)
    options = DirectSideOptions(
        settings.name,
        new_incarnation(settings.name),
        settings.link_address,
        settings.data_centre,
        settings.worker_lease_ms,
        settings.grace_ms - DRAIN_RESERVE_MS,
    )
    side = DirectSide(
        options,
        control,
        clock=clock,
        network=create_network("", HybridClock(clock), metrics),
        metrics=metrics,
    )
    runners = [
        await _serve_app(create_metrics_app(metrics), settings.metrics_address, "metrics"),
        await _serve_app(
            create_announcements_app(side.driver, metrics),
            settings.announcement_address,
            "announcements",
        ),
    ]
    await side.start()
    directory = StoreDirectory(store, clock, rng, metrics)
    row = HostRow("side", settings.link_address, options.incarnation, settings.data_centre)
    publishing = asyncio.create_task(directory.publish(row))
    logger.info("started", extra={"incarnation": options.incarnation})
    await _wait_for_stop()
    logger.info("draining")
    await side.drain()
    publishing.cancel()
    for runner in runners:
        await runner.cleanup()
    await side.stop()
    await control.close()
    await store.close()
    logger.info("drained")


RUNNERS: dict[str, Callable[[ProcessSettings], Awaitable[None]]] = {
    "entry": _run_entry,
    "side": _run_side,
}


async def _run(role: str, settings: ProcessSettings) -> None:
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    await RUNNERS[role](settings)


def main() -> int:
    """Run the program that the first argument names."""
    role = sys.argv[1] if len(sys.argv) > 1 else ""
    if role not in RUNNERS:
        print(f"usage: {sys.argv[0]} {'|'.join(RUNNERS)}", file=sys.stderr)
        return 2
    try:
        settings = load_process_settings()
        configure_logging(settings.name)
        uvloop.run(_run(role, settings))
    except CurrantbarrowError as error:
        print(f"{role}: {error.code}: {error}", file=sys.stderr)
        return 2
    return 0
