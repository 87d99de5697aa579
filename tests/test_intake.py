"""Test the limits that the clients of a process share."""

from __future__ import annotations

import pytest

from currantbarrow.intake.policy import (
    MAX_HEAD_BYTES,
    ORDINARY_REQUEST_BYTES,
    STALL_S,
    Refusal,
    choose_for_memory,
    find_overdue,
    has_overhead,
)


class FakeClient:
    """A client with an unfinished request that has just sent something."""

    def __init__(
        self,
        held_bytes: int = 100_000,
        received_s: float = 100.0,
        began_s: float | None = 100.0,
        is_answering: bool = False,
    ) -> None:
        self.held_bytes = held_bytes
        self.received_s = received_s
        self.began_s = began_s
        self.is_answering = is_answering


NOW_S = 100.0


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


class TestTime:
    def test_request_that_does_not_end_is_refused(self) -> None:
        assert find_overdue(FakeClient(began_s=70.0), NOW_S, 30.0) is Refusal.SLOW_REQUEST

    @pytest.mark.parametrize(
        "client",
        [
            FakeClient(began_s=70.1),
            FakeClient(began_s=None),
            FakeClient(began_s=0.0, is_answering=True),
        ],
    )
    def test_idle_and_waiting_clients_are_not_refused(self, client: FakeClient) -> None:
        assert find_overdue(client, NOW_S, 30.0) is None


class TestOverhead:
    @pytest.mark.parametrize("size_bytes", [1, 4096, 262_144, 1024 * 1024])
    def test_body_in_chunks_of_one_byte_has_none(self, size_bytes: int) -> None:
        assert not has_overhead(size_bytes * len(b"1\r\nx\r\n"), size_bytes)

    def test_endless_head_has_overhead(self) -> None:
        assert has_overhead(MAX_HEAD_BYTES + 1, 0)
