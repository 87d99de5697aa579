"""Record refused submissions, so that a delayed duplicate gets the same refusal."""

from __future__ import annotations

import collections

import msgspec

from currantbarrow.jobs import JobAnswer, JobRequest, TaskAnswer, TaskState
from currantbarrow.types import Clock

__all__ = ["RefusedSubmissions"]

RETENTION_MS = 10_000.0
MAX_SUBMISSIONS = 100_000


class RefusedSubmissions:
    """Store the answer to each refused submission for as long as a duplicate may arrive.

    Without it, a duplicate that arrives after the refusal could be admitted and run although the
    caller was told that the job did not. A caller that retries makes a new submission with its
    own id, which goes through admission again.
    """

    __slots__ = ("_answers", "_clock")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._answers: collections.OrderedDict[str, tuple[float, JobAnswer]] = (
            collections.OrderedDict()
        )

    def record(self, submission: str, answer: JobAnswer) -> None:
        """Record a refusal, and drop those that are too old or too many."""
        now_ms = self._clock.monotonic_ms()
        # The task answers of a refusal are all the same, so they are not stored.
        self._answers[submission] = (now_ms, msgspec.structs.replace(answer, tasks=[]))
        while self._answers:
            oldest_ms, _ = next(iter(self._answers.values()))
            few = len(self._answers) <= MAX_SUBMISSIONS
            if few and now_ms - oldest_ms <= RETENTION_MS:
                return
            self._answers.popitem(last=False)

    def find(self, submission: str, request: JobRequest) -> JobAnswer | None:
        """Return the earlier refusal of a submission, None if there is none."""
        found = self._answers.get(submission)
        if found is None:
            return None
        tasks = [TaskAnswer(TaskState.NOT_RUN) for _ in request.tasks]
        return msgspec.structs.replace(found[1], tasks=tasks)
