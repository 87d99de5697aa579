"""Tests of message encoding, and of links with older, newer and invalid peers."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any

import cbor2
import msgspec
import pytest
import uvloop
from hypothesis import given, settings
from hypothesis import strategies as st
from websockets.asyncio.client import connect
from websockets.asyncio.server import ServerConnection, serve
from websockets.exceptions import ConnectionClosedError

from currantbarrow.exceptions import BadFrame, LinkClosed
from currantbarrow.jobs import TaskState
from currantbarrow.observe import HybridClock, MetricsRegistry, create_clock
from currantbarrow.platform.serving import DRAIN_RESERVE_MS
from currantbarrow.protocol import (
    Heartbeat,
    Hello,
    Load,
    Message,
    Refused,
    RefusedReason,
    Result,
    Role,
    TaskResult,
    decode_frame,
    encode_frame,
)
from currantbarrow.protocol.websocket import create_network
from currantbarrow.types import Link

LOAD = Load(12.5, 8, 3, 1, False)
RESULT = Result([TaskResult(b"k" * 16, 3, 1, TaskState.DONE, {"a": [1, None]}, "", 5.0)], LOAD)
CONTACT_S = 3.0


class TestCodec:
    def test_encoded_messages_are_decoded_unchanged(self) -> None:
        batch: list[Message] = [RESULT, Heartbeat(LOAD)]
        assert decode_frame(encode_frame(7, batch)) == (7, batch)

    def test_fields_added_by_a_newer_peer_are_ignored(self) -> None:
        plain = [*msgspec.to_builtins(Heartbeat(LOAD), builtin_types=(bytes,)), "later field"]
        assert decode_frame(cbor2.dumps((1, [plain]))) == (1, [Heartbeat(LOAD)])

    def test_fields_missing_from_an_older_peer_take_their_defaults(self) -> None:
        assert decode_frame(cbor2.dumps((1, [["Heartbeat"]]))) == (1, [Heartbeat()])

    def test_unknown_messages_of_a_newer_peer_are_skipped(self) -> None:
        plain = msgspec.to_builtins(RESULT, builtin_types=(bytes,))
        frame = cbor2.dumps((1, [["LaterMessage", 1, 2], plain]))
        assert decode_frame(frame) == (1, [RESULT])

    def test_unknown_refusal_reason_of_a_newer_peer_is_decoded_as_other(self) -> None:
        plain = msgspec.to_builtins(Refused(RefusedReason.FULL, [], LOAD), builtin_types=(bytes,))
        plain[1] = "later reason"
        _, batch = decode_frame(cbor2.dumps((1, [plain])))
        assert batch == [Refused(RefusedReason.OTHER, [], LOAD)]

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(st.binary(max_size=200))
    def test_random_bytes_raise_no_error_but_bad_frame(self, data: bytes) -> None:
        self._check_decode(data)

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(st.recursive(st.none() | st.integers() | st.text(), st.lists, max_leaves=20))
    def test_wrong_shapes_raise_no_error_but_bad_frame(self, shape: object) -> None:
        self._check_decode(cbor2.dumps((1, [["Result", shape, shape]])))
        self._check_decode(cbor2.dumps(shape))

    def test_deep_nesting_is_a_bad_frame(self) -> None:
        with pytest.raises(BadFrame):
            decode_frame(b"\x81" * 100_000)

    @staticmethod
    def _check_decode(data: bytes) -> None:
        try:
            _, batch = decode_frame(data)
        except BadFrame:
            return
        assert all(isinstance(message, Message) for message in batch)


class TestWebsocketLinks:
    """Two networks connected over loopback, with a time limit."""

    def run_pair(
        self, scenario: Callable[[str, Link, Link, MetricsRegistry], Awaitable[None]]
    ) -> None:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(asyncio.wait_for(self._run(scenario), 20))

    @staticmethod
    async def _run(
        scenario: Callable[[str, Link, Link, MetricsRegistry], Awaitable[None]],
    ) -> None:
        metrics = MetricsRegistry()
        server = create_network("secret", HybridClock(create_clock()), metrics)
        client = create_network("secret", HybridClock(create_clock()), MetricsRegistry())
        accepted: asyncio.Queue[Link] = asyncio.Queue()

        async def receive_all(link: Link) -> None:
            accepted.put_nowait(link)
            with contextlib.suppress(LinkClosed):
                while True:
                    await link.receive()

        address = await server.listen(
            "127.0.0.1:0", Hello(Role.SIDE, "s", "s.1", "secret"), receive_all
        )
        link = await client.connect(address, Hello(Role.ENTRY, "e", "e.1", "secret"))
        await scenario(address, link, await accepted.get(), metrics)
        await client.stop()
        await server.stop()

    def test_handshake_exchanges_incarnations(self) -> None:
        async def scenario(address: str, near: Link, far: Link, metrics: MetricsRegistry) -> None:
            assert (near.peer.incarnation, far.peer.incarnation) == ("s.1", "e.1")

        self.run_pair(scenario)

    def test_messages_arrive_in_order_and_in_few_frames(self) -> None:
        async def scenario(address: str, near: Link, far: Link, metrics: MetricsRegistry) -> None:
            for number in range(1000):
                far.post(Heartbeat(None, number))
            received = [await near.receive() for _ in range(1000)]
            assert received == [Heartbeat(None, number) for number in range(1000)]
            assert metrics.counters["link.frames_sent"] <= 10

        self.run_pair(scenario)

    def test_bad_frame_closes_only_its_own_link(self) -> None:
        async def scenario(address: str, near: Link, far: Link, metrics: MetricsRegistry) -> None:
            async with connect(f"ws://{address}", proxy=None) as socket:
                await socket.send(encode_frame(1, [Hello(Role.ENTRY, "x", "x.1", "secret")]))
                await socket.recv()
                await socket.send(b"nonsense")
                await socket.wait_closed()
            assert metrics.counters["link.bad_frame"] == 1
            far.post(RESULT)
            assert await near.receive() == RESULT

        self.run_pair(scenario)

    def test_oversized_batch_is_split_and_oversized_message_is_dropped(self) -> None:
        async def scenario(address: str, near: Link, far: Link, metrics: MetricsRegistry) -> None:
            for size_bytes in (5_000_000, 5_000_000, 9_000_000, 10):
                task = TaskResult(b"k" * 16, size_bytes, 1, TaskState.DONE, b"v" * size_bytes)
                far.post(Result([task], LOAD))
            received = [await near.receive() for _ in range(3)]
            assert [
                message.results[0].index for message in received if isinstance(message, Result)
            ] == [
                5_000_000,
                5_000_000,
                10,
            ]
            assert metrics.counters["link.oversize_dropped"] == 1

        self.run_pair(scenario)

    @pytest.mark.parametrize(
        "hello",
        [
            Hello(Role.ENTRY, "x", "x.1", "wrong"),
            Hello(Role.ENTRY, "x", "x.1", "secret", version=99, oldest_version=99),
            Hello(Role.ENTRY, "x", "x.1", "secret", version=0, oldest_version=0),
        ],
    )
    def test_wrong_token_or_version_is_refused(self, hello: Hello) -> None:
        async def scenario(address: str, near: Link, far: Link, metrics: MetricsRegistry) -> None:
            client = create_network("secret", HybridClock(create_clock()), MetricsRegistry())
            with pytest.raises(LinkClosed):
                await client.connect(address, hello)
            assert metrics.counters["link.handshake_refused"] == 1

        self.run_pair(scenario)

    def test_newer_peer_that_supports_this_version_is_accepted(self) -> None:
        async def scenario(address: str, near: Link, far: Link, metrics: MetricsRegistry) -> None:
            client = create_network("secret", HybridClock(create_clock()), MetricsRegistry())
            newer = Hello(Role.ENTRY, "x", "x.1", "secret", version=9, oldest_version=1)
            link = await client.connect(address, newer)
            assert link.peer.incarnation == "s.1"
            await client.stop()

        self.run_pair(scenario)


class TestStop:
    """A stopping process must exit in time, although a suspended peer does not answer."""

    @pytest.mark.parametrize("suspended", ["server", "client"])
    def test_unresponsive_peer_does_not_delay_the_stop(self, suspended: str) -> None:
        async def run() -> float:
            networks = {
                name: create_network("", HybridClock(create_clock()), MetricsRegistry())
                for name in ("server", "client")
            }
            links: dict[str, Any] = {}

            async def hold(link: Link) -> None:
                links["server"] = link
                with contextlib.suppress(LinkClosed):
                    await link.receive()

            address = await networks["server"].listen(
                "127.0.0.1:0", Hello(Role.SIDE, "s", "s.1"), hold
            )
            links["client"] = await networks["client"].connect(
                address, Hello(Role.ENTRY, "e", "e.1")
            )
            while "server" not in links:
                await asyncio.sleep(0.001)
            links[suspended]._socket.transport.pause_reading()
            stopping = networks["client" if suspended == "server" else "server"]
            began_s = asyncio.get_running_loop().time()
            async with asyncio.timeout(5.0):
                await stopping.stop()
            took_s = asyncio.get_running_loop().time() - began_s
            links[suspended].abort()
            return took_s

        # Less than a process keeps of its grace period for closing connections.
        assert uvloop.run(run()) < DRAIN_RESERVE_MS / 1000


class TestBrokenHandshake:
    """A forwarder accepts a connection and resets it because its target is not listening."""

    def test_connection_reset_before_the_handshake_is_a_link_error(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def reset(*arguments: object, **options: object) -> None:
            # Raised by the library if the connection is reset before the request is sent.
            raise ConnectionClosedError(None, None)

        monkeypatch.setattr("currantbarrow.protocol.websocket.connect", reset)
        network = create_network("", HybridClock(create_clock()), MetricsRegistry())
        with pytest.raises(LinkClosed):
            uvloop.run(network.connect("127.0.0.1:1", Hello(Role.ENTRY, "entry-1", "entry-1.1")))

    def test_attempt_ends_in_time_if_the_peer_falls_silent_before_its_hello(self) -> None:
        async def run() -> float:
            async def fall_silent(socket: ServerConnection) -> None:
                socket.transport.pause_reading()
                await asyncio.Event().wait()

            server = await serve(fall_silent, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            network = create_network("", HybridClock(create_clock()), MetricsRegistry())
            began_s = asyncio.get_running_loop().time()
            with pytest.raises(LinkClosed):
                await network.connect(f"127.0.0.1:{port}", Hello(Role.ENTRY, "entry-1", "e.1"))
            took_s = asyncio.get_running_loop().time() - began_s
            for socket in server.connections:
                socket.transport.abort()
            server.close()
            return took_s

        # The host counts as in contact again this long after its connections went silent.
        assert asyncio.run(run()) < CONTACT_S
