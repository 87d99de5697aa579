"""Define the size limits of task values, answers and message parts."""

from __future__ import annotations

from typing import Any

import msgspec

__all__ = ["MAX_ANSWER_BYTES", "MAX_PART_BYTES", "MAX_VALUE_BYTES", "count_bytes"]

# A frame between processes holds at most 8 MiB; these limits leave space for the other fields.
MAX_VALUE_BYTES = 1024 * 1024
MAX_ANSWER_BYTES = 2 * 1024 * 1024
MAX_PART_BYTES = 4 * 1024 * 1024


def count_bytes(value: Any) -> int:
    """Return the encoded size of a value in bytes."""
    return len(msgspec.msgpack.encode(value))
