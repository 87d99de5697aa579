"""Choose the worker for a task.

Load pattern: a fleet of workers of several speeds at 60 to 90 % of its cores, some of them slow,
failing or silent for a while. A task goes where it is expected to end first; among workers that
are nearly alike, chance decides, so that entries that know the same don't all choose the same.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

import msgspec

from currantbarrow.direct.model import Room
from currantbarrow.direct.soundness import TOO_SLOW

__all__ = ["WorkerOffer", "choose_worker"]

# Offers within this share of the best are as good as it: run times vary by as much.
ALIKE_SHARE = 0.1


class WorkerOffer(msgspec.Struct):
    """Describe what a worker has to offer a task."""

    worker: str
    free: Room
    slowness: float
    near: bool
    on_trial: bool
    labels: frozenset[str]


def choose_worker(
    room: Room,
    required_label: str,
    avoid: frozenset[str],
    offers: Iterable[WorkerOffer],
    rng: random.Random,
) -> WorkerOffer | None:
    """Return the offer that suits a task best, or None when it has to wait."""
    fitting = [
        offer
        for offer in offers
        if offer.free.holds(room)
        and (not required_label or required_label in offer.labels)
        and (offer.on_trial or offer.slowness < TOO_SLOW)
    ]
    if not fitting:
        return None
    # A task that failed on a worker is better off elsewhere, if there is an elsewhere.
    others = [offer for offer in fitting if offer.worker not in avoid]
    fitting = others or fitting
    best = min(offer.slowness for offer in fitting)
    alike = [offer for offer in fitting if offer.slowness <= best * (1 + ALIKE_SHARE)]
    near = [offer for offer in alike if offer.near]
    return rng.choice(near or alike)
