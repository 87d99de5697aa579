"""Ask a panel when it last confirmed an owner's lease."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Sequence

from currantbarrow.exceptions import LinkError
from currantbarrow.protocol import Caller, LastSeen, Seen

__all__ = ["ask_lease_ages"]

EVIDENCE_TIMEOUT_MS = 500.0


async def ask_lease_ages(callers: Sequence[Caller | None], owner: str) -> list[float]:
    """Return how long ago each member that answers confirmed an owner, infinite for never."""
    ages = await asyncio.gather(*(_ask(caller, owner) for caller in callers if caller))
    return [age_ms for age_ms in ages if age_ms is not None]


async def _ask(caller: Caller, owner: str) -> float | None:
    try:
        seen = await caller.call(
            lambda call_id: LastSeen(call_id, owner), Seen, EVIDENCE_TIMEOUT_MS
        )
    except LinkError:
        return None
    return seen.ago_ms if seen.known else math.inf
