"""Choose the worker for a task.

Load pattern: a fleet of workers of several speeds at 60 to 90 % of its cores, some of them slow,
failing or silent for a while. A task goes where it is expected to end first; among workers that
are nearly alike, chance decides, so that entries that know the same don't all choose the same.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

import msgspec

from currantbarrow.direct.health import UNHEALTHY_SLOWNESS
from currantbarrow.direct.model import Resources

__all__ = ["WorkerOffer", "choose_worker"]

# Offers within this share of the best are as good as it: run times vary by as much.
SIMILAR_SLOWNESS_SHARE = 0.1


class WorkerOffer(msgspec.Struct):
    """Describe what a worker has to offer a task."""

    worker: str
    free: Resources
    slowness: float
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
    """Return the offer that suits a task best, or None when it has to wait."""
    eligible = [
        offer
        for offer in offers
        if offer.free.covers(resources)
        and (not required_label or required_label in offer.labels)
        and (offer.on_probation or offer.slowness < UNHEALTHY_SLOWNESS)
    ]
    if not eligible:
        return None
    # A task that failed on a worker is better off elsewhere, if there is an elsewhere.
    others = [offer for offer in eligible if offer.worker not in avoid]
    eligible = others or eligible
    best = min(offer.slowness for offer in eligible)
    similar = [offer for offer in eligible if offer.slowness <= best * (1 + SIMILAR_SLOWNESS_SHARE)]
    is_local = [offer for offer in similar if offer.is_local]
    return rng.choice(is_local or similar)
