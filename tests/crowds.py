"""Clients that send what a server can't expect, many at a time, over plain sockets."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator
from pathlib import Path

import msgspec

__all__ = ["Client", "Crowd", "ProcessUse", "read_use"]

PAUSE_S = 0.01


class ProcessUse(msgspec.Struct, frozen=True):
    """Memory and descriptors of a process."""

    # The most resident memory since the start of the process.
    peak_memory_mb: float
    descriptors: int


def read_use(pid: int) -> ProcessUse | None:
    """Return what a process uses, or None if it has ended."""
    with contextlib.suppress(OSError):
        status = Path(f"/proc/{pid}/status").read_text()
        fields = dict(line.split(":", 1) for line in status.splitlines())
        if "VmHWM" in fields:
            descriptors = len(list(Path(f"/proc/{pid}/fd").iterdir()))
            return ProcessUse(int(fields["VmHWM"].split()[0]) / 1024, descriptors)
    return None


class Client(msgspec.Struct, frozen=True):
    """What one client of a crowd sends, and whether it reads answers."""

    # Sent one after the other; the last one is repeated until the end if `endless`.
    parts: tuple[bytes, ...]
    endless: bool = False
    reads: bool = True
    # Whether there is a pause after each part.
    pauses: bool = False

    def pieces(self) -> Iterator[bytes]:
        """Return all that is sent."""
        yield from self.parts
        while self.endless:
            yield self.parts[-1]


class Crowd:
    """Clients that connect, send, keep their connections open, and close them together."""

    def __init__(self, host: str, port: int, client: Client, count: int) -> None:
        self.host, self.port = host, port
        self._client = client
        self._count = count

    async def run(self, hold_s: float) -> None:
        """Let all clients send and stay for a time, then close their connections."""
        tasks = [asyncio.create_task(self._play()) for _ in range(self._count)]
        await asyncio.sleep(hold_s)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _play(self) -> None:
        # A server that refuses a client or closes its connection does what it may.
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(self.host, self.port)
            reading = asyncio.create_task(self._read(reader)) if self._client.reads else None
            try:
                for piece in self._client.pieces():
                    writer.write(piece)
                    await writer.drain()
                    # Draining alone does not let the others run while the system takes all.
                    await asyncio.sleep(PAUSE_S if self._client.pauses else 0)
                await asyncio.Event().wait()
            finally:
                if reading is not None:
                    reading.cancel()
                writer.transport.abort()

    @staticmethod
    async def _read(reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(OSError):
            while await reader.read(1 << 16):
                pass
