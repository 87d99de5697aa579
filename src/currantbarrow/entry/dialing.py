"""Open links to members, reconnect them, and receive with a timeout."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable

from currantbarrow.cluster import Member
from currantbarrow.exceptions import LinkError, LinkTimeout
from currantbarrow.protocol import Hello, Message
from currantbarrow.types import Clock, Link, Network

__all__ = ["keep_connected", "receive_with_timeout"]

RECONNECT_BACKOFF_MIN_MS = 50.0
RECONNECT_BACKOFF_MAX_MS = 1000.0


async def keep_connected(
    member: Member,
    hello: Hello,
    serve: Callable[[Link], Awaitable[None]],
    *,
    network: Network,
    clock: Clock,
    rng: random.Random,
) -> None:
    """Connect to one incarnation and serve the link; reconnect with backoff until cancelled."""
    delay_ms = RECONNECT_BACKOFF_MIN_MS
    while True:
        try:
            link = await network.connect(member.address, hello)
        except LinkError:
            await clock.sleep_ms(rng.uniform(0.5, 1.0) * delay_ms)
            delay_ms = min(delay_ms * 2, RECONNECT_BACKOFF_MAX_MS)
            continue
        if link.peer.incarnation != member.incarnation:
            # The process was restarted; its new incarnation registers as a member itself.
            await link.close()
            await clock.sleep_ms(RECONNECT_BACKOFF_MAX_MS)
            continue
        delay_ms = RECONNECT_BACKOFF_MIN_MS
        with contextlib.suppress(LinkError):
            await serve(link)
        await link.close()


async def receive_with_timeout(link: Link, timeout_ms: float) -> Message:
    """Return the next message; raise LinkTimeout or LinkClosed.

    A live process sends heartbeats, so a timeout means that the connection is broken although
    neither end has received an error.
    """
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            return await link.receive()
    except TimeoutError as error:
        raise LinkTimeout(f"nothing came from {link.peer.name}") from error
