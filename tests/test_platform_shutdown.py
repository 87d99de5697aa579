"""Test that the platform's programs exit within their grace period."""

from __future__ import annotations

import asyncio
import contextlib

import aiohttp
import pytest
from aiohttp import web

from currantbarrow.intake import create_intake, create_limits
from currantbarrow.observe import MetricsRegistry
from currantbarrow.open_requests import OpenRequests
from currantbarrow.platform.serving import DRAIN_RESERVE_MS, Closer, close_all, serve_app
from currantbarrow.standins.virtual import run_virtual


class TestCloseAll:
    @staticmethod
    def run(*stages: list[Closer]) -> float:
        """Close all, and return how long that took in seconds."""

        async def run() -> float:
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            await close_all(*stages)
            return loop.time() - began_s

        return run_virtual(run())

    def test_all_are_closed_although_some_hang_or_fail(self) -> None:
        closed: list[int] = []

        async def close(number: int) -> None:
            closed.append(number)

        async def hang() -> None:
            await asyncio.Event().wait()

        async def fail() -> None:
            raise OSError("already closed")

        took_s = self.run([hang, lambda: close(1), fail, hang, lambda: close(2)])
        assert closed == [1, 2]
        assert took_s < DRAIN_RESERVE_MS / 1000

    def test_exit_is_not_delayed_once_all_are_closed(self) -> None:
        async def close() -> None:
            pass

        assert self.run([close, close]) == 0.0

    def test_stage_that_hangs_leaves_time_for_the_others(self) -> None:
        closed: list[int] = []

        async def close() -> None:
            closed.append(1)

        async def hang() -> None:
            await asyncio.Event().wait()

        assert self.run([hang], [close, hang], [close]) < DRAIN_RESERVE_MS / 1000
        assert closed == [1, 1]


class TestOpenRequests:
    """Requests that were open when a process ended used to be cut off without an answer."""

    @staticmethod
    async def serve(requests: OpenRequests, cancelled: asyncio.Event) -> web.AppRunner:
        """Serve requests that are answered only once the process ends."""

        async def wait(request: web.Request) -> web.Response:
            await request.read()
            try:
                await asyncio.Event().wait()
            finally:
                cancelled.set()
            return web.Response()

        app = web.Application()
        app.router.add_route("*", "/", wait)
        intake = create_intake("test", create_limits(100.0, 1000), MetricsRegistry())
        return await serve_app(app, "127.0.0.1:0", "test", requests, intake, cancel=True)

    @pytest.mark.parametrize("method", ["GET", "POST", "DELETE"])
    def test_request_that_is_open_at_the_end_is_answered(self, method: str) -> None:
        async def run() -> None:
            requests = OpenRequests()
            runner = await self.serve(requests, asyncio.Event())
            host, port = runner.addresses[0][:2]
            async with aiohttp.ClientSession() as session, asyncio.timeout(5):
                sending = asyncio.create_task(session.request(method, f"http://{host}:{port}/"))
                while not requests:
                    await asyncio.sleep(0)
                await runner.cleanup()
                answer = await sending
                # Its job may have run.
                assert answer.status == 502
                assert not requests

        asyncio.run(run())

    def test_request_whose_client_has_left_does_not_delay_the_end(self) -> None:
        async def run() -> None:
            requests, cancelled = OpenRequests(), asyncio.Event()
            runner = await self.serve(requests, cancelled)
            host, port = runner.addresses[0][:2]
            async with aiohttp.ClientSession() as session, asyncio.timeout(5):
                sending = asyncio.create_task(session.post(f"http://{host}:{port}/"))
                while not requests:
                    await asyncio.sleep(0)
                sending.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await sending
                await cancelled.wait()
                assert not requests
            await runner.cleanup()

        asyncio.run(run())
