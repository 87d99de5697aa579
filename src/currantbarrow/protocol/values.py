"""Validate values from callers and upstreams that are sent between processes."""

from __future__ import annotations

from typing import Any

from currantbarrow.exceptions import ValueTooComplex

__all__ = ["check_value"]

MAX_DEPTH = 64
MIN_INTEGER = -(2**63)
MAX_INTEGER = 2**64 - 1


def check_value(value: Any, path: str) -> None:
    """Raise ValueTooComplex for integers beyond 64 bits and for deep nesting."""
    level = [(path, value)]
    for _ in range(MAX_DEPTH):
        level = [
            child
            for child_path, child_value in level
            for child in _children(child_path, child_value)
        ]
        if not level:
            return
    raise ValueTooComplex(f"values are nested at most {MAX_DEPTH} deep", level[0][0][:100])


def _children(path: str, value: Any) -> list[tuple[str, Any]]:
    if isinstance(value, dict):
        return [(f"{path}.{name}", child) for name, child in value.items()]
    if isinstance(value, list):
        return [(f"{path}[{index}]", child) for index, child in enumerate(value)]
    if isinstance(value, int) and not MIN_INTEGER <= value <= MAX_INTEGER:
        raise ValueTooComplex("an integer has at most 64 bits", path)
    return []
