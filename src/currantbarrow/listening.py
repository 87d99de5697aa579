"""Bind the listening sockets of a process."""

from __future__ import annotations

import os
import socket

from currantbarrow.exceptions import AddressUnavailable

__all__ = ["bind_address", "bound_address"]

BACKLOG = 1024


def bind_address(address: str, setting: str) -> socket.socket:
    """Return a non-blocking listening socket; raise AddressUnavailable naming the setting."""
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, int(port)))
        listener.listen(BACKLOG)
    except (OSError, OverflowError) as error:
        listener.close()
        reason = os.strerror(error.errno) if isinstance(error, OSError) and error.errno else error
        raise AddressUnavailable(f"{setting}: {address}: {reason}") from error
    listener.setblocking(False)
    return listener


def bound_address(listener: socket.socket) -> str:
    """Return the address that a socket is bound to, with the port that the system assigned."""
    host, port = listener.getsockname()
    return f"{host}:{port}"
