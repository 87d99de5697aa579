"""Count the crashes of workers under each task, as all side processes report them.

Designed for a fleet in which each crash ends ten or more runs, of which at most a few have caused
it. A task that crashes its workers is on each of them, soon after its start; other tasks are beside
it once or twice. Reports of side processes reach every entry, so the count outlives the entry that
ordered the runs.

Workers of a rack or a data centre that lose power crash within moments of each other, and blame
none of their tasks, unless the same job has just started on all of them.
"""

from __future__ import annotations

import collections
import math

import msgspec

from currantbarrow.direct.history import RETENTION_MS
from currantbarrow.direct.worker import InstanceName
from currantbarrow.protocol.direct import CrashRow

__all__ = ["UNCERTAIN_LIMIT", "UNCERTAIN_MS", "Crash", "CrashHistory", "Task", "Verdict"]

Task = tuple[str, int, int]

# A job is given up if a task of it was on the crashed workers of this many hosts, and has evidently
# caused one of the crashes, which takes a start alone.
EVIDENT_HOSTS = 2
EVIDENT_SHARE = 0.9
# Whatever the probabilities, a task is not started again after so many crashes.
CRASHES_LIMIT = 4
# A task waits after so many crashes and lost workers that may have crashed, until it is known
# whether these have: they come back, or not at all within this time.
UNCERTAIN_LIMIT = 3
UNCERTAIN_MS = 10_000.0
# The tasks of a job with this probability of having caused a crash are kept away from others.
SUSPECT_SHARE = 0.2
# Crashes of several workers within this time have a common cause. Side processes notice a crash
# within some milliseconds.
SIMULTANEOUS_MS = 30.0
# The common cause is a job that was started on all of the workers within this time.
JUST_STARTED_MS = 100.0


class Crash:
    """Describe the crash of one worker."""

    __slots__ = ("address", "blames", "crashed_ms", "row")

    def __init__(self, row: CrashRow, address: str, crashed_ms: float) -> None:
        self.row = row
        self.address = address
        self.crashed_ms = crashed_ms
        # Whether one of the runs may have caused it.
        self.blames = any(each.share > 0 for each in row.suspects)

    @property
    def is_evident(self) -> bool:
        """Return whether one run alone explains the crash."""
        return any(
            each.share >= EVIDENT_SHARE and each.ran_ms <= JUST_STARTED_MS
            for each in self.row.suspects
        )

    def just_started_jobs(self) -> set[str]:
        """Return the jobs that had started a run just before the crash."""
        return {each.job for each in self.row.suspects if each.ran_ms <= JUST_STARTED_MS}


class Verdict(msgspec.Struct, frozen=True):
    """Describe why a job is given up."""

    queue: str
    index: int
    crashes: int

    def __str__(self) -> str:
        return f"{self.crashes} workers crashed under task {self.index}"


class CrashHistory:
    """Record the reported crashes, and decide which tasks are suspected of having caused them."""

    __slots__ = ("_by_job", "_crashes")

    def __init__(self) -> None:
        # By the name of the worker instance in reports, in the order of these.
        self._crashes: collections.OrderedDict[str, Crash] = collections.OrderedDict()
        self._by_job: dict[str, list[Crash]] = {}

    def record(self, row: CrashRow, address: str, now_ms: float) -> Crash | None:
        """Record a reported crash; return None if it is known, unreadable or too old."""
        if row.worker in self._crashes or not _is_finite(row) or row.age_ms > RETENTION_MS:
            return None
        crash = Crash(row, address, now_ms - max(0.0, row.age_ms))
        self._separate_common_causes(crash)
        self._crashes[row.worker] = crash
        for job in {each.job for each in row.suspects}:
            self._by_job.setdefault(job, []).append(crash)
        return crash

    @property
    def is_empty(self) -> bool:
        """Return whether no crash is known."""
        return not self._crashes

    def suspected_ms(self, task: Task) -> float | None:
        """Return when the last crash was that a task may well have caused, or None."""
        suspected_ms: float | None = None
        for crash in self._by_job.get(task[0], ()):
            rows = [each for each in crash.row.suspects if each.job == task[0]]
            if (
                crash.blames
                and sum(each.share for each in rows) >= SUSPECT_SHARE
                and any((each.job, each.step, each.index) == task for each in rows)
            ):
                suspected_ms = max(crash.crashed_ms, suspected_ms or 0.0)
        return suspected_ms

    def is_known(self, instance: InstanceName) -> bool:
        """Return whether a worker instance is known to have crashed."""
        return str(instance) in self._crashes

    def count(self, task: Task) -> int:
        """Return how many workers are known to have crashed under a task, whatever the cause."""
        return sum(
            (each.job, each.step, each.index) == task
            for crash in self._by_job.get(task[0], ())
            for each in crash.row.suspects
        )

    def hosts(self, job: str) -> frozenset[str]:
        """Return the side processes whose workers crashed while they ran a job."""
        return frozenset(crash.address for crash in self._by_job.get(job, ()))

    def verdict(self, job: str) -> Verdict | None:
        """Return why a job is given up, or None if it is not."""
        crashes: collections.Counter[tuple[int, int]] = collections.Counter()
        # A host whose worker crashes again and again may be the cause itself, so it counts once.
        hosts: collections.defaultdict[tuple[int, int], set[str]] = collections.defaultdict(set)
        evident: set[tuple[int, int]] = set()
        queue = ""
        for crash in self._by_job.get(job, ()):
            for row in crash.row.suspects:
                if row.job != job:
                    continue
                queue, task = row.queue, (row.step, row.index)
                crashes[task] += 1
                if crash.blames:
                    hosts[task].add(crash.address)
                    if row.share >= EVIDENT_SHARE and row.started:
                        evident.add(task)
        for task in evident:
            if len(hosts[task]) >= EVIDENT_HOSTS:
                return Verdict(queue, task[1], crashes[task])
        for task, count in crashes.items():
            if count >= CRASHES_LIMIT:
                return Verdict(queue, task[1], count)
        return None

    def expire(self, now_ms: float) -> None:
        """Remove crashes past their retention time."""
        while self._crashes:
            crash = next(iter(self._crashes.values()))
            if now_ms - crash.crashed_ms <= RETENTION_MS:
                return
            self._crashes.popitem(last=False)
            for job in {each.job for each in crash.row.suspects}:
                self._by_job[job].remove(crash)
                if not self._by_job[job]:
                    del self._by_job[job]

    def _separate_common_causes(self, crash: Crash) -> None:
        """Let a crash and those at the same time blame no run, unless one job explains them all."""
        group = [
            other
            for other in self._crashes.values()
            if other.address != crash.address
            and abs(other.crashed_ms - crash.crashed_ms) <= SIMULTANEOUS_MS
        ]
        if not group:
            return
        common = crash.just_started_jobs().intersection(
            *(other.just_started_jobs() for other in group)
        )
        if not common:
            for each in (crash, *group):
                each.blames = each.is_evident


def _is_finite(row: CrashRow) -> bool:
    numbers = [row.age_ms, *(each.surprise for each in row.queues)]
    for suspect in row.suspects:
        numbers += [suspect.ran_ms, suspect.share]
    return all(map(math.isfinite, numbers))
