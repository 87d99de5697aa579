"""Summarise how fast the workers of a fleet are, and whether its fast ones are nearly full.

Designed for fleets in which some workers take twice as long as others, with run times that vary by
40 % and slowness values that a side process learns from few runs. A worker whose run times seem to
be a small part of all others' has been measured wrongly, or reports nonsense; it counts as typical,
so that it does not attract work.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from currantbarrow.direct.health import UNHEALTHY_SLOWNESS
from currantbarrow.direct.model import Resources
from currantbarrow.direct.worker import InstanceName

__all__ = ["FleetSpeeds", "WorkerOffer", "survey_speeds"]

# A worker is slow if its slowness exceeds that of the fastest quarter by this factor. Learnt values
# scatter by about 11 %: speeds of 0.8 and 1.25 (a factor of 1.56) are of one kind, and speeds of
# 0.55 and 1.2 (a factor of 2.2) are not. The fastest worker would be a biased reference.
FAST_FACTOR = 1.8
# No worker of a real fleet is this much faster than its median.
CREDIBLE_SHARE_OF_MEDIAN = 1 / 3
# Fast workers are nearly full if less than this share of their cores is free.
SCARCE_FREE_SHARE = 0.25


class WorkerOffer(msgspec.Struct):
    """Describe the free resources and the properties of a worker that can take tasks."""

    instance: InstanceName
    free: Resources
    slowness: float
    # Whether the worker is in the data centre of this entry.
    is_local: bool
    on_probation: bool
    labels: frozenset[str]
    capacity: Resources = Resources()

    @property
    def is_healthy(self) -> bool:
        """Return whether the worker may get any number of tasks."""
        return not self.on_probation and self.slowness < UNHEALTHY_SLOWNESS


class FleetSpeeds(msgspec.Struct, frozen=True):
    """Describe the speeds of a service's workers at the time of a dispatch pass."""

    # The slowness of the median worker, and the lowest that is believed.
    typical: float = 1.0
    lowest_credible: float = 0.0
    # The highest slowness of a fast worker.
    fast_limit: float = UNHEALTHY_SLOWNESS
    # Whether fast workers have few free cores.
    scarce: bool = False

    def slowness_of(self, offer: WorkerOffer) -> float:
        """Return the slowness to expect of a worker."""
        return self.typical if offer.slowness < self.lowest_credible else offer.slowness

    def is_fast(self, offer: WorkerOffer) -> bool:
        """Return whether a worker is fast, compared with the others."""
        return self.slowness_of(offer) <= self.fast_limit


def survey_speeds(offers: Sequence[WorkerOffer]) -> FleetSpeeds:
    """Return the speeds of the workers of one service; full ones have to be included."""
    slowness = sorted(offer.slowness for offer in offers if offer.is_healthy)
    if not slowness:
        return FleetSpeeds()
    typical = slowness[len(slowness) // 2]
    lowest = typical * CREDIBLE_SHARE_OF_MEDIAN
    credible = [value for value in slowness if value >= lowest]
    fast_limit = credible[len(credible) // 4] * FAST_FACTOR
    fast = [offer for offer in offers if offer.is_healthy and offer.slowness <= fast_limit]
    free = sum(max(0, offer.free.cpu_millis) for offer in fast)
    cores = sum(offer.capacity.cpu_millis for offer in fast)
    return FleetSpeeds(typical, lowest, fast_limit, free < SCARCE_FREE_SHARE * cores)
