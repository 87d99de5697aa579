"""Choose the worker for a task.

Designed for a fleet of workers with different speeds at 60 to 90 % core utilisation, some of them
temporarily slow, failing or unresponsive. What an entry knows of a worker is older than the orders
that other entries have just sent there, and an order that finds no room is sent again elsewhere. If
all entries chose the fastest third of the workers, a quarter of the orders would come back. A task
therefore goes to a worker whose speed is ordinary, in the entry's data centre if there is one: the
better of two random ones, by free cores and speed.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

import msgspec

from currantbarrow.direct.health import UNHEALTHY_SLOWNESS
from currantbarrow.direct.model import Resources

__all__ = ["WorkerOffer", "choose_worker"]

# Workers that are slower than the fastest one by more than this share get tasks only while no other
# has room.
SIMILAR_SLOWNESS_SHARE = 0.5
# The better of two random candidates is rarely a full one, although all entries choose at once.
CANDIDATES = 2


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
    """Return the offer of an eligible worker, or None if there is none."""
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
    drawn = rng.choices(local or similar, k=CANDIDATES)
    return max(drawn, key=lambda offer: offer.free.cpu_millis / offer.slowness)
