"""Report starts and configuration of a fleet to the oracle."""

from __future__ import annotations

from typing import NamedTuple

from currantbarrow.exceptions import ConfigurationError
from currantbarrow.jobs import TaskRun
from currantbarrow.logservice import CLASS_STREAM, ClassChanged, ClassDefinition, decode_record
from currantbarrow.scenario.oracle import Oracle
from currantbarrow.standins.fleet import EntryProcess, Fleet

__all__ = ["IN_FORCE_BOUND_MS", "FleetMonitor"]

IN_FORCE_BOUND_MS = 11_000.0
CHECK_INTERVAL_MS = 200.0


class _Accepted(NamedTuple):
    revision: int
    definition: ClassDefinition | None
    at_ms: float


class FleetMonitor:
    """Report starts to the oracle, and check which configuration entries act on."""

    __slots__ = (
        "_accepted",
        "_accepted_changes",
        "_connected_since_ms",
        "_fleet",
        "_known_since_ms",
        "_operator_results",
        "_oracle",
        "_record_ids",
        "_reported_late",
    )

    def __init__(self, fleet: Fleet, oracle: Oracle) -> None:
        self._fleet = fleet
        self._oracle = oracle
        self._accepted: dict[str, _Accepted] = {}
        # Descriptions of all accepted changes.
        self._accepted_changes: set[str] = set()
        # Whether a change was reported to its operator as accepted, by description.
        self._operator_results: dict[str, bool] = {}
        self._record_ids: set[str] = set()
        # Since when a process can reach the log or another process, by the two ends.
        self._connected_since_ms: dict[tuple[str, str], float] = {}
        # Since when a process knows a revision, by incarnation, class and revision.
        self._known_since_ms: dict[tuple[str, str, int], float] = {}
        self._reported_late: set[tuple[str, str, int]] = set()
        fleet.start_counter.observers.append(self._on_start)
        fleet.log.observers.append(self._on_append)

    def follow_entry(self, entry: EntryProcess) -> None:
        """Check the versions of a new entry process at every change."""
        entry.node.cluster_follower.on_change(lambda: self._check_versions(entry))
        entry.node.class_follower.on_change(lambda: self._check_versions(entry))

    def record_operator_result(self, change: str, accepted: bool) -> None:
        """Record whether a change, by its description, was reported as accepted."""
        self._operator_results[change] = accepted

    def check_operator_results(self) -> None:
        """Check at the end the results that operators received."""
        now_ms = self._fleet.clock.monotonic_ms()
        for change, reported in self._operator_results.items():
            self._oracle.check_change_outcome(
                change, reported, change in self._accepted_changes, now_ms
            )

    async def run(self) -> None:
        """Check all entries periodically until cancelled."""
        while True:
            self.check()
            await self._fleet.clock.sleep_ms(CHECK_INTERVAL_MS)

    def check(self) -> None:
        """Check that every entry that can know of accepted configuration acts on it in time."""
        now_ms = self._fleet.clock.monotonic_ms()
        entries = self._fleet.entries
        self._update_connections(now_ms)
        for entry in entries.values():
            self._check_versions(entry)
        for entry in entries.values():
            for name, accepted in self._accepted.items():
                if now_ms - accepted.at_ms > IN_FORCE_BOUND_MS:
                    self._check_in_force(entry, name, accepted, now_ms)

    def _on_start(self, worker: str, task: TaskRun) -> None:
        self._oracle.record_start(worker, task, self._fleet.clock.monotonic_ms())

    def _on_append(self, stream: str, offset: int, data: bytes) -> None:
        """Decide, independently of the entries, which class changes are accepted."""
        try:
            record = decode_record(data)
        except ConfigurationError:
            return
        if stream != CLASS_STREAM or not isinstance(record, ClassChanged):
            return
        if record.record_id in self._record_ids:
            return
        self._record_ids.add(record.record_id)
        current = self._accepted.get(record.name)
        if record.based_on == (current.revision if current else 0):
            now_ms = self._fleet.clock.monotonic_ms()
            self._accepted[record.name] = _Accepted(offset + 1, record.definition, now_ms)
            if record.definition is not None:
                self._accepted_changes.add(record.definition.description)

    def _check_versions(self, entry: EntryProcess) -> None:
        now_ms = self._fleet.clock.monotonic_ms()
        node, oracle = entry.node, self._oracle
        incarnation = node.options.incarnation
        oracle.record_version(incarnation, "assignment", node.cluster.assignment.version, now_ms)
        oracle.record_version(incarnation, "cluster offset", node.cluster.offset, now_ms)
        oracle.record_version(incarnation, "class offset", node.classes.offset, now_ms)
        for name, accepted in self._accepted.items():
            revision = node.classes.revision_of(name)
            oracle.record_version(incarnation, f"class {name}", revision, now_ms)
            if revision >= accepted.revision:
                self._known_since_ms.setdefault((incarnation, name, accepted.revision), now_ms)

    def _update_connections(self, now_ms: float) -> None:
        fabric, connected = self._fleet.fabric, set()
        running = [name for name in self._fleet.entries if not fabric.is_paused(name)]
        for name in running:
            if not self._fleet.log.faults.down and not fabric.is_cut(name, "log"):
                connected.add((self._incarnation(name), "log"))
            for other in running:
                if other != name and not fabric.is_cut(name, other):
                    connected.add((self._incarnation(name), self._incarnation(other)))
        self._connected_since_ms = {
            link: self._connected_since_ms.get(link, now_ms) for link in connected
        }

    def _check_in_force(
        self, entry: EntryProcess, name: str, accepted: _Accepted, now_ms: float
    ) -> None:
        incarnation = entry.node.options.incarnation
        if self._is_in_force(entry, name, accepted):
            return
        reachable_since_ms = [self._connected_since_ms.get((incarnation, "log"), now_ms)]
        for other in self._fleet.entries:
            peer = self._incarnation(other)
            known_ms = self._known_since_ms.get((peer, name, accepted.revision), now_ms)
            reachable_since_ms.append(
                max(known_ms, self._connected_since_ms.get((incarnation, peer), now_ms))
            )
        key = (incarnation, name, accepted.revision)
        if now_ms - min(reachable_since_ms) > IN_FORCE_BOUND_MS and key not in self._reported_late:
            self._reported_late.add(key)
            late_s = (now_ms - accepted.at_ms) / 1000
            detail = f"{incarnation}: {name} at {accepted.revision} after {late_s:.1f} s"
            self._oracle.record_late_configuration(detail, now_ms)

    @staticmethod
    def _is_in_force(entry: EntryProcess, name: str, accepted: _Accepted) -> bool:
        classes = entry.node.classes
        if classes.revision_of(name) != accepted.revision:
            return False
        found = classes.find(name)
        return (found.definition if found else None) == accepted.definition

    def _incarnation(self, name: str) -> str:
        return self._fleet.entries[name].node.options.incarnation
