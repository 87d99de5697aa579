"""Define policies for benchmarks: the chosen set, and variants with one policy replaced."""

from __future__ import annotations

import random
from collections.abc import Callable

from currantbarrow.policy import Policies, create_policies
from currantbarrow.policy.admission import create_unlimited_admission
from currantbarrow.policy.estimates import (
    create_declared_estimator,
    create_mean_estimator,
    create_no_straggler_timeout,
)
from currantbarrow.policy.health import create_no_ejection
from currantbarrow.policy.placement import (
    create_least_loaded_placement,
    create_random_placement,
    create_round_robin_placement,
    create_two_choices_placement,
)
from currantbarrow.policy.queues import create_fifo_queue
from currantbarrow.policy.retry import create_fixed_retry

__all__ = ["CHOSEN", "REFERENCE", "VARIANTS", "create_variant"]

CHOSEN = "chosen"
REFERENCE = "reference"


def _use_chosen(policies: Policies, rng: random.Random) -> None:
    """Leave the chosen policies unchanged."""


def _unlimited_admission(policies: Policies, rng: random.Random) -> None:
    policies.admission = create_unlimited_admission()


def _fifo_queue(policies: Policies, rng: random.Random) -> None:
    policies.queue = create_fifo_queue()


def _random_placement(policies: Policies, rng: random.Random) -> None:
    policies.placement = create_random_placement(rng)


def _round_robin_placement(policies: Policies, rng: random.Random) -> None:
    policies.placement = create_round_robin_placement()


def _two_choices_placement(policies: Policies, rng: random.Random) -> None:
    policies.placement = create_two_choices_placement(rng)


def _fixed_retry(policies: Policies, rng: random.Random) -> None:
    policies.retry = create_fixed_retry()


def _declared_estimator(policies: Policies, rng: random.Random) -> None:
    policies.estimator = create_declared_estimator()


def _mean_estimator(policies: Policies, rng: random.Random) -> None:
    policies.estimator = create_mean_estimator()


def _no_ejection(policies: Policies, rng: random.Random) -> None:
    policies.health = create_no_ejection()


def _least_loaded_placement(policies: Policies, rng: random.Random) -> None:
    policies.placement = create_least_loaded_placement(rng)


def _no_straggler_timeout(policies: Policies, rng: random.Random) -> None:
    policies.stragglers = create_no_straggler_timeout()


VARIANTS: dict[str, Callable[[Policies, random.Random], None]] = {
    CHOSEN: _use_chosen,
    "admission none": _unlimited_admission,
    "queue fifo": _fifo_queue,
    "placement random": _random_placement,
    "placement round robin": _round_robin_placement,
    "placement two choices": _two_choices_placement,
    "retry fixed": _fixed_retry,
    "estimator declared": _declared_estimator,
    "estimator mean": _mean_estimator,
    "health none": _no_ejection,
    "placement least loaded": _least_loaded_placement,
    "stragglers none": _no_straggler_timeout,
}


def create_variant(name: str) -> Callable[[random.Random, str], Policies]:
    """Return a factory that creates the chosen policies and applies a variant to them."""
    replace_policy = VARIANTS[name]

    def create(rng: random.Random, data_centre: str) -> Policies:
        policies = create_policies(rng, data_centre)
        replace_policy(policies, rng)
        return policies

    return create
