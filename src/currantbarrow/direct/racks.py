"""Find the racks of workers, and choose one for the tasks of a step that should share a rack."""

from __future__ import annotations

import random
import re
from collections.abc import Iterable, Sequence

from currantbarrow.direct.model import Resources
from currantbarrow.direct.speeds import WorkerOffer

__all__ = ["choose_rack", "rack_of"]

RACK_LABEL = re.compile(r"r\d+-\d+")
# As for workers, the better of two random racks is chosen, since all entries choose at once.
CANDIDATES = 2


def rack_of(labels: Iterable[str]) -> str:
    """Return the rack named by a worker's labels, or an empty string."""
    return next((label for label in sorted(labels) if RACK_LABEL.fullmatch(label)), "")


def choose_rack(
    offers: Sequence[WorkerOffer],
    resources: Resources,
    count: int,
    max_per_worker: int,
    rng: random.Random,
) -> str:
    """Return the rack for a number of tasks, or an empty string if no worker has room.

    Prefer racks in this data centre that have room for all tasks, then any that have.
    """
    places: dict[str, int] = {}
    local: set[str] = set()
    for offer in offers:
        rack = rack_of(offer.labels)
        if not rack or not offer.is_healthy:
            continue
        places[rack] = places.get(rack, 0) + _places(offer, resources, max_per_worker, count)
        if offer.is_local:
            local.add(rack)
    whole = [rack for rack, room in places.items() if room >= count]
    drawn = [rack for rack in whole if rack in local] or whole
    if drawn:
        return max(rng.choices(drawn, k=CANDIDATES), key=lambda rack: places[rack])
    return max(places, key=lambda rack: places[rack], default="")


def _places(offer: WorkerOffer, resources: Resources, max_per_worker: int, limit: int) -> int:
    """Return how many of some tasks a worker has room for."""
    rooms = [limit]
    if max_per_worker:
        rooms.append(max_per_worker)
    for free, each in zip(
        (offer.free.cpu_millis, offer.free.memory_mb, offer.free.gpus),
        (resources.cpu_millis, resources.memory_mb, resources.gpus),
        strict=True,
    ):
        if each > 0:
            rooms.append(max(0, free) // each)
    return min(rooms)
