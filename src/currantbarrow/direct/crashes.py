"""Describe a crash of the worker by the runs that were on it.

Designed for workers with ten or more runs of several jobs, one of which may have crashed its
worker. A task that does so mostly does it soon after its start, so the last runs to start are the
likely causes. On a busy worker, though, some run has always started a short time ago. What counts
against a queue is therefore how improbable so recent a start is, given how often its runs start.
"""

from __future__ import annotations

import math

from currantbarrow.direct.instance import TIMEOUT_LIMIT_MS, WorkerInstance
from currantbarrow.direct.runs import Run, RunPhase
from currantbarrow.protocol.direct import CrashRow, QueueRow, SuspectRow

__all__ = ["CrashLog", "StartRates"]

# A worker that answered nothing for longer before its end was noticed may have been cut off or
# without power, and its runs prove nothing. Commands time out after at most this time.
BLAME_SILENCE_MS = TIMEOUT_LIMIT_MS
# The measured time from start to crash is off by about this much.
TIMING_ERROR_MS = 10.0
# A crash with another cause is as probable as one by a run that started this long before.
UNRELATED_MS = 100.0
# Rates of starts are averaged over about this time.
RATE_PERIOD_MS = 2000.0
# Rates are not averaged over less than this time.
MIN_PERIOD_MS = 500.0
# Tasks of a job that start within this time count as one start.
SAME_START_MS = 20.0
# A start before a crash by coincidence is not taken for more improbable than exp(-6), since rates
# are estimates.
MAX_SURPRISE = 6.0
# Times from start to crash are not measured more closely than this.
MIN_RAN_MS = 2.0
SUSPECTS_PER_CRASH = 64


class _QueueStarts:
    """Count the starts of one queue, with exponential decay."""

    __slots__ = ("count", "job", "last_ms")

    def __init__(self) -> None:
        self.count = 0.0
        self.job = ""
        self.last_ms = -math.inf


class StartRates:
    """Measure how often jobs of each queue start runs on the worker."""

    __slots__ = ("_first_ms", "_queues")

    def __init__(self) -> None:
        self._queues: dict[str, _QueueStarts] = {}
        self._first_ms = math.inf

    def record(self, run: Run, now_ms: float) -> None:
        """Record the start of a run."""
        self._first_ms = min(now_ms, self._first_ms)
        queue = self._queues.setdefault(run.queue, _QueueStarts())
        since_ms = now_ms - queue.last_ms
        if run.name.job == queue.job and since_ms < SAME_START_MS:
            return
        queue.count = queue.count * math.exp(-since_ms / RATE_PERIOD_MS) + 1
        queue.job, queue.last_ms = run.name.job, now_ms

    def surprise(self, name: str, ran_ms: float, now_ms: float) -> float:
        """Return the negative logarithm of the probability of a start within a time before now.

        It has a mean of 1 if starts and crashes are unrelated.
        """
        queue = self._queues.get(name)
        decayed = 0.0
        if queue is not None:
            decayed = queue.count * math.exp(-(now_ms - queue.last_ms) / RATE_PERIOD_MS)
        age_ms = max(now_ms - self._first_ms, MIN_PERIOD_MS)
        period_ms = -RATE_PERIOD_MS * math.expm1(-age_ms / RATE_PERIOD_MS)
        # One more start than was seen, so that the first ones are not taken for improbable.
        expected = (decayed + 1) / period_ms * max(ran_ms, MIN_RAN_MS)
        return min(MAX_SURPRISE, -math.log(-math.expm1(-expected)))


class CrashLog:
    """Record the starts of runs, and describe crashes."""

    __slots__ = ("_rates",)

    def __init__(self) -> None:
        self._rates = StartRates()

    def record_start(self, run: Run, now_ms: float) -> None:
        """Record that a run is sent to the worker."""
        self._rates.record(run, now_ms)

    def describe(self, instance: WorkerInstance, now_ms: float) -> CrashRow:
        """Return a description of the crash of a worker instance, which was noticed now."""
        crashed_ms = instance.contact_lost_ms or now_ms
        runs = [
            run
            for run in instance.runs.values()
            if run.phase is not RunPhase.WAITING and 0 < run.sent_ms <= crashed_ms
        ]
        runs = sorted(runs, key=lambda run: -run.sent_ms)[:SUSPECTS_PER_CRASH]
        is_time_known = now_ms - crashed_ms <= BLAME_SILENCE_MS
        shares = _shares(runs, crashed_ms) if is_time_known else [0.0] * len(runs)
        suspects = [
            SuspectRow(
                run.name.job,
                run.name.step,
                run.name.index,
                run.queue,
                crashed_ms - run.sent_ms,
                share,
                run.has_started or run.sent_in_contact,
            )
            for run, share in zip(runs, shares, strict=True)
        ]
        queues = self._describe_queues(runs, crashed_ms) if is_time_known else []
        service = instance.announcement.service
        return CrashRow(str(instance.name), service, now_ms - crashed_ms, suspects, queues)

    def _describe_queues(self, runs: list[Run], crashed_ms: float) -> list[QueueRow]:
        last_ms: dict[str, float] = {}
        for run in runs:
            last_ms[run.queue] = max(run.sent_ms, last_ms.get(run.queue, 0.0))
        return [
            QueueRow(name, self._rates.surprise(name, crashed_ms - sent_ms, crashed_ms))
            for name, sent_ms in last_ms.items()
        ]


def _shares(runs: list[Run], crashed_ms: float) -> list[float]:
    """Return the probability that each run has crashed the worker."""
    weights = [1 / (crashed_ms - run.sent_ms + TIMING_ERROR_MS) for run in runs]
    total = sum(weights)
    if not any(run.isolated for run in runs):
        # Something else may have crashed the worker, but hardly so while a suspect ran alone.
        total += 1 / UNRELATED_MS
    return [weight / total for weight in weights]
