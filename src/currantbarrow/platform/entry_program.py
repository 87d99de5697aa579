"""Run the entry program of the platform."""

from __future__ import annotations

import random

from currantbarrow.direct.entry import DirectEntry, DirectEntryOptions
from currantbarrow.intake import create_intake, create_internal_limits, create_limits
from currantbarrow.observe import HybridClock, create_clock, logger
from currantbarrow.observe.exposition import PrometheusMetrics, create_metrics_app
from currantbarrow.platform.callers import create_callers_app, create_readiness_app
from currantbarrow.platform.configuration import parse_configuration
from currantbarrow.platform.serving import (
    DRAIN_RESERVE_MS,
    close_all,
    create_stop_event,
    serve_app,
)
from currantbarrow.platform.settings import ProcessSettings
from currantbarrow.platform.store import StoreClient
from currantbarrow.platform.topics import TopicHostDirectory, create_configuration_source
from currantbarrow.protocol.websocket import create_network

__all__ = ["run_entry"]

# Accept jobs for this long after the stop signal: the load balancer checks readiness once a second
# and may need two checks to notice that an entry is not ready.
DRAIN_ACCEPT_MS = 2800.0


async def run_entry(settings: ProcessSettings, incarnation: str) -> None:
    """Serve callers until the process is signalled to stop."""
    # Before the first caller or worker is served, since the default action of SIGTERM is to end.
    stop = create_stop_event()
    clock = create_clock()
    metrics = PrometheusMetrics()
    rng = random.Random()
    store = StoreClient(settings.store_address)
    options = DirectEntryOptions(
        settings.name,
        incarnation,
        settings.link_address,
        settings.link_listener_address,
        settings.data_centre,
        settings.seed_link_addresses,
        DRAIN_ACCEPT_MS,
        settings.grace_ms - DRAIN_RESERVE_MS,
        settings.evacuations,
        settings.far_factor,
    )
    entry = DirectEntry(
        options,
        clock=clock,
        network=create_network("", HybridClock(clock), metrics),
        rng=rng,
        metrics=metrics,
        directory=TopicHostDirectory(store, clock, rng, metrics),
        source=create_configuration_source(store, clock, rng, metrics),
        parse=parse_configuration,
    )
    requests = entry.requests
    limits = create_limits(settings.memory_mb, settings.descriptors)
    intake = create_intake("callers", limits, metrics)
    # Callers must not be able to take the connections of operators and of the load balancer.
    internal = create_intake("internal", create_internal_limits(settings.memory_mb), metrics)
    runners = [
        await serve_app(
            create_metrics_app(metrics), settings.metrics_address, "metrics", requests, internal
        ),
        await serve_app(
            create_readiness_app(entry), settings.readiness_address, "readiness", requests, internal
        ),
        await serve_app(
            create_callers_app(entry, metrics),
            settings.callers_address,
            "callers",
            requests,
            intake,
            cancel=True,
        ),
    ]
    await entry.start()
    logger.info("started", extra={"incarnation": options.incarnation})
    await stop.wait()
    await entry.drain()
    # A request that waits for a peer would take the end of its link for an answer.
    await close_all([runner.cleanup for runner in reversed(runners)], [entry.stop, store.close])
