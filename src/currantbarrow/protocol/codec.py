"""Turn messages into CBOR frames and back."""

from __future__ import annotations

import functools
import operator
from collections.abc import Iterable
from typing import Any

import cbor2
import msgspec

from currantbarrow.exceptions import BadFrame
from currantbarrow.protocol import messages

__all__ = ["CONCRETE_MESSAGES", "decode_frame", "encode_frame"]

# Only concrete messages travel; the three bases exist to type calls and replies.
CONCRETE_MESSAGES: list[type[messages.Message]] = [
    item
    for item in vars(messages).values()
    if isinstance(item, type)
    and issubclass(item, messages.Message)
    and item not in (messages.Message, messages.Call, messages.Reply)
]
_AnyMessage: Any = functools.reduce(operator.or_, CONCRETE_MESSAGES)
_Frame: Any = tuple[int, list[_AnyMessage]]


def encode_frame(stamp: int, batch: Iterable[messages.Message]) -> bytes:
    """Encode a batch of messages with the sender's hybrid logical clock."""
    plain = [msgspec.to_builtins(message, builtin_types=(bytes,)) for message in batch]
    return cbor2.dumps((stamp, plain))


def decode_frame(data: bytes) -> tuple[int, list[messages.Message]]:
    """Decode a frame; raise BadFrame for anything that is not one."""
    try:
        stamp, batch = msgspec.convert(cbor2.loads(data), _Frame)
    except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError, TypeError) as error:
        raise BadFrame(str(error)) from error
    return stamp, batch
