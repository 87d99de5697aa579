"""Derive the limits on clients from the limits of the process."""

from __future__ import annotations

import msgspec

__all__ = ["IntakeLimits", "create_internal_limits", "create_limits"]

BYTES_PER_MB = 1024 * 1024
# A body takes up to twice its size while it is decoded, and the heap does not shrink between them.
HELD_MEMORY_SHARE = 1 / 8
# Ports for the system's own hosts and operators have few clients, with small requests.
INTERNAL_MEMORY_SHARE = 1 / 16
# Callers wait for seconds, and broken connections recover or end within half a minute.
REQUEST_TIMEOUT_S = 30.0
WRITE_TIMEOUT_S = 30.0


class IntakeLimits(msgspec.Struct, frozen=True):
    """Define how much all clients of a process together may take."""

    # Bytes of requests that are received and not answered.
    held_bytes: int
    # Time from the first byte of a request to its last.
    request_timeout_s: float = REQUEST_TIMEOUT_S
    # Time in which a client reads nothing of what is sent to it.
    write_timeout_s: float = WRITE_TIMEOUT_S


def create_limits(memory_mb: float) -> IntakeLimits:
    """Return the limits for a process with this much memory."""
    return IntakeLimits(int(memory_mb * BYTES_PER_MB * HELD_MEMORY_SHARE))


def create_internal_limits(memory_mb: float) -> IntakeLimits:
    """Return the limits for a port that callers do not use."""
    return IntakeLimits(int(memory_mb * BYTES_PER_MB * INTERNAL_MEMORY_SHARE))
