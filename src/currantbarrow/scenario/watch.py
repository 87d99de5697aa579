"""Let the oracle see a fleet through the fakes' interfaces."""

from __future__ import annotations

from typing import NamedTuple

from currantbarrow.exceptions import ConfigurationError
from currantbarrow.jobs import TaskRun
from currantbarrow.logservice import CLASS_STREAM, ClassChanged, ClassDefinition, decode_record
from currantbarrow.scenario.oracle import Oracle
from currantbarrow.standins.fleet import EntryProcess, Fleet

__all__ = ["IN_FORCE_BOUND_MS", "Watch"]

IN_FORCE_BOUND_MS = 11_000.0
LOOK_MS = 200.0


class _Accepted(NamedTuple):
    revision: int
    definition: ClassDefinition | None
    at_ms: float


class Watch:
    """Report starts and configuration to the oracle, as they happen."""

    __slots__ = (
        "_accepted",
        "_changes",
        "_fleet",
        "_linked_ms",
        "_oracle",
        "_records",
        "_reported",
        "_seen_ms",
        "_told",
    )

    def __init__(self, fleet: Fleet, oracle: Oracle) -> None:
        self._fleet = fleet
        self._oracle = oracle
        self._accepted: dict[str, _Accepted] = {}
        # All changes that were ever accepted, and what operators were told, by description.
        self._changes: set[str] = set()
        self._told: dict[str, bool] = {}
        self._records: set[str] = set()
        # Since when a process can reach the log or another process.
        self._linked_ms: dict[tuple[str, str], float] = {}
        # Since when a process knows a revision.
        self._seen_ms: dict[tuple[str, str, int], float] = {}
        self._reported: set[tuple[str, str, int]] = set()
        fleet.book.observers.append(self._started)
        fleet.log.observers.append(self._appended)

    def entry_started(self, entry: EntryProcess) -> None:
        """Follow what a new entry process acts on."""
        entry.node.cluster_follower.on_change(lambda: self._look_at(entry))
        entry.node.class_follower.on_change(lambda: self._look_at(entry))

    def operator_told(self, change: str, accepted: bool) -> None:
        """Take note of what an operator was told of a change, by its description."""
        self._told[change] = accepted

    def settle(self) -> None:
        """Check at the end what operators were told."""
        now_ms = self._fleet.clock.monotonic_ms()
        for change, told in self._told.items():
            self._oracle.change_settled(change, told, change in self._changes, now_ms)

    async def run(self) -> None:
        """Look at all entries from time to time until cancelled."""
        while True:
            self.look()
            await self._fleet.clock.sleep_ms(LOOK_MS)

    def look(self) -> None:
        """Check once that accepted configuration is in force where it has to be."""
        now_ms = self._fleet.clock.monotonic_ms()
        entries = self._fleet.entries
        self._look_at_links(now_ms)
        for entry in entries.values():
            self._look_at(entry)
        for entry in entries.values():
            for name, accepted in self._accepted.items():
                if now_ms - accepted.at_ms > IN_FORCE_BOUND_MS:
                    self._check_in_force(entry, name, accepted, now_ms)

    def _started(self, worker: str, task: TaskRun) -> None:
        self._oracle.started(worker, task, self._fleet.clock.monotonic_ms())

    def _appended(self, stream: str, offset: int, data: bytes) -> None:
        """Decide for itself which changes of classes are accepted."""
        try:
            record = decode_record(data)
        except ConfigurationError:
            return
        if stream != CLASS_STREAM or not isinstance(record, ClassChanged):
            return
        if record.record_id in self._records:
            return
        self._records.add(record.record_id)
        present = self._accepted.get(record.name)
        if record.based_on == (present.revision if present else 0):
            now_ms = self._fleet.clock.monotonic_ms()
            self._accepted[record.name] = _Accepted(offset + 1, record.definition, now_ms)
            if record.definition is not None:
                self._changes.add(record.definition.description)

    def _look_at(self, entry: EntryProcess) -> None:
        now_ms = self._fleet.clock.monotonic_ms()
        node, oracle = entry.node, self._oracle
        incarnation = node.options.incarnation
        oracle.version_seen(incarnation, "assignment", node.cluster.assignment.version, now_ms)
        oracle.version_seen(incarnation, "cluster offset", node.cluster.offset, now_ms)
        oracle.version_seen(incarnation, "class offset", node.classes.offset, now_ms)
        for name, accepted in self._accepted.items():
            revision = node.classes.revision_of(name)
            oracle.version_seen(incarnation, f"class {name}", revision, now_ms)
            if revision >= accepted.revision:
                self._seen_ms.setdefault((incarnation, name, accepted.revision), now_ms)

    def _look_at_links(self, now_ms: float) -> None:
        fabric, linked = self._fleet.fabric, set()
        running = [name for name in self._fleet.entries if not fabric.is_paused(name)]
        for name in running:
            if not self._fleet.log.faults.down and not fabric.is_cut(name, "log"):
                linked.add((self._incarnation(name), "log"))
            for other in running:
                if other != name and not fabric.is_cut(name, other):
                    linked.add((self._incarnation(name), self._incarnation(other)))
        self._linked_ms = {link: self._linked_ms.get(link, now_ms) for link in linked}

    def _check_in_force(
        self, entry: EntryProcess, name: str, accepted: _Accepted, now_ms: float
    ) -> None:
        incarnation = entry.node.options.incarnation
        if self._is_in_force(entry, name, accepted):
            return
        since_ms = [self._linked_ms.get((incarnation, "log"), now_ms)]
        for other in self._fleet.entries:
            peer = self._incarnation(other)
            knows_ms = self._seen_ms.get((peer, name, accepted.revision), now_ms)
            since_ms.append(max(knows_ms, self._linked_ms.get((incarnation, peer), now_ms)))
        key = (incarnation, name, accepted.revision)
        if now_ms - min(since_ms) > IN_FORCE_BOUND_MS and key not in self._reported:
            self._reported.add(key)
            late_s = (now_ms - accepted.at_ms) / 1000
            detail = f"{incarnation}: {name} at {accepted.revision} after {late_s:.1f} s"
            self._oracle.late_in_force(detail, now_ms)

    @staticmethod
    def _is_in_force(entry: EntryProcess, name: str, accepted: _Accepted) -> bool:
        classes = entry.node.classes
        if classes.revision_of(name) != accepted.revision:
            return False
        found = classes.find(name)
        return (found.definition if found else None) == accepted.definition

    def _incarnation(self, name: str) -> str:
        return self._fleet.entries[name].node.options.incarnation
