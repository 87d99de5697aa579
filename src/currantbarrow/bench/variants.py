"""Put policies together for the bench: the chosen ones, and each baseline in its place."""

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


def _keep(policies: Policies, rng: random.Random) -> None:
    """Change nothing."""


def _open_admission(policies: Policies, rng: random.Random) -> None:
    policies.admission = create_unlimited_admission()


def _fifo(policies: Policies, rng: random.Random) -> None:
    policies.queue = create_fifo_queue()


def _random(policies: Policies, rng: random.Random) -> None:
    policies.placement = create_random_placement(rng)


def _round_robin(policies: Policies, rng: random.Random) -> None:
    policies.placement = create_round_robin_placement()


def _two_choices(policies: Policies, rng: random.Random) -> None:
    policies.placement = create_two_choices_placement(rng)


def _fixed_retry(policies: Policies, rng: random.Random) -> None:
    policies.retry = create_fixed_retry()


def _declared(policies: Policies, rng: random.Random) -> None:
    policies.estimator = create_declared_estimator()


def _mean(policies: Policies, rng: random.Random) -> None:
    policies.estimator = create_mean_estimator()


def _trusting(policies: Policies, rng: random.Random) -> None:
    policies.health = create_no_ejection()


def _least_loaded(policies: Policies, rng: random.Random) -> None:
    policies.placement = create_least_loaded_placement(rng)


def _no_stragglers(policies: Policies, rng: random.Random) -> None:
    policies.stragglers = create_no_straggler_timeout()


VARIANTS: dict[str, Callable[[Policies, random.Random], None]] = {
    CHOSEN: _keep,
    "admission none": _open_admission,
    "queue fifo": _fifo,
    "placement random": _random,
    "placement round robin": _round_robin,
    "placement two choices": _two_choices,
    "retry fixed": _fixed_retry,
    "estimator declared": _declared,
    "estimator mean": _mean,
    "health none": _trusting,
    "placement least loaded": _least_loaded,
    "stragglers none": _no_stragglers,
}


def create_variant(name: str) -> Callable[[random.Random, str], Policies]:
    """Return a factory of policies with one of them replaced."""
    change = VARIANTS[name]

    def create(rng: random.Random, data_centre: str) -> Policies:
        policies = create_policies(rng, data_centre)
        change(policies, rng)
        return policies

    return create
