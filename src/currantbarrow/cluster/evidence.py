"""Ask processes when they last heard of another one."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Sequence

from currantbarrow.exceptions import LinkError
from currantbarrow.protocol import LastSeen, RpcClient, Seen

__all__ = ["ask_last_seen"]

EVIDENCE_TIMEOUT_MS = 500.0


async def ask_last_seen(clients: Sequence[RpcClient | None], incarnation: str) -> list[float]:
    """Return how long ago each process that answers heard of one, infinite for never.

    A panel member hears of an owner when it confirms the owner's lease.
    """
    ages = await asyncio.gather(*(_ask(rpc, incarnation) for rpc in clients if rpc))
    return [age_ms for age_ms in ages if age_ms is not None]


async def _ask(rpc: RpcClient, incarnation: str) -> float | None:
    try:
        seen = await rpc.call(
            lambda call_id: LastSeen(call_id, incarnation), Seen, EVIDENCE_TIMEOUT_MS
        )
    except LinkError:
        return None
    return seen.ago_ms if seen.known else math.inf
