"""Decide which client is refused when all of them together exceed a limit.

Designed for a crowd of clients that hold what they can, beside callers with ordinary requests.
These are small, arrive whole and are answered soon, so what a client holds and how long it has sent
nothing tells them apart. The newest client is not refused for being the newest.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable
from typing import Protocol, TypeVar

__all__ = [
    "Client",
    "Refusal",
    "choose_for_connections",
    "choose_for_memory",
    "find_overdue",
    "has_overhead",
]

# A client that has sent nothing for longer, in the middle of a request, counts as stalled.
STALL_S = 0.5
# Requests up to this size are not refused for memory: the limit on connections bounds them.
ORDINARY_REQUEST_BYTES = 4096
# The head of a request and the trailers of its body.
MAX_HEAD_BYTES = 64 * 1024
# A body in chunks of one byte takes six times its size.
MAX_CHUNKING_FACTOR = 16


class Refusal(enum.StrEnum):
    """Define why a client is refused."""

    # All clients together hold too many bytes.
    MEMORY = "memory"
    CONNECTIONS = "connections"
    # A request takes too long to arrive.
    SLOW_REQUEST = "slow_request"
    # Answers are not read.
    SLOW_READER = "slow_reader"
    # Far more is received than the content of the request.
    OVERHEAD = "overhead"
    # The library fails on what was received.
    UNDECODABLE = "undecodable"


class Client(Protocol):
    """Describe the connection of a client, with times of the event loop."""

    # Bytes of requests that are received and not answered.
    held_bytes: int
    # When the last bytes arrived, or the connection was accepted.
    received_s: float
    # When the first byte of the request arrived that is being received; None if there is none.
    began_s: float | None
    # Since when the client has read nothing of what waits for it; None if nothing waits.
    write_blocked_s: float | None
    # Whether a request has arrived whole and is not answered.
    is_answering: bool
    # How many requests have arrived whole.
    requests: int


ClientT = TypeVar("ClientT", bound=Client)


def choose_for_memory(clients: Iterable[ClientT], now_s: float) -> ClientT | None:
    """Return the client that holds most and moves least among those with an unfinished request.

    Return None if only ordinary requests are unfinished.
    """
    return max(
        (
            each
            for each in clients
            if each.held_bytes > ORDINARY_REQUEST_BYTES and not each.is_answering
        ),
        key=lambda each: (now_s - each.received_s >= STALL_S, each.held_bytes),
        default=None,
    )


def choose_for_connections(clients: Iterable[ClientT]) -> ClientT | None:
    """Return the client that gives up its connection, or None if all wait for answers.

    Idle ones come first, those without any request before the others, and the longest idle.
    """
    return min(
        (each for each in clients if not each.is_answering),
        key=lambda each: (each.began_s is not None, each.requests > 0, each.received_s),
        default=None,
    )


def find_overdue(
    client: Client, now_s: float, request_timeout_s: float, write_timeout_s: float
) -> Refusal | None:
    """Return why a client has taken too long, or None if it has not."""
    if client.write_blocked_s is not None and now_s - client.write_blocked_s >= write_timeout_s:
        return Refusal.SLOW_READER
    if (
        client.began_s is not None
        and not client.is_answering
        and now_s - client.began_s >= request_timeout_s
    ):
        return Refusal.SLOW_REQUEST
    return None


def has_overhead(received_bytes: int, body_bytes: int) -> bool:
    """Return whether so many bytes were received for a body of this size that it is no request.

    Heads, trailers and chunk sizes may be endless without exceeding any limit on a body.
    """
    return received_bytes > MAX_HEAD_BYTES + MAX_CHUNKING_FACTOR * body_bytes
