"""Make a process known to entries while the directory can't be reached."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from currantbarrow.direct.hosts import HostDirectory
from currantbarrow.exceptions import LinkError
from currantbarrow.observe import logger
from currantbarrow.protocol import Hello
from currantbarrow.protocol.direct import HostRow, ShareHosts
from currantbarrow.types import Clock, Network

__all__ = ["publish_or_introduce"]

# The directory takes some milliseconds; after this long it is taken to be away.
DIRECTORY_PATIENCE_MS = 1000.0
AGAIN_MS = 2000.0


async def publish_or_introduce(
    row: HostRow,
    seeds: Iterable[str],
    hello: Hello,
    *,
    directory: HostDirectory,
    network: Network,
    clock: Clock,
) -> None:
    """Publish a process, and meanwhile tell the entries that the settings name."""
    publishing = asyncio.ensure_future(directory.publish(row))
    try:
        pause_ms = DIRECTORY_PATIENCE_MS
        while True:
            done, _ = await asyncio.wait({publishing}, timeout=pause_ms / 1000)
            if done:
                return
            pause_ms = AGAIN_MS
            for seed in seeds:
                await _introduce(row, seed, hello, network)
    finally:
        publishing.cancel()


async def _introduce(row: HostRow, seed: str, hello: Hello, network: Network) -> None:
    try:
        link = await network.connect(seed, hello)
    except LinkError as error:
        logger.info("entry not reached", extra={"address": seed, "error": str(error)})
        return
    try:
        link.post(ShareHosts([row]))
    except LinkError as error:
        logger.info("entry not told", extra={"address": seed, "error": str(error)})
    await link.close()
