"""Decide which changes of a worker's state are reported to entries immediately.

On workers with plenty of free capacity, runs start and end all the time. The exact amount matters
little there: entries account for their own orders, and each periodic report corrects the figure.
Where capacity is scarce, entries wait for every part that is released, so it is reported at once.
"""

from __future__ import annotations

from currantbarrow.protocol.direct import WorkerState

__all__ = ["needs_prompt_report"]

# Capacity is scarce when less than this share of it is free. The largest tasks in the users'
# workloads take a seventh of a worker, and an entry may have two of them in flight.
SCARCE_FREE_SHARE = 0.3


def needs_prompt_report(reported: WorkerState | None, state: WorkerState) -> bool:
    """Return whether a change from the last reported state is reported immediately."""
    if reported is None or _is_scarce(reported) or _is_scarce(state):
        return True
    return (reported.worker, reported.accepting, reported.on_trial) != (
        state.worker,
        state.accepting,
        state.on_trial,
    )


def _is_scarce(state: WorkerState) -> bool:
    measures = (
        (state.free_cpu_millis - state.waiting_cpu_millis, state.capacity_cpu_millis),
        (state.free_memory_mb, state.capacity_memory_mb),
        (state.free_gpus, state.capacity_gpus),
    )
    return any(free < SCARCE_FREE_SHARE * capacity for free, capacity in measures if capacity)
