"""Apply the records of the class stream: the classes in force and their revisions."""

from __future__ import annotations

import collections
from typing import Any

import msgspec

from currantbarrow.logservice import ClassChanged, ClassDefinition, Record

__all__ = ["ClassRevision", "ClassState"]

MAX_OUTCOMES = 1024
MAX_REVISIONS_PER_CLASS = 20


class ClassRevision(msgspec.Struct, frozen=True):
    """Represent an accepted revision of a class; the definition is None if it was removed."""

    revision: int
    definition: ClassDefinition | None
    at_ms: int = 0
    operator: str = ""


class _Dump(msgspec.Struct):
    history: dict[str, list[ClassRevision]]
    outcomes: list[tuple[str, int]]


class ClassState:
    """Track the classes in force; a revision number is the offset of its record plus one."""

    __slots__ = ("_history", "_outcomes", "offset")

    def __init__(self) -> None:
        self.offset = -1
        self._history: dict[str, list[ClassRevision]] = {}
        # Revision made by each record id, 0 for a rejected one. It gives the outcome after a lost
        # reply, and makes repeated records idempotent.
        self._outcomes: collections.OrderedDict[str, int] = collections.OrderedDict()

    def apply(self, offset: int, record: Record) -> None:
        """Accept a change if it is based on the current revision of the class."""
        if not isinstance(record, ClassChanged) or record.record_id in self._outcomes:
            return
        accepted = record.based_on == self.revision_of(record.name)
        # Offsets start at 0, but revision 0 means that the class never existed.
        self._outcomes[record.record_id] = offset + 1 if accepted else 0
        while len(self._outcomes) > MAX_OUTCOMES:
            self._outcomes.popitem(last=False)
        if accepted:
            revision = ClassRevision(offset + 1, record.definition, record.at_ms, record.operator)
            history = self._history.setdefault(record.name, [])
            history.append(revision)
            del history[:-MAX_REVISIONS_PER_CLASS]

    def revision_of(self, name: str) -> int:
        """Return the current revision of a class, 0 if it never existed."""
        history = self._history.get(name)
        return history[-1].revision if history else 0

    def find(self, name: str) -> ClassRevision | None:
        """Return the revision of a class that is in force, or None."""
        history = self._history.get(name)
        if not history or history[-1].definition is None:
            return None
        return history[-1]

    def names(self) -> list[str]:
        """Return the names of the classes in force."""
        return sorted(name for name in self._history if self.find(name) is not None)

    def targets_ms(self) -> dict[str, float]:
        """Return the target of each class in force, in ms."""
        found = {name: self.find(name) for name in self._history}
        return {
            name: revision.definition.target_ms
            for name, revision in found.items()
            if revision is not None and revision.definition is not None
        }

    def history(self, name: str) -> list[ClassRevision]:
        """Return the latest revisions of a class, oldest first."""
        return list(self._history.get(name, ()))

    def outcome(self, record_id: str) -> int | None:
        """Return the revision made by a record, 0 if it was rejected, None if it is unknown."""
        return self._outcomes.get(record_id)

    def dump(self) -> Any:
        """Return the state as plain data for a snapshot."""
        return msgspec.to_builtins(_Dump(self._history, list(self._outcomes.items())))

    def load(self, offset: int, plain: Any) -> bool:
        """Load a snapshot if it is newer than this state; return whether it was."""
        if offset <= self.offset:
            return False
        dump = msgspec.convert(plain, _Dump)
        self._history = dump.history
        self._outcomes = collections.OrderedDict(dump.outcomes)
        self.offset = offset
        return True
