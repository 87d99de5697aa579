"""Check links, starts and answers from outside, and count violated guarantees."""

from __future__ import annotations

import collections

from currantbarrow.bench.outcomes import CANCELLED
from currantbarrow.jobs import JobAnswer, JobStatus, TaskState
from currantbarrow.protocol import Hello, Message, Refused, Result, Start
from currantbarrow.standins.fleet import Fleet

__all__ = ["Oracle", "RunSpan"]

# A start that is sent to a worker later than this after it began to leave is a violation.
LEAVING_LIMIT_MS = 3000.0


class RunSpan:
    """Record the time span in which one task of a job ran."""

    __slots__ = ("began_ms", "ended_ms", "job_id")

    def __init__(self, job_id: bytes, began_ms: float, ended_ms: float) -> None:
        self.job_id = job_id
        self.began_ms = began_ms
        self.ended_ms = ended_ms


class Oracle:
    """Compare the answers to callers with the starts and results that workers exchanged."""

    def __init__(self, fleet: Fleet) -> None:
        self.spans: list[RunSpan] = []
        self.refused_starts = 0
        self.cancelled_tasks = 0
        self.incorrect_answers = 0
        self.late_starts = 0
        self._fleet = fleet
        self._leaving_ms: dict[str, float] = {}
        self._answers: dict[bytes, list[JobAnswer]] = collections.defaultdict(list)
        fleet.fabric.observers.append(self._observe)

    def record_leaving(self, incarnation: str) -> None:
        """Record that a worker began to leave."""
        self._leaving_ms[incarnation] = self._fleet.clock.monotonic_ms()

    def record_answer(self, job_id: bytes, answer: JobAnswer) -> None:
        """Record an answer to a caller."""
        self._answers[job_id].append(answer)
        self.incorrect_answers += self._is_incorrect(job_id, answer)
        if answer.code == CANCELLED:
            self.cancelled_tasks += len(answer.tasks)

    def guarantee_violations(self) -> int:
        """Return the number of double, late and misreported starts and of inconsistent answers."""
        violations = (
            len(self._fleet.start_counter.double_starts())
            + self.late_starts
            + self.incorrect_answers
        )
        for job_id, answers in self._answers.items():
            # A refused job may only start if its caller submits it again and gets another answer.
            if all(answer.status is JobStatus.REFUSED for answer in answers):
                violations += any(self._is_incorrect(job_id, answer) for answer in answers)
            complete = [answer for answer in answers if answer.status is JobStatus.COMPLETE]
            violations += any(answer != complete[0] for answer in complete)
        return violations

    def _is_incorrect(self, job_id: bytes, answer: JobAnswer) -> bool:
        starts = self._fleet.start_counter.starts
        if answer.status is JobStatus.COMPLETE:
            partial = any(task.state is not TaskState.DONE for task in answer.tasks)
            return partial or not answer.tasks
        return any(
            task.state is TaskState.NOT_RUN and starts[job_id, index]
            for index, task in enumerate(answer.tasks)
        )

    def _observe(self, sender: Hello, receiver: Hello, message: Message) -> None:
        now_ms = self._fleet.clock.monotonic_ms()
        match message:
            case Result():
                for result in message.results:
                    span = RunSpan(result.job_id, now_ms - result.run_ms, now_ms)
                    self.spans.append(span)
            case Refused():
                self.refused_starts += len(message.tasks)
            case Start():
                since_ms = self._leaving_ms.get(receiver.incarnation)
                if since_ms is not None and now_ms - since_ms > LEAVING_LIMIT_MS:
                    self.late_starts += 1
