"""Accept connections within the limit on them."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from currantbarrow.intake.intake import Intake
from currantbarrow.observe import logger

__all__ = ["Acceptor"]

# Other events are handled between so many connections of a burst.
ACCEPTED_AT_ONCE = 16
# All connections wait for answers, or the system has no descriptor: the clients wait in its queue.
RETRY_DELAY_S = 0.05


class Acceptor:
    """Accept connections from a listening socket.

    The event loop's own server accepts whatever arrives, up to the last descriptor.
    """

    __slots__ = ("_create_protocol", "_intake", "_listener", "_loop", "_retry", "_tasks")

    def __init__(
        self,
        listener: socket.socket,
        create_protocol: Callable[[], asyncio.Protocol],
        intake: Intake,
    ) -> None:
        self._listener = listener
        self._create_protocol = create_protocol
        self._intake = intake
        self._loop = asyncio.get_running_loop()
        self._retry: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self._listen()

    @property
    def sockets(self) -> tuple[socket.socket, ...]:
        """Return the listening socket, unless it is closed."""
        return () if self._listener.fileno() < 0 else (self._listener,)

    def close(self) -> None:
        """Stop listening."""
        if self._listener.fileno() < 0:
            return
        if self._retry is not None:
            self._retry.cancel()
        self._loop.remove_reader(self._listener.fileno())
        self._listener.close()

    def _listen(self) -> None:
        self._retry = None
        self._loop.add_reader(self._listener.fileno(), self._accept)

    def _listen_later(self) -> None:
        self._loop.remove_reader(self._listener.fileno())
        self._retry = self._loop.call_later(RETRY_DELAY_S, self._listen)

    def _accept(self) -> None:
        for _ in range(ACCEPTED_AT_ONCE):
            if not self._intake.make_room(len(self._tasks)):
                self._listen_later()
                return
            try:
                accepted, _ = self._listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                logger.warning("connection not accepted", extra={"error": str(error)})
                self._listen_later()
                return
            self._serve(accepted)

    def _serve(self, accepted: socket.socket) -> None:
        accepted.setblocking(False)
        connection = self._intake.guard(self._create_protocol())
        task = self._loop.create_task(
            self._loop.connect_accepted_socket(lambda: connection, accepted)
        )
        self._tasks.add(task)
        task.add_done_callback(self._end_serving)

    def _end_serving(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.warning("connection not served", extra={"error": str(task.exception())})
