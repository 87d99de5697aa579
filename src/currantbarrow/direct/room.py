"""Book a worker's room, so that it never holds more than its capacity."""

from __future__ import annotations

from collections.abc import Hashable

from currantbarrow.direct.model import Room

__all__ = ["RoomBook"]


class RoomBook:
    """Keep what each run takes up until there is proof that it takes up nothing."""

    __slots__ = ("_booked", "_used", "capacity")

    def __init__(self, capacity: Room) -> None:
        self.capacity = capacity
        self._booked: dict[Hashable, Room] = {}
        self._used = Room()

    @property
    def free(self) -> Room:
        """Return the room that is left."""
        return self.capacity.minus(self._used)

    def book(self, key: Hashable, room: Room) -> bool:
        """Take up room if there is enough, and tell whether there was."""
        if key in self._booked or not self.free.holds(room):
            return False
        self._booked[key] = room
        self._used = self._used.plus(room)
        return True

    def release(self, key: Hashable) -> None:
        """Give back what a run took up, if it is still booked."""
        room = self._booked.pop(key, None)
        if room is not None:
            self._used = self._used.minus(room)
