"""Serve forwarders and workers in a process of their own."""

from __future__ import annotations

import argparse
import asyncio
import inspect
import socket
from collections.abc import Callable
from typing import Any

import msgspec
import uvloop

from soak.load import LagMeter
from soak.proxy import Forwarder
from soak.site import Call, Reply, RunEvent
from soak.worker import RunReporter, create_worker


class StandIns:
    """The forwarders and workers of a process, and the meter of its lag, by name."""

    def __init__(self, name: str, send: Callable[[RunEvent], None]) -> None:
        self._recorder = RunReporter(send)
        self._targets: dict[str, Any] = {"": self, "load": LagMeter(name)}

    def find(self, name: str) -> Any:
        """Return the target of a call."""
        return self._targets[name]

    async def add_forwarder(self, name: str, address: str, target: str) -> None:
        """Create and start a forwarder."""
        forwarder = self._targets[name] = Forwarder(name, address, target)
        await forwarder.start()

    async def add_worker(self, name: str, **arguments: Any) -> None:
        """Create and start a worker."""
        self._targets[name] = await create_worker(self._recorder, name, **arguments)

    def let_task_crash(self, job: str, crash_ms: float) -> None:
        """Let the first task of a job crash the workers of this process."""
        self._recorder.crashing_ms[job, 0, 0] = crash_ms

    def over_capacity(self) -> list[str]:
        """Return the workers that ran more than they have room for."""
        return sorted(set(self._recorder.over_capacity))

    def ping(self) -> None:
        """Do nothing; the reply tells that all events before the call have been sent."""


async def _serve(name: str, descriptor: int) -> None:
    reader, writer = await asyncio.open_connection(sock=socket.socket(fileno=descriptor))

    def send(message: Reply | RunEvent) -> None:
        writer.write(msgspec.json.encode(message) + b"\n")

    stand_ins = StandIns(name, send)
    decoder = msgspec.json.Decoder(Call)
    async for line in reader:
        call = decoder.decode(line)
        value = getattr(stand_ins.find(call.target), call.method)(**call.arguments)
        if inspect.isawaitable(value):
            value = await value
        if call.number:
            send(Reply(call.number, value))


def main() -> None:
    """Serve until the run's process closes the socket."""
    parser = argparse.ArgumentParser(prog="python -m soak.site_main")
    parser.add_argument("name")
    parser.add_argument("descriptor", type=int)
    options = parser.parse_args()
    uvloop.run(_serve(options.name, options.descriptor))


if __name__ == "__main__":
    main()
