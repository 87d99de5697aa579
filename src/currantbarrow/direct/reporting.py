"""Decide which changes of a worker entries have to be told at once.

Load pattern: workers with room to spare, where runs begin and end all the time. How much of it is
free matters little as long as it is plenty: entries count their own orders, and every report that
is due brings the figure up to date. Where room is scarce, each piece that is given back is
waited for.
"""

from __future__ import annotations

from currantbarrow.protocol.direct import WorkerState

__all__ = ["needs_prompt_report"]

# Below this share of its room a worker is nearly full. The largest tasks of the users' sheets take
# up a seventh of a worker, and an entry may have two on their way.
SCARCE_FREE_SHARE = 0.3


def needs_prompt_report(reported: WorkerState | None, state: WorkerState) -> bool:
    """Tell whether an entry that was shown one state should be told of another at once."""
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
