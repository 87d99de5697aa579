"""Test the limits that the clients of a process share."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any, cast

import pytest
import uvloop

from currantbarrow.intake import Acceptor, IntakeLimits, create_intake, pacer
from currantbarrow.intake.acceptor import ACCEPTED_AT_ONCE, RETRY_DELAY_S
from currantbarrow.intake.pacer import DIRECT_S, MAX_READ_COST_S, PACED_SHARE, Pacer
from currantbarrow.intake.policy import (
    MAX_HEAD_BYTES,
    ORDINARY_REQUEST_BYTES,
    STALL_S,
    Refusal,
    choose_for_connections,
    choose_for_memory,
    find_overdue,
    has_overhead,
)
from currantbarrow.listening import bind_address
from currantbarrow.observe import MetricsRegistry
from currantbarrow.standins.virtual import run_virtual


class FakeClient:
    """A client with an unfinished request that has just sent something."""

    def __init__(
        self,
        held_bytes: int = 100_000,
        received_s: float = 100.0,
        began_s: float | None = 100.0,
        is_answering: bool = False,
        write_blocked_s: float | None = None,
        requests: int = 0,
    ) -> None:
        self.held_bytes = held_bytes
        self.received_s = received_s
        self.began_s = began_s
        self.is_answering = is_answering
        self.write_blocked_s = write_blocked_s
        self.requests = requests


NOW_S = 100.0
# Longer than a request that is not read on is left open.
LIMIT_S = 4.0


class TestMemory:
    def test_client_that_holds_most_is_refused(self) -> None:
        clients = [FakeClient(10_000), FakeClient(200_000), FakeClient(20_000)]
        assert choose_for_memory(clients, NOW_S) is clients[1]

    def test_stalled_client_is_refused_before_one_that_sends_more(self) -> None:
        stalled = FakeClient(50_000, received_s=NOW_S - STALL_S)
        assert choose_for_memory([FakeClient(200_000), stalled], NOW_S) is stalled

    def test_ordinary_request_is_not_refused(self) -> None:
        assert choose_for_memory([FakeClient(ORDINARY_REQUEST_BYTES)], NOW_S) is None

    def test_request_that_has_arrived_is_not_refused(self) -> None:
        assert choose_for_memory([FakeClient(is_answering=True)], NOW_S) is None


class TestConnections:
    def test_longest_idle_connection_is_closed(self) -> None:
        clients = [
            FakeClient(0, received_s=each_s, began_s=None, requests=1) for each_s in (90.0, 80.0)
        ]
        assert choose_for_connections([FakeClient(received_s=10.0), *clients]) is clients[1]

    def test_connection_without_a_request_is_closed_first(self) -> None:
        served = FakeClient(0, received_s=10.0, began_s=None, requests=1)
        unused = FakeClient(0, received_s=90.0, began_s=None)
        assert choose_for_connections([served, unused]) is unused

    def test_connection_whose_client_waits_for_an_answer_stays_open(self) -> None:
        assert choose_for_connections([FakeClient(is_answering=True)]) is None


class TestTime:
    def test_request_that_does_not_end_is_refused(self) -> None:
        assert find_overdue(FakeClient(began_s=70.0), NOW_S, 30.0, 30.0) is Refusal.SLOW_REQUEST

    @pytest.mark.parametrize("is_answering", [False, True])
    def test_client_that_reads_no_answers_is_refused(self, is_answering: bool) -> None:
        client = FakeClient(is_answering=is_answering, write_blocked_s=70.0)
        assert find_overdue(client, NOW_S, 30.0, 30.0) is Refusal.SLOW_READER

    @pytest.mark.parametrize(
        "client",
        [
            FakeClient(began_s=70.1),
            FakeClient(began_s=None),
            FakeClient(write_blocked_s=70.1),
            FakeClient(began_s=0.0, is_answering=True),
        ],
    )
    def test_idle_and_waiting_clients_are_not_refused(self, client: FakeClient) -> None:
        assert find_overdue(client, NOW_S, 30.0, 30.0) is None


class TestOverhead:
    @pytest.mark.parametrize("size_bytes", [1, 4096, 262_144, 1024 * 1024])
    def test_body_in_chunks_of_one_byte_has_none(self, size_bytes: int) -> None:
        assert not has_overhead(size_bytes * len(b"1\r\nx\r\n"), size_bytes)

    def test_endless_head_has_overhead(self) -> None:
        assert has_overhead(MAX_HEAD_BYTES + 1, 0)


class FakeReader:
    """A connection whose reads take a known processor time."""

    def __init__(self, read_s: float, decoded: list[FakeReader], clock: FakeTimer) -> None:
        self.cost_s = 0.0
        self.is_answering = False
        self._read_s = read_s
        self._decoded = decoded
        self._clock = clock

    def decode(self, data: bytes) -> None:
        self._decoded.append(self)
        self._clock.now_s += self._read_s

    def end_read(self) -> None:
        pass


class FakeTimer:
    """The processor's clock, which only decoding advances."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def perf_counter(self) -> float:
        return self.now_s


class TestPacer:
    """Chunks of one byte take the processor a thousand times as long as their bytes would."""

    @staticmethod
    def decode_all(monkeypatch: pytest.MonkeyPatch, costs_s: list[float], reads: int) -> float:
        """Submit reads of some connections, and return how long it took to decode them."""
        clock = FakeTimer()
        monkeypatch.setattr(pacer, "time", clock)
        decoded: list[FakeReader] = []
        readers = [FakeReader(cost_s, decoded, clock) for cost_s in costs_s]

        async def run() -> float:
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            paced = Pacer(loop)
            for _ in range(reads):
                for reader in readers:
                    paced.submit(reader, b"")
            while len(decoded) < reads * len(readers):
                await asyncio.sleep(0.001)
            return loop.time() - began_s

        return run_virtual(run())

    def test_costly_reads_leave_most_of_the_processor_to_others(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        took_s = self.decode_all(monkeypatch, [0.004] * 10, 5)
        cost_s = 0.004 * 49
        # The clock of the event loop stands still while a read is decoded.
        assert cost_s / (cost_s + took_s) <= PACED_SHARE * 1.02

    def test_cheap_connection_is_decoded_before_costly_ones(self) -> None:
        decoded: list[FakeReader] = []
        costly, cheap = (FakeReader(0.0, decoded, FakeTimer()) for _ in range(2))
        costly.cost_s = 1.0

        async def run() -> None:
            paced = Pacer(asyncio.get_running_loop())
            for reader in (costly, costly, costly, cheap):
                paced.submit(reader, b"")
            while len(decoded) < 4:
                await asyncio.sleep(0)

        asyncio.run(run())
        # The first read is decoded at once.
        assert decoded == [costly, cheap, costly, costly]

    def test_cheap_reads_are_not_delayed(self, monkeypatch: pytest.MonkeyPatch) -> None:
        took_s = self.decode_all(monkeypatch, [0.00002] * 50, 10)
        assert took_s <= 0.002

    def test_direct_reads_take_a_limited_time_between_other_events(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The first reads of a thousand connections may arrive at once."""
        clock = FakeTimer()
        monkeypatch.setattr(pacer, "time", clock)
        decoded: list[FakeReader] = []

        async def run() -> None:
            paced = Pacer(asyncio.get_running_loop())
            for _ in range(1000):
                paced.try_now(FakeReader(0.003, decoded, clock), b"")
            assert clock.now_s <= DIRECT_S + 0.003
            await asyncio.sleep(0)
            assert paced.try_now(FakeReader(0.003, decoded, clock), b"")

        asyncio.run(run())

    def test_suspension_during_a_read_counts_as_one_slow_read(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        took_s = self.decode_all(monkeypatch, [10.0], 2)
        assert took_s <= MAX_READ_COST_S / PACED_SHARE


class StoppingProtocol(asyncio.Protocol):
    """A library's protocol that stops reading after the first bytes, and does nothing more."""

    def __init__(self, answer: bytes = b"") -> None:
        self.lost = asyncio.Event()
        self._answer = answer
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        assert self._transport is not None
        self._transport.pause_reading()
        self._transport.write(self._answer)

    def connection_lost(self, error: Exception | None) -> None:
        self.lost.set()


class TestGoneClients:
    """A connection that is not read does not tell the event loop that its client has left."""

    @staticmethod
    async def is_closed(
        protocol: StoppingProtocol, limits: IntakeLimits, *, is_answering: bool, leaves: bool
    ) -> bool:
        """Return whether the connection of a client is closed that sends and may leave."""
        intake = create_intake("test", limits, MetricsRegistry())
        connection = intake.guard(protocol)
        own, other = socket.socketpair()
        own.setblocking(False)
        await asyncio.get_running_loop().connect_accepted_socket(lambda: connection, own)
        other.send(b"request")
        while not connection.held_bytes:
            await asyncio.sleep(0)
        if is_answering:
            connection.end_request()
        if leaves:
            other.close()
        try:
            async with asyncio.timeout(LIMIT_S):
                await protocol.lost.wait()
        except TimeoutError:
            return False
        finally:
            other.close()
        return True

    @pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
    def test_connection_of_a_client_that_has_left_is_closed_while_nothing_is_read(
        self, run: Callable[[Any], Any]
    ) -> None:
        limits = IntakeLimits(1 << 20, 8)
        assert run(self.is_closed(StoppingProtocol(), limits, is_answering=True, leaves=True))

    @pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
    def test_connection_whose_answer_waits_stays_open(self, run: Callable[[Any], Any]) -> None:
        limits = IntakeLimits(1 << 20, 8)
        assert not run(self.is_closed(StoppingProtocol(), limits, is_answering=True, leaves=False))

    @pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
    def test_request_that_the_library_stops_reading_is_refused(
        self, run: Callable[[Any], Any]
    ) -> None:
        """The parser fails in a trailer, and neither answers nor reads on."""
        limits = IntakeLimits(1 << 20, 8)
        assert run(self.is_closed(StoppingProtocol(), limits, is_answering=False, leaves=False))

    @pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
    def test_connection_whose_answers_are_not_read_is_closed(
        self, run: Callable[[Any], Any]
    ) -> None:
        limits = IntakeLimits(1 << 20, 8, write_timeout_s=0.5)
        protocol = StoppingProtocol(b"x" * (8 << 20))
        assert run(self.is_closed(protocol, limits, is_answering=True, leaves=False))


class TestAcceptor:
    """The event loop's own server accepts connections up to the last descriptor."""

    @pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
    def test_connections_beyond_the_limit_take_the_place_of_idle_ones(
        self, run: Callable[[Any], Any]
    ) -> None:
        async def scenario() -> None:
            intake = create_intake("test", IntakeLimits(1 << 20, 4), MetricsRegistry())
            protocols: list[StoppingProtocol] = []

            def create_protocol() -> StoppingProtocol:
                protocols.append(StoppingProtocol(b"answer"))
                return protocols[-1]

            acceptor = Acceptor(bind_address("127.0.0.1:0", "test"), create_protocol, intake)
            address = acceptor.sockets[0].getsockname()
            idle = [socket.create_connection(address) for _ in range(40)]
            async with asyncio.timeout(LIMIT_S):
                while len(protocols) < len(idle):
                    await asyncio.sleep(0)
                    open_count = sum(not each.lost.is_set() for each in protocols)
                    assert open_count <= 4 + ACCEPTED_AT_ONCE
                reader, writer = await asyncio.open_connection(*address)
                writer.write(b"request")
                assert await reader.readexactly(6) == b"answer"
            writer.close()
            acceptor.close()
            for each in idle:
                each.close()

        run(scenario())

    @pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
    def test_connection_waits_while_all_others_wait_for_answers(
        self, run: Callable[[Any], Any]
    ) -> None:
        async def scenario() -> None:
            intake = create_intake("test", IntakeLimits(1 << 20, 1), MetricsRegistry())
            acceptor = Acceptor(bind_address("127.0.0.1:0", "test"), StoppingProtocol, intake)
            address = acceptor.sockets[0].getsockname()
            clients = [socket.create_connection(address)]
            clients[0].send(b"request")
            async with asyncio.timeout(LIMIT_S):
                while not any(each.held_bytes for each in intake.connections):
                    await asyncio.sleep(0)
                (first,) = intake.connections
                first.end_request()
                clients.append(socket.create_connection(address))
                await asyncio.sleep(4 * RETRY_DELAY_S)
                assert intake.connections == {first}
                clients[0].close()
                while not intake.connections or first in intake.connections:
                    await asyncio.sleep(0)
            acceptor.close()
            clients[1].close()

        run(scenario())
