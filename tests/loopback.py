"""Run a small fleet of daemons on loopback in a thread, for tests."""

from __future__ import annotations

import asyncio
import concurrent.futures
import contextlib
import http.client
import shutil
import threading
from pathlib import Path
from typing import Any

import msgspec
import uuid6

from currantbarrow.load.fleet_settings import FleetSettings, load_fleet_settings
from currantbarrow.load.loopback import LoopbackFleet, start_loopback_fleet

EXAMPLES = Path(__file__).parent.parent / "examples"
START_TIMEOUT_S = 30
CLASSES = {"quote": 300.0, "hold": 200.0}


class HttpReply(msgspec.Struct):
    status: int
    headers: dict[str, str]
    content: bytes

    @property
    def body(self) -> Any:
        return msgspec.json.decode(self.content)


class LoopbackThread:
    """Run a fleet in a thread, and send requests to its HTTP APIs."""

    def __init__(self, settings: FleetSettings) -> None:
        self._settings = settings
        self._ready: concurrent.futures.Future[LoopbackFleet] = concurrent.futures.Future()
        self._stop = asyncio.Event()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._thread = threading.Thread(target=self._run)

    def start(self) -> None:
        self._thread.start()
        self.fleet = self._ready.result(START_TIMEOUT_S)

    def stop(self) -> None:
        assert self._loop is not None
        self._loop.call_soon_threadsafe(self._stop.set)
        self._thread.join(START_TIMEOUT_S)

    @property
    def callers_address(self) -> str:
        return self.fleet.entries[0].callers_address

    @property
    def operator_address(self) -> str:
        return self.fleet.entries[0].operator_address

    def send(
        self,
        method: str,
        path: str,
        body: Any = None,
        *,
        headers: dict[str, str] | None = None,
        address: str = "",
    ) -> HttpReply:
        content = body if isinstance(body, bytes | None) else msgspec.json.encode(body)
        connection = http.client.HTTPConnection(address or self.callers_address, timeout=30)
        with contextlib.closing(connection):
            request_headers = {"Content-Type": "application/json"} if headers is None else headers
            connection.request(method, path, content, request_headers)
            response = connection.getresponse()
            response_headers = {name.lower(): value for name, value in response.getheaders()}
            return HttpReply(response.status, response_headers, response.read())

    def start_count(self) -> int:
        return sum(self.fleet.start_counter.starts.values())

    def _run(self) -> None:
        # On exit the runner cancels all tasks that are still pending on the loop.
        with asyncio.Runner() as runner:
            self._loop = runner.get_loop()
            try:
                runner.run(self._serve())
            except Exception as error:
                self._ready.set_exception(error)

    async def _serve(self) -> None:
        async with start_loopback_fleet(self._settings) as fleet:
            for name, target_ms in CLASSES.items():
                await fleet.create_class(name, target_ms)
            self._ready.set_result(fleet)
            await self._stop.wait()


def small_fleet_settings(folder: Path, *, entries: int, sides: int) -> FleetSettings:
    """Return the settings of the first entries and sides of an example."""
    shutil.copytree(EXAMPLES / "vaja", folder, dirs_exist_ok=True)
    settings = load_fleet_settings(folder)
    return FleetSettings(
        settings.log, settings.entries[:entries], settings.sides[:sides], settings.workers[:sides]
    )


def make_body(count: int = 1, run_ms: float = 1.0, **changes: Any) -> dict[str, Any]:
    """Return the body of a valid submission, with the given changes."""
    body: dict[str, Any] = {
        "key": str(uuid6.uuid7()),
        "customer": "band",
        "class": "hold",
        "tasks": [{"payload": {"run_ms": run_ms, "echo": n}} for n in range(count)],
    }
    return {**body, **changes}
