"""Change the faults that a stand-in shows, over HTTP."""

from __future__ import annotations

from typing import Any

import msgspec

__all__ = ["change_faults"]


def change_faults(faults: Any, body: bytes) -> list[str]:
    """Set faults by name from a JSON object, or change nothing and return the errors."""
    try:
        wanted = msgspec.json.decode(body, type=dict[str, Any])
    except msgspec.MsgspecError as error:
        return [str(error)]
    errors = [text for name, value in wanted.items() if (text := _check(faults, name, value))]
    if not errors:
        for name, value in wanted.items():
            setattr(faults, name, value)
    return errors


def _check(faults: Any, name: str, value: Any) -> str:
    if name not in faults.__slots__:
        return f"{name}: no such fault"
    value_type = type(getattr(faults, name))
    try:
        msgspec.convert(value, value_type)
    except msgspec.ValidationError as error:
        return f"{name}: {error}"
    return ""
