"""Test that an entry of the product's own API ends only once what it has read is answered."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest
from sanic import Request
from sanic.response import HTTPResponse

from currantbarrow.entry.http_server import create_app, json_response, serve_app
from currantbarrow.entry.problems import error_response
from currantbarrow.exceptions import DrainCutShort
from currantbarrow.intake import create_intake, create_limits
from currantbarrow.listening import bind_address, bound_address
from currantbarrow.observe import MetricsRegistry
from currantbarrow.open_requests import OpenRequests, raise_interrupted
from currantbarrow.standins.fleet import Fleet
from helpers import FleetTest


class TestHttpServer:
    """Requests that were open when an entry ended used to be cut off without an answer."""

    @staticmethod
    async def call_and_stop(method: str, requests: OpenRequests, answered: asyncio.Event) -> int:
        """Return the status of a request that is open when its server stops."""
        app = create_app(f"drain-{method.lower()}-{id(requests)}", 1000, requests)

        @app.route("/", methods=["GET", "POST", "DELETE"])
        async def wait(request: Request) -> HTTPResponse:
            await answered.wait()
            return json_response({})

        @app.exception(DrainCutShort)
        async def handle(request: Request, error: DrainCutShort) -> HTTPResponse:
            return error_response(error)

        listener = bind_address("127.0.0.1:0", "callers")
        intake = create_intake("test", create_limits(100.0, 1000), MetricsRegistry())
        server = await serve_app(app, listener, intake)
        url = f"http://{bound_address(listener)}/"
        async with aiohttp.ClientSession() as session, asyncio.timeout(5):
            sending = asyncio.create_task(session.request(method, url))
            while not requests:
                await asyncio.sleep(0)
            await server.stop()
            answer = await sending
            assert "not_run" not in await answer.json()
            return answer.status

    @pytest.mark.parametrize("method", ["GET", "POST", "DELETE"])
    def test_request_that_is_open_at_the_end_is_answered(self, method: str) -> None:
        requests = OpenRequests()
        assert asyncio.run(self.call_and_stop(method, requests, asyncio.Event())) == 503
        assert not requests


class TestNode(FleetTest):
    """Only submissions used to count, so that an entry could end while it answered a reader."""

    # Longer than the handover of the shards takes.
    WAIT_MS = 15_000.0

    @pytest.mark.parametrize("answered_after_ms", [WAIT_MS, 10 * WAIT_MS])
    def test_drain_waits_for_every_request_up_to_the_limit(self, answered_after_ms: float) -> None:
        async def scenario(fleet: Fleet) -> None:
            node = fleet.entries["entry-1"].node
            began_ms = fleet.clock.monotonic_ms()
            reader = asyncio.create_task(
                node.requests.answer(fleet.clock.sleep_ms(answered_after_ms), raise_interrupted)
            )
            await fleet.drain_entry("entry-1")
            took_ms = fleet.clock.monotonic_ms() - began_ms
            assert took_ms >= min(answered_after_ms, node.options.drain_ms)
            await asyncio.wait([reader])
            is_interrupted = isinstance(reader.exception(), DrainCutShort)
            assert is_interrupted == (answered_after_ms > node.options.drain_ms)

        self.run_fleet(scenario)
