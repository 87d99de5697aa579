"""Remember refused submissions, so that a late copy of one is refused as well."""

from __future__ import annotations

import collections

import msgspec

from currantbarrow.jobs import JobAnswer, JobRequest, TaskAnswer, TaskState
from currantbarrow.types import Clock

__all__ = ["RefusedSubmissions"]

RETENTION_MS = 10_000.0
MAX_SUBMISSIONS = 100_000


class RefusedSubmissions:
    """Keep what was answered to each refused submission for as long as a copy may be late.

    A caller who comes back makes a new submission of the same job, which is judged afresh.
    """

    __slots__ = ("_answers", "_clock")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._answers: collections.OrderedDict[str, tuple[float, JobAnswer]] = (
            collections.OrderedDict()
        )

    def record(self, submission: str, answer: JobAnswer) -> None:
        """Take note of a refusal."""
        now_ms = self._clock.monotonic_ms()
        # All tasks are alike in a refusal, so they are not kept one by one.
        self._answers[submission] = (now_ms, msgspec.structs.replace(answer, tasks=[]))
        while self._answers:
            oldest_ms, _ = next(iter(self._answers.values()))
            few = len(self._answers) <= MAX_SUBMISSIONS
            if few and now_ms - oldest_ms <= RETENTION_MS:
                return
            self._answers.popitem(last=False)

    def find(self, submission: str, request: JobRequest) -> JobAnswer | None:
        """Return the refusal that a submission got before, None when it got none."""
        found = self._answers.get(submission)
        if found is None:
            return None
        tasks = [TaskAnswer(TaskState.NOT_RUN) for _ in request.tasks]
        return msgspec.structs.replace(found[1], tasks=tasks)
