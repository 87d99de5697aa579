"""Change the faults of a stand-in from the body of an HTTP request."""

from __future__ import annotations

from typing import Any

import msgspec

__all__ = ["change_faults"]


def change_faults(faults: Any, body: bytes) -> list[str]:
    """Set faults by name from a JSON object; if any is invalid, set none and return the errors."""
    try:
        new_values = msgspec.json.decode(body, type=dict[str, Any])
    except msgspec.MsgspecError as error:
        return [str(error)]
    errors = [
        error_text
        for name, value in new_values.items()
        if (error_text := _check(faults, name, value))
    ]
    if not errors:
        for name, value in new_values.items():
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
