"""Keep a side process registered with the entries, even while the directory is unreachable."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from currantbarrow.direct.hosts import HostDirectory
from currantbarrow.exceptions import LinkError
from currantbarrow.observe import logger
from currantbarrow.protocol import Hello
from currantbarrow.protocol.direct import HostRow, ShareHosts
from currantbarrow.types import Clock, Network

__all__ = ["keep_registered"]

# After a power loss, entries start some tenths of a second after the side processes.
RETRY_BACKOFF_MIN_MS = 250.0
# Seeds may be gone permanently, so retries slow down to this interval.
RETRY_BACKOFF_MAX_MS = 4000.0


async def keep_registered(
    row: HostRow,
    seeds: tuple[str, ...],
    hello: Hello,
    *,
    directory: HostDirectory,
    network: Network,
    clock: Clock,
    count_links: Callable[[], int],
) -> None:
    """Publish a process in the directory and keep it known to the seed entries.

    While fewer links than seeds are open, the process also sends its row to each seed directly.
    """
    publishing = asyncio.ensure_future(directory.publish(row))
    try:
        pause_ms = RETRY_BACKOFF_MIN_MS
        linked = 0
        while True:
            before, linked = linked, count_links()
            if linked < before:
                pause_ms = RETRY_BACKOFF_MIN_MS
            if linked < len(seeds):
                await asyncio.gather(*(_send_host_row(row, seed, hello, network) for seed in seeds))
            await clock.sleep_ms(pause_ms)
            pause_ms = min(pause_ms * 2, RETRY_BACKOFF_MAX_MS)
    finally:
        publishing.cancel()


async def _send_host_row(row: HostRow, seed: str, hello: Hello, network: Network) -> None:
    try:
        link = await network.connect(seed, hello)
        link.post(ShareHosts([row]))
    except LinkError as error:
        logger.info("seed entry not reached", extra={"address": seed, "error": str(error)})
        return
    await link.close()
