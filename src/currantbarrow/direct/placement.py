"""Choose the worker for a task.

Designed for a fleet of workers with different speeds at 60 to 90 % core utilisation, some of them
temporarily slow, failing or unresponsive. A task goes to the worker where it is expected to end
first. Among workers of similar speed, those in the entry's data centre are preferred and the choice
is random, so that entries with the same information do not all choose the same worker.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

import msgspec

from currantbarrow.direct.health import UNHEALTHY_SLOWNESS
from currantbarrow.direct.model import Resources

__all__ = ["WorkerOffer", "choose_worker"]

# Workers within 10 % of the fastest count as equally fast, since run times vary by as much.
SIMILAR_SLOWNESS_SHARE = 0.1


class WorkerOffer(msgspec.Struct):
    """Describe the free resources and the properties of a worker that can take tasks."""

    worker: str
    free: Resources
    slowness: float
    # Whether the worker is in the data centre of this entry.
    is_local: bool
    on_probation: bool
    labels: frozenset[str]


def choose_worker(
    resources: Resources,
    required_label: str,
    avoid: frozenset[str],
    offers: Iterable[WorkerOffer],
    rng: random.Random,
) -> WorkerOffer | None:
    """Return an offer of the fastest eligible workers, or None if there is none."""
    eligible = [
        offer
        for offer in offers
        if offer.free.covers(resources)
        and (not required_label or required_label in offer.labels)
        and (offer.on_probation or offer.slowness < UNHEALTHY_SLOWNESS)
    ]
    if not eligible:
        return None
    # A task that failed on a worker goes to another one if possible.
    others = [offer for offer in eligible if offer.worker not in avoid]
    eligible = others or eligible
    best = min(offer.slowness for offer in eligible)
    similar = [offer for offer in eligible if offer.slowness <= best * (1 + SIMILAR_SLOWNESS_SHARE)]
    local = [offer for offer in similar if offer.is_local]
    return rng.choice(local or similar)
