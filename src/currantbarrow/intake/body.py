"""Collect the body of a request."""

from __future__ import annotations

__all__ = ["BodyParts"]

# Smaller parts are joined, as each takes more memory than its bytes.
PART_BYTES = 4096


class BodyParts:
    """Collect parts of a body, without one array that grows.

    Such an array would leave holes in the heap that no later body fits into.
    """

    __slots__ = ("_parts", "_small", "size_bytes")

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._small = bytearray()
        self.size_bytes = 0

    def append(self, part: bytes) -> None:
        """Add a part."""
        self.size_bytes += len(part)
        if not self._small and len(part) >= PART_BYTES:
            self._parts.append(part)
            return
        self._small += part
        if len(self._small) >= PART_BYTES:
            self._parts.append(bytes(self._small))
            self._small.clear()

    def join(self) -> bytes:
        """Return the whole body."""
        return b"".join([*self._parts, self._small])

    def clear(self) -> None:
        """Discard all parts."""
        self._parts.clear()
        self._small.clear()
