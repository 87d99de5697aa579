"""Forward connections on loopback, and delay, hold, blackhole or reset them."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct

__all__ = ["Forwarder"]

CHUNK_BYTES = 65_536
CONNECT_TIMEOUT_S = 5.0
LINGER_ZERO = struct.pack("ii", 1, 0)


class _Connection:
    """Hold the two ends of one forwarded connection."""

    __slots__ = ("blackholed", "writers")

    def __init__(self, *writers: asyncio.StreamWriter) -> None:
        self.writers = writers
        # Nothing passes any more, for good, and neither end is told.
        self.blackholed = False


class Forwarder:
    """Listen at one address and forward to another."""

    def __init__(self, name: str, address: str, target: str) -> None:
        self.name = name
        self.delay_s = 0.0
        self.address = address
        self._target = target
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        # Set while bytes pass towards the target, and back.
        self._to_target = asyncio.Event()
        self._from_target = asyncio.Event()
        self.restore()

    async def start(self) -> None:
        """Listen."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port), backlog=1024)
        self.address = ":".join(map(str, self._server.sockets[0].getsockname()))

    async def stop(self) -> None:
        """End all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        self.reset(1.0, random.Random(0))

    def cut(self, *, to_target: bool, from_target: bool) -> None:
        """Hold what goes in a direction until mended."""
        if to_target:
            self._to_target.clear()
        if from_target:
            self._from_target.clear()

    def restore(self) -> None:
        """Let everything pass that was held."""
        self._to_target.set()
        self._from_target.set()

    def reset(self, share: float, rng: random.Random) -> None:
        """Reset a share of the open connections."""
        for connection in self._sample(share, rng):
            for writer in connection.writers:
                _reset(writer)

    def blackhole(self, share: float, rng: random.Random) -> None:
        """Let a share of the open connections fall silent for good."""
        for connection in self._sample(share, rng):
            connection.blackholed = True

    def _sample(self, share: float, rng: random.Random) -> list[_Connection]:
        return [each for each in list(self._connections) if rng.random() < share]

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._forward(reader, writer)
        except (OSError, TimeoutError, asyncio.CancelledError):
            # Nobody listens there, or the run is over.
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # While a way is cut, opening packets and their answers are held as well.
        await self._to_target.wait()
        await self._from_target.wait()
        host, _, port = self._target.rpartition(":")
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        connection = _Connection(writer, target_writer)
        self._connections.add(connection)
        pumps = [
            asyncio.create_task(self._pump(reader, target_writer, connection, self._to_target)),
            asyncio.create_task(self._pump(target_reader, writer, connection, self._from_target)),
        ]
        try:
            await asyncio.gather(*pumps)
        finally:
            for pump in pumps:
                pump.cancel()
            self._connections.discard(connection)
            target_writer.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection: _Connection,
        is_open: asyncio.Event,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                await is_open.wait()
                if not connection.blackholed:
                    writer.write(data)
                    await writer.drain()
        await is_open.wait()
        if connection.blackholed:
            # The other end never learns of it.
            await asyncio.Event().wait()
        with contextlib.suppress(OSError, RuntimeError):
            writer.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    # Without lingering the kernel resets the connection, where it would else end it in order.
    end_socket = writer.get_extra_info("socket")
    # A connection that has ended by itself has no socket, or a closed one.
    if end_socket is not None and end_socket.fileno() >= 0:
        end_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    writer.transport.abort()
