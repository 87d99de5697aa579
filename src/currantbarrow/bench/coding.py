"""Compare message encodings by size and CPU time, in one run."""

from __future__ import annotations

import time
from collections.abc import Callable

import cbor2
import msgspec

from currantbarrow.jobs import TaskState
from currantbarrow.protocol import Load, Message, Result, TaskResult, decode_frame, encode_frame

__all__ = ["EncodingCost", "main", "measure_encodings"]

ROUNDS = 20_000
BATCH_MESSAGES = 32


class EncodingCost(msgspec.Struct, frozen=True):
    """Report the cost of one encoding of a result message."""

    way: str
    bytes_per_message: float
    us_per_message: float


def measure_encodings() -> list[EncodingCost]:
    """Return the cost of each encoding, with encoding and decoding added up."""
    load = Load(123456.7, 8, 5, 0)
    task = TaskResult(b"0123456789abcdef", 3, 1, TaskState.DONE, {"ok": True}, "", 51.5)
    message = Result([task], load)
    return [
        _measure("CBOR arrays, one message a frame", lambda: encode_frame(1, [message]), 1),
        _measure(
            f"CBOR arrays, {BATCH_MESSAGES} messages a frame",
            lambda: encode_frame(1, [message] * BATCH_MESSAGES),
            BATCH_MESSAGES,
        ),
        _measure_maps(message),
    ]


def _measure(way: str, encode: Callable[[], bytes], messages: int) -> EncodingCost:
    rounds = ROUNDS // messages
    began_s = time.process_time()
    for _ in range(rounds):
        decode_frame(encode())
    took_s = time.process_time() - began_s
    return EncodingCost(way, len(encode()) / messages, took_s / rounds / messages * 1e6)


def _measure_maps(message: Message) -> EncodingCost:
    """Measure a message that is encoded as maps with field names."""

    def encode() -> bytes:
        fields = {name: getattr(message, name) for name in message.__struct_fields__}
        return cbor2.dumps(_to_maps(fields))

    began_s = time.process_time()
    for _ in range(ROUNDS):
        cbor2.loads(encode())
    took_s = time.process_time() - began_s
    return EncodingCost("CBOR maps with field names", len(encode()), took_s / ROUNDS * 1e6)


def _to_maps(value: object) -> object:
    if isinstance(value, msgspec.Struct):
        return {name: _to_maps(getattr(value, name)) for name in value.__struct_fields__}
    if isinstance(value, dict):
        return {key: _to_maps(item) for key, item in value.items()}
    if isinstance(value, list):
        return [_to_maps(item) for item in value]
    return value


def main() -> None:
    """Print the figures as a Markdown table."""
    print("| way | bytes a message | µs a message, both ends |\n|---|---|---|")
    for figure in measure_encodings():
        print(f"| {figure.way} | {figure.bytes_per_message:.0f} | {figure.us_per_message:.1f} |")


if __name__ == "__main__":
    main()
