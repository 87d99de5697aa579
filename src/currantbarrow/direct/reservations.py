"""Book a worker's room, so that it never holds more than its capacity."""

from __future__ import annotations

from collections.abc import Hashable

from currantbarrow.direct.model import Resources

__all__ = ["ResourceReservations"]


class ResourceReservations:
    """Keep what each run takes up until there is proof that it takes up nothing."""

    __slots__ = ("_reserved", "_used", "capacity")

    def __init__(self, capacity: Resources) -> None:
        self.capacity = capacity
        self._reserved: dict[Hashable, Resources] = {}
        self._used = Resources()

    @property
    def free(self) -> Resources:
        """Return the room that is left."""
        return self.capacity.minus(self._used)

    def reserve(self, key: Hashable, resources: Resources) -> bool:
        """Take up room if there is enough, and tell whether there was."""
        if key in self._reserved or not self.free.covers(resources):
            return False
        self._reserved[key] = resources
        self._used = self._used.plus(resources)
        return True

    def release(self, key: Hashable) -> None:
        """Give back what a run took up, if it is still booked."""
        resources = self._reserved.pop(key, None)
        if resources is not None:
            self._used = self._used.minus(resources)
