"""Hold what a side process knows of one life of its worker."""

from __future__ import annotations

from currantbarrow.direct.room import RoomBook
from currantbarrow.direct.runs import Run, RunPhase
from currantbarrow.direct.soundness import Soundness
from currantbarrow.direct.worker import Announcement, RunName

__all__ = ["WorkerLife"]

# A worker's clock may run 2 % slow against this process's.
CLOCK_RATE = 1.02
# What a worker needs beyond a lease's end to kill what it held, and to say so.
LAPSE_SLACK_MS = 60.0


class WorkerLife:
    """Keep the clock, the room and the runs of one life of a worker."""

    __slots__ = (
        "_clock_ms",
        "_clock_read_ms",
        "_renewed_ms",
        "announcement",
        "book",
        "lease_ms",
        "noted",
        "numbers",
        "over",
        "ready",
        "runs",
        "silent_since_ms",
        "soundness",
        "token",
    )

    def __init__(self, announcement: Announcement, token: int, lease_ms: float) -> None:
        self.announcement = announcement
        self.token = token
        self.lease_ms = lease_ms
        self.book = RoomBook(announcement.capacity)
        self.soundness = Soundness()
        self.runs: dict[tuple[str, int, int], Run] = {}
        # The highest number that was used for each task, so that a later run gets a higher one.
        self.numbers: dict[tuple[str, int, int], int] = {}
        self.noted = 0
        self.ready = False
        self.over = False
        self.silent_since_ms: float | None = None
        self._clock_ms = 0.0
        self._clock_read_ms = 0.0
        self._renewed_ms = 0.0

    @property
    def worker(self) -> str:
        """Return the name of this life."""
        return self.announcement.worker

    def read_clock(self, clock_ms: float, asked_ms: float) -> None:
        """Take the worker's clock from an answer to a question asked at a time."""
        # Taken at the time of asking, the clock is never thought to be ahead of what it is.
        if clock_ms - (asked_ms - self._clock_read_ms) >= self._clock_ms or not self._clock_ms:
            self._clock_ms, self._clock_read_ms = clock_ms, asked_ms

    def lease_until_ms(self, now_ms: float) -> float:
        """Return the end of a lease that is given now, on the worker's clock."""
        self._renewed_ms = now_ms
        return self._clock_ms + (now_ms - self._clock_read_ms) + self.lease_ms

    def has_lapsed(self, now_ms: float) -> bool:
        """Tell whether every lease given so far has surely ended."""
        return now_ms - self._renewed_ms > self.lease_ms * CLOCK_RATE + LAPSE_SLACK_MS

    def number_for(self, run: Run) -> RunName:
        """Give a run a number above all that its task had here."""
        task = run.name.task
        number = max(run.name.number, self.numbers.get(task, 0) + 1)
        self.numbers[task] = number
        if number != run.name.number:
            run.renumber(number)
        return run.name

    def count(self, *phases: RunPhase) -> int:
        """Return how many runs are in some phases."""
        return sum(run.phase in phases for run in self.runs.values())

    def waiting(self) -> list[Run]:
        """Return the runs that wait for room, the most urgent first."""
        waiting = [run for run in self.runs.values() if run.phase is RunPhase.WAITING]
        return sorted(waiting, key=lambda run: run.due_ms)
