"""Set fields for the duration of faults that may overlap."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator, Sequence

__all__ = ["Overlay"]


class Overlay:
    """Values that overlapping faults set: the newest counts, and the last end restores."""

    def __init__(self) -> None:
        # The original value of each field, and those of the faults that last, oldest first.
        self._values: dict[tuple[int, str], list[list[object]]] = {}

    @contextlib.contextmanager
    def change(self, targets: Sequence[object], **fields: object) -> Iterator[None]:
        """Set fields of all targets within the context."""
        # A list around each value tells equal values of different faults apart.
        changes = [(target, name, [value]) for target in targets for name, value in fields.items()]
        for target, name, value in changes:
            original = [getattr(target, name)]
            self._values.setdefault((id(target), name), [original]).append(value)
            setattr(target, name, value[0])
        try:
            yield
        finally:
            for target, name, value in changes:
                values = self._values[id(target), name]
                values[:] = [each for each in values if each is not value]
                setattr(target, name, values[-1][0])
