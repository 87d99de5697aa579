"""Query other processes for the time since they last had contact with a process."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Sequence

from currantbarrow.exceptions import LinkError
from currantbarrow.protocol import LastSeen, RpcClient, Seen

__all__ = ["query_last_seen"]

QUERY_TIMEOUT_MS = 500.0


async def query_last_seen(clients: Sequence[RpcClient | None], incarnation: str) -> list[float]:
    """Return the time in ms since each process that replies last had contact, infinite for never.

    A panel member has contact with an owner when it confirms the owner's lease.
    """
    ages = await asyncio.gather(*(_query(rpc, incarnation) for rpc in clients if rpc))
    return [age_ms for age_ms in ages if age_ms is not None]


async def _query(rpc: RpcClient, incarnation: str) -> float | None:
    try:
        seen = await rpc.call(
            lambda call_id: LastSeen(call_id, incarnation), Seen, QUERY_TIMEOUT_MS
        )
    except LinkError:
        return None
    return seen.ago_ms if seen.known else math.inf
