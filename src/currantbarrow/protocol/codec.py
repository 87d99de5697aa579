"""Encode messages as CBOR frames."""

from __future__ import annotations

import functools
import operator
from collections.abc import Iterable
from typing import Any

import cbor2
import msgspec

from currantbarrow.exceptions import BadFrame
from currantbarrow.protocol import direct, messages

__all__ = ["CONCRETE_MESSAGES", "decode_frame", "encode_frame"]

# Only concrete messages are sent; the three base classes exist to type calls and replies.
CONCRETE_MESSAGES: list[type[messages.Message]] = [
    item
    for item in {**vars(messages), **vars(direct)}.values()
    if isinstance(item, type)
    and issubclass(item, messages.Message)
    and item not in (messages.Message, messages.Call, messages.Reply)
]
_KNOWN_TAGS = {item.__name__ for item in CONCRETE_MESSAGES}
_AnyMessage: Any = functools.reduce(operator.or_, CONCRETE_MESSAGES)


# Frames are structs because msgspec.convert caches the type information of structs; for any other
# type it is built again at each call.
class _Frame(msgspec.Struct, array_like=True):
    stamp: int
    batch: list[_AnyMessage]


class _RawFrame(msgspec.Struct, array_like=True):
    stamp: int
    batch: list[Any]


def encode_frame(stamp: int, batch: Iterable[messages.Message]) -> bytes:
    """Encode a batch of messages, stamped with the sender's hybrid logical clock."""
    plain = [msgspec.to_builtins(message, builtin_types=(bytes,)) for message in batch]
    return cbor2.dumps((stamp, plain))


def decode_frame(data: bytes) -> tuple[int, list[messages.Message]]:
    """Return a frame's stamp and messages, without unknown message types; raise BadFrame."""
    try:
        plain = cbor2.loads(data)
        return _convert(plain)
    except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError, TypeError) as error:
        raise BadFrame(str(error)) from error
    except (RecursionError, OverflowError) as error:
        raise BadFrame(
            "frame is nested too deeply or contains a number that is too large"
        ) from error


def _convert(plain: Any) -> tuple[int, list[messages.Message]]:
    try:
        frame = msgspec.convert(plain, _Frame)
    except msgspec.ValidationError:
        # A frame of a newer peer may contain message types that are unknown here. Only those are
        # skipped, so that old and new versions interoperate during a rollout.
        raw = msgspec.convert(plain, _RawFrame)
        known = [item for item in raw.batch if not _is_newer(item)]
        if len(known) == len(raw.batch):
            raise
        frame = msgspec.convert([raw.stamp, known], _Frame)
    return frame.stamp, frame.batch


def _is_newer(item: Any) -> bool:
    tagged = isinstance(item, list) and bool(item) and isinstance(item[0], str)
    return tagged and item[0] not in _KNOWN_TAGS
