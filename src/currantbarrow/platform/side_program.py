"""Run the side process program of the platform."""

from __future__ import annotations

import random

from currantbarrow.direct.side import DirectSide, DirectSideOptions
from currantbarrow.intake import create_intake, create_internal_limits
from currantbarrow.observe import HybridClock, create_clock, logger
from currantbarrow.observe.exposition import PrometheusMetrics, create_metrics_app
from currantbarrow.open_requests import OpenRequests
from currantbarrow.platform.announcements import create_announcements_app
from currantbarrow.platform.serving import (
    DRAIN_RESERVE_MS,
    close_all,
    create_stop_event,
    serve_app,
)
from currantbarrow.platform.settings import ProcessSettings
from currantbarrow.platform.store import StoreClient
from currantbarrow.platform.topics import TopicAnnouncementStore, TopicHostDirectory
from currantbarrow.platform.worker import HttpWorkerControl
from currantbarrow.protocol.websocket import create_network

__all__ = ["run_side"]


async def run_side(settings: ProcessSettings, incarnation: str) -> None:
    """Serve entries until the process is signalled to stop."""
    # Before the first caller or worker is served, since the default action of SIGTERM is to end.
    stop = create_stop_event()
    clock = create_clock()
    metrics = PrometheusMetrics()
    rng = random.Random()
    store = StoreClient(settings.store_address)
    control = HttpWorkerControl(settings.worker_address)
    options = DirectSideOptions(
        settings.name,
        incarnation,
        settings.link_address,
        settings.link_listener_address,
        settings.data_centre,
        settings.seed_link_addresses,
        settings.worker_lease_ms,
        settings.grace_ms - DRAIN_RESERVE_MS,
    )
    side = DirectSide(
        options,
        control,
        clock=clock,
        network=create_network("", HybridClock(clock), metrics),
        metrics=metrics,
        directory=TopicHostDirectory(store, clock, rng, metrics),
        announcements=TopicAnnouncementStore(settings.name, store, metrics),
    )
    requests = OpenRequests()
    intake = create_intake("internal", create_internal_limits(settings.memory_mb), metrics)
    runners = [
        await serve_app(
            create_metrics_app(metrics), settings.metrics_address, "metrics", requests, intake
        ),
        await serve_app(
            create_announcements_app(side, metrics, settings.service),
            settings.announcement_address,
            "announcements",
            requests,
            intake,
        ),
    ]
    await side.start()
    logger.info("started", extra={"incarnation": options.incarnation})
    await stop.wait()
    logger.info("draining")
    await side.drain()
    await close_all([runner.cleanup for runner in runners], [side.stop, control.close, store.close])
    logger.info("drained")
