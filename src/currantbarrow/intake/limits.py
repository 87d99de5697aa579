"""Derive the limits on clients from the limits of the process."""

from __future__ import annotations

import msgspec

__all__ = ["IntakeLimits", "create_internal_limits", "create_limits"]

BYTES_PER_MB = 1024 * 1024
# A body takes up to twice its size while it is decoded, and the heap does not shrink between them.
HELD_MEMORY_SHARE = 1 / 8
# Descriptors of a process that are kept for files.
FILE_DESCRIPTORS = 200
# The rest of the descriptors is for links, the store, workers and the ports of other servers.
CONNECTION_SHARE = 1 / 2
MIN_CONNECTIONS = 8
# Ports for the system's own hosts and operators have few clients, with small requests.
INTERNAL_MEMORY_SHARE = 1 / 16
INTERNAL_CONNECTIONS = 64
# Callers wait for seconds, and broken connections recover or end within half a minute.
REQUEST_TIMEOUT_S = 30.0
WRITE_TIMEOUT_S = 30.0


class IntakeLimits(msgspec.Struct, frozen=True):
    """Define how much all clients of a process together may take."""

    # Bytes of requests that are received and not answered.
    held_bytes: int
    # Open connections of clients.
    connections: int
    # Time from the first byte of a request to its last.
    request_timeout_s: float = REQUEST_TIMEOUT_S
    # Time in which a client reads nothing of what is sent to it.
    write_timeout_s: float = WRITE_TIMEOUT_S


def create_limits(memory_mb: float, descriptors: int) -> IntakeLimits:
    """Return the limits for a process with this much memory and so many descriptors."""
    sockets = max(descriptors - FILE_DESCRIPTORS, descriptors // 4)
    return IntakeLimits(
        int(memory_mb * BYTES_PER_MB * HELD_MEMORY_SHARE),
        max(MIN_CONNECTIONS, int(sockets * CONNECTION_SHARE)),
    )


def create_internal_limits(memory_mb: float) -> IntakeLimits:
    """Return the limits for a port that callers do not use."""
    held_bytes = int(memory_mb * BYTES_PER_MB * INTERNAL_MEMORY_SHARE)
    return IntakeLimits(held_bytes, INTERNAL_CONNECTIONS)
