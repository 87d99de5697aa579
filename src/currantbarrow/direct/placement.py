"""Choose the worker for a task.

Designed for a fleet of workers with different speeds at 60 to 90 % core utilisation, some of them
temporarily slow, failing or unresponsive. What an entry knows of a worker is older than the orders
that other entries have just sent there, and an order that finds no room is sent again elsewhere. If
all entries chose the fastest third of the workers, a quarter of the orders would come back. A task
therefore goes to a worker whose speed is ordinary, in the entry's data centre if there is one: the
better of two random ones, by free cores and speed.

A worker at half the others' speed ends a task of 50 ms in time, and one of 800 ms never. A task
goes to a worker on which it is expected to end in time. While the fast workers are nearly full, a
task that is in time on a slow one goes there. A task that is in time only on fast workers waits for
one if it is expected to end sooner that way.
"""

from __future__ import annotations

import enum
import math
import random
from collections.abc import Sequence

import msgspec

from currantbarrow.direct.model import Resources
from currantbarrow.direct.speeds import FleetSpeeds, WorkerOffer
from currantbarrow.direct.worker import InstanceName

__all__ = [
    "Placement",
    "PlacementReason",
    "ReleaseForecast",
    "TaskRequest",
    "WorkerOffer",
    "choose_worker",
]

# Workers that are slower than the fastest one by more than this share get tasks only while no other
# has room.
SIMILAR_SLOWNESS_SHARE = 0.5
# The better of two random candidates is rarely a full one, although all entries choose at once.
CANDIDATES = 2
# Time for an order and the report of its end, beside the run.
MESSAGES_MS = 8.0
# A task is put on a slow worker on purpose only if it is in time there with this margin, since its
# run time and the worker's slowness are estimates.
SLOW_MARGIN = 1.1


class PlacementReason(enum.StrEnum):
    """Define why a task was placed as it was, or was not placed."""

    USUAL = ""
    # The task is in time on a slow worker, and few cores of fast ones are free.
    SPARES_FAST = "spares_fast"
    # No worker near the task's data has room, or none of these is fast enough.
    FAR = "far"
    # The task is late on all workers that have room.
    LATE_EVERYWHERE = "late_everywhere"
    # The task waits for a worker on which it is still expected to be in time.
    HELD = "held"
    NO_ROOM = "no_room"


class TaskRequest(msgspec.Struct, frozen=True):
    """Describe what a task requires of a worker."""

    resources: Resources
    required_label: str = ""
    # Workers on which the task failed or was lost.
    avoid: frozenset[InstanceName] = frozenset()
    # The expected run time on a worker of slowness 1, and the time until the task has to end.
    expected_ms: float = 0.0
    time_left_ms: float = math.inf
    # The rack on which the task is near its data, or near the other tasks of its step. On others,
    # it takes longer by a factor.
    near_rack: str = ""
    far_factor: float = 1.0
    # Workers that may not run the task.
    excluded: frozenset[InstanceName] = frozenset()

    def fits(self, offer: WorkerOffer) -> bool:
        """Return whether a worker without other runs can take the task."""
        return offer.capacity.covers(self.resources) and self.is_allowed(offer)

    def is_allowed(self, offer: WorkerOffer) -> bool:
        """Return whether a worker may run the task, apart from its resources."""
        has_label = not self.required_label or self.required_label in offer.labels
        return has_label and offer.instance not in self.excluded

    def is_near(self, offer: WorkerOffer) -> bool:
        """Return whether a worker is on the preferred rack, if there is one."""
        return not self.near_rack or self.far_factor <= 1 or self.near_rack in offer.labels

    def slowness_on(self, offer: WorkerOffer, speeds: FleetSpeeds) -> float:
        """Return the ratio of the task's run time on a worker to the expected one."""
        slowness = speeds.slowness_of(offer)
        if not self.near_rack or self.is_near(offer):
            return slowness
        return slowness * self.far_factor

    def is_in_time(self, slowness: float) -> bool:
        """Return whether the task is expected to end in time at a slowness."""
        return self.expected_ms * slowness + MESSAGES_MS <= self.time_left_ms


class Placement(msgspec.Struct, frozen=True):
    """Describe the worker that was chosen for a task, if any, and why."""

    offer: WorkerOffer | None
    reason: PlacementReason = PlacementReason.USUAL


class ReleaseForecast(msgspec.Struct, frozen=True):
    """Predict how long a task waits for cores of a group of workers."""

    # Cores that this entry gets from one busy core in a millisecond.
    share_per_ms: float = 0.0
    # Cores that tasks before this one already wait for.
    held_cores: float = 0.0

    def wait_ms(self, cores: float, busy_cores: float) -> float:
        """Return the wait for some cores while others are busy; infinite if none is released."""
        released_per_ms = self.share_per_ms * busy_cores
        return (self.held_cores + cores) / released_per_ms if released_per_ms > 0 else math.inf


NO_RELEASES = ReleaseForecast()


def choose_worker(
    request: TaskRequest,
    offers: Sequence[WorkerOffer],
    speeds: FleetSpeeds,
    rng: random.Random,
    forecast: ReleaseForecast = NO_RELEASES,
) -> Placement:
    """Choose a worker among the offers, which include those of full workers."""
    eligible = [
        offer
        for offer in offers
        if offer.free.covers(request.resources)
        and request.is_allowed(offer)
        and (offer.on_probation or offer.is_healthy)
    ]
    if not eligible:
        return Placement(None, PlacementReason.NO_ROOM)
    # A task that failed on a worker goes to another one if possible.
    others = [offer for offer in eligible if offer.instance not in request.avoid]
    eligible = others or eligible
    in_time = [
        offer for offer in eligible if request.is_in_time(request.slowness_on(offer, speeds))
    ]
    if not in_time:
        # A probe of a worker on probation is not held back: it may recover the worker's capacity.
        is_probe = all(offer.on_probation for offer in eligible)
        if not is_probe and _is_worth_waiting(request, offers, eligible, speeds, forecast):
            return Placement(None, PlacementReason.HELD)
        return Placement(_draw(request, eligible, speeds, rng), PlacementReason.LATE_EVERYWHERE)
    near = in_time
    if request.near_rack:
        near = [offer for offer in in_time if request.is_near(offer)]
    if not near:
        # Other racks have room. Far runs take more cores, so waiting is better if these are scarce.
        near_offers = [offer for offer in offers if request.is_near(offer)]
        if speeds.scarce and _is_worth_waiting(request, near_offers, in_time, speeds, forecast):
            return Placement(None, PlacementReason.HELD)
        return Placement(_draw(request, in_time, speeds, rng), PlacementReason.FAR)
    if speeds.scarce:
        tolerated = [
            offer
            for offer in near
            if not speeds.is_fast(offer)
            and offer.is_healthy
            and request.is_in_time(speeds.slowness_of(offer) * SLOW_MARGIN)
        ]
        if tolerated:
            return Placement(_draw(request, tolerated, speeds, rng), PlacementReason.SPARES_FAST)
    return Placement(_draw(request, near, speeds, rng))


def _is_worth_waiting(
    request: TaskRequest,
    offers: Sequence[WorkerOffer],
    available: Sequence[WorkerOffer],
    speeds: FleetSpeeds,
    forecast: ReleaseForecast,
) -> bool:
    """Return whether the task ends sooner if it waits for a worker on which it is in time.

    The offers are those to wait for, and the available ones have room now.
    """
    better = [
        offer
        for offer in offers
        if offer.is_healthy
        and request.fits(offer)
        and request.is_in_time(request.slowness_on(offer, speeds))
    ]
    if not better:
        return False
    cores = sum(offer.capacity.cpu_millis for offer in better) / 1000
    wait_ms = forecast.wait_ms(request.resources.cpu_millis / 1000, cores)
    later, now = (
        request.expected_ms * min(request.slowness_on(offer, speeds) for offer in group)
        for group in (better, available)
    )
    return wait_ms + later < now


def _draw(
    request: TaskRequest, eligible: Sequence[WorkerOffer], speeds: FleetSpeeds, rng: random.Random
) -> WorkerOffer:
    """Return the better of two random workers among those of similar speed, local ones first."""
    slowness = {offer.instance: request.slowness_on(offer, speeds) for offer in eligible}
    limit = min(slowness.values()) * (1 + SIMILAR_SLOWNESS_SHARE)
    similar = [offer for offer in eligible if slowness[offer.instance] <= limit]
    local = [offer for offer in similar if offer.is_local]
    drawn = rng.choices(local or similar, k=CANDIDATES)
    return max(drawn, key=lambda offer: offer.free.cpu_millis / slowness[offer.instance])
