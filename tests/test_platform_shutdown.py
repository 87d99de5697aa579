"""Test that the platform's programs exit within their grace period."""

from __future__ import annotations

import asyncio

from currantbarrow.platform.serving import DRAIN_RESERVE_MS, Closer, close_all
from currantbarrow.standins.virtual import run_virtual


class TestCloseAll:
    @staticmethod
    def run(closers: list[Closer]) -> float:
        """Close all, and return how long that took in seconds."""

        async def run() -> float:
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            await close_all(closers)
            return loop.time() - began_s

        return run_virtual(run())

    def test_connections_are_closed_in_order(self) -> None:
        closed: list[int] = []

        async def close(number: int) -> None:
            closed.append(number)

        self.run([lambda: close(1), lambda: close(2)])
        assert closed == [1, 2]

    def test_hanging_connection_does_not_delay_the_exit(self) -> None:
        async def hang() -> None:
            await asyncio.Event().wait()

        assert self.run([hang, hang]) < DRAIN_RESERVE_MS / 1000
