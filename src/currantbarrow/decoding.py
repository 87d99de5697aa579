"""Decode JSON that other processes and other writers have written."""

from __future__ import annotations

from typing import Annotated, TypeVar

import msgspec

from currantbarrow.exceptions import ValueUndecodable

__all__ = ["MAX_JSON_BYTES", "Count", "Integer", "Number", "decode_json"]

# The longest frame between processes, which a document may be sent on in.
MAX_JSON_BYTES = 8 * 1024 * 1024

# Floats represent integers up to this exactly, and sums and products of such numbers are finite.
MAX_NUMBER = 2**53

Integer = Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Number = Annotated[float, msgspec.Meta(ge=-float(MAX_NUMBER), le=float(MAX_NUMBER))]

ValueT = TypeVar("ValueT")


def decode_json(
    data: bytes | msgspec.Raw, kind: type[ValueT], *, max_bytes: int = MAX_JSON_BYTES
) -> ValueT:
    """Return data as a value of a type; raise ValueUndecodable for any other or longer data."""
    if memoryview(data).nbytes > max_bytes:
        raise ValueUndecodable(f"longer than {max_bytes} bytes")
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.MsgspecError, UnicodeError) as error:
        raise ValueUndecodable(str(error)) from error
    except RecursionError as error:
        raise ValueUndecodable("nested too deeply") from error
