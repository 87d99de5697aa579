"""Reserve the resources of a worker so that its runs never exceed its capacity."""

from __future__ import annotations

from collections.abc import Hashable

from currantbarrow.direct.model import Resources

__all__ = ["ResourceReservations"]


class ResourceReservations:
    """Reserve resources for runs; each reservation lasts until its run's end is confirmed."""

    __slots__ = ("_reserved", "_used", "capacity")

    def __init__(self, capacity: Resources) -> None:
        self.capacity = capacity
        self._reserved: dict[Hashable, Resources] = {}
        self._used = Resources()

    @property
    def free(self) -> Resources:
        """Return the resources that are not reserved."""
        return self.capacity.minus(self._used)

    def reserve(self, key: Hashable, resources: Resources) -> bool:
        """Reserve resources if enough are free; return whether they were reserved."""
        if key in self._reserved or not self.free.covers(resources):
            return False
        self._reserved[key] = resources
        self._used = self._used.plus(resources)
        return True

    def release(self, key: Hashable) -> None:
        """Release the resources of a run; do nothing if none are reserved."""
        resources = self._reserved.pop(key, None)
        if resources is not None:
            self._used = self._used.minus(resources)
