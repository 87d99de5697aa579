"""Bundle the policies that a dispatcher uses."""

from __future__ import annotations

import random

from currantbarrow.policy.admission import create_target_admission
from currantbarrow.policy.estimates import create_median_estimator, create_straggler_timeout
from currantbarrow.policy.health import create_cusum_health
from currantbarrow.policy.placement import create_headroom_placement
from currantbarrow.policy.queues import create_fair_queue
from currantbarrow.policy.retry import create_backoff_retry
from currantbarrow.policy.types import (
    Admission,
    Estimator,
    Placement,
    RetryPolicy,
    StragglerPolicy,
    TaskQueue,
    WorkerHealthPolicy,
)

__all__ = ["Policies", "create_policies"]


class Policies:
    """Bundle the policies of a dispatcher; each can be replaced, for example in benchmarks."""

    __slots__ = ("admission", "estimator", "health", "placement", "queue", "retry", "stragglers")

    def __init__(
        self,
        *,
        admission: Admission,
        queue: TaskQueue,
        placement: Placement,
        health: WorkerHealthPolicy,
        retry: RetryPolicy,
        estimator: Estimator,
        stragglers: StragglerPolicy,
    ) -> None:
        self.admission = admission
        self.queue = queue
        self.placement = placement
        self.health = health
        self.retry = retry
        self.estimator = estimator
        self.stragglers = stragglers


def create_policies(rng: random.Random, data_centre: str = "") -> Policies:
    """Return the policies used in production."""
    return Policies(
        admission=create_target_admission(),
        queue=create_fair_queue(),
        placement=create_headroom_placement(rng, data_centre),
        health=create_cusum_health(),
        retry=create_backoff_retry(rng),
        estimator=create_median_estimator(),
        stragglers=create_straggler_timeout(),
    )
