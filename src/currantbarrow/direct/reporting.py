"""Decide which changes of a worker's state are reported to entries immediately.

On workers with plenty of free capacity, runs start and end all the time. The exact amount matters
little there: entries account for their own orders, and each periodic report corrects the figure.
Where capacity is scarce, entries wait for every part that is released, so it is reported soon. When
a fleet returns after a loss of power, callers wait for the first workers, and a worker that leaves
must get no more orders: these changes are reported without delay.
"""

from __future__ import annotations

from currantbarrow.protocol.direct import WorkerState

__all__ = ["NO_DELAY_MS", "needs_prompt_report", "report_delay_ms"]

# Capacity is scarce when less than this share of it is free. The largest tasks in the users'
# workloads take a seventh of a worker, and an entry may have two of them in flight.
SCARCE_FREE_SHARE = 0.3
# Combines changes that occur together.
NO_DELAY_MS = 2.0
# Capacity is reported after this delay per warm link, so more entries get fewer reports.
DELAY_PER_LINK_MS = 10.0


def needs_prompt_report(reported: WorkerState | None, state: WorkerState) -> bool:
    """Return whether a change from the last reported state is reported immediately."""
    if reported is None or _is_scarce(reported) or _is_scarce(state):
        return True
    return _changes_eligibility(reported, state)


def report_delay_ms(reported: WorkerState | None, state: WorkerState, warm_links: int) -> float:
    """Return how long to wait before a change from the last reported state is reported."""
    if reported is None or _changes_eligibility(reported, state):
        return NO_DELAY_MS
    return DELAY_PER_LINK_MS * max(1, warm_links)


def _changes_eligibility(reported: WorkerState, state: WorkerState) -> bool:
    return _eligibility(reported) != _eligibility(state)


def _eligibility(state: WorkerState) -> tuple[str, int, int, bool, bool, bool]:
    return (
        state.worker,
        state.born_ms,
        state.revision,
        state.accepting,
        state.on_trial,
        state.evacuated,
    )


def _is_scarce(state: WorkerState) -> bool:
    measures = (
        (state.free_cpu_millis - state.waiting_cpu_millis, state.capacity_cpu_millis),
        (state.free_memory_mb, state.capacity_memory_mb),
        (state.free_gpus, state.capacity_gpus),
    )
    return any(free < SCARCE_FREE_SHARE * capacity for free, capacity in measures if capacity)
