"""Find out which jobs other entries have accepted while this entry was out of contact."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from currantbarrow.background import BackgroundTasks
from currantbarrow.direct.dispatcher import JobDispatcher
from currantbarrow.direct.isolation import ISOLATION_MIN_MS
from currantbarrow.direct.peers import EntryPeers
from currantbarrow.observe import logger
from currantbarrow.protocol.direct import CancelledRow, TakenRow
from currantbarrow.types import Clock, Metrics

__all__ = ["RESUBMISSION_MIN_AGE_MS", "JobConfirmation", "move_resubmitted"]

# Callers resubmit a job 1.3 s after a failure. A peer that accepted a job later than this entry by
# more than half of that received the resubmission.
RESUBMISSION_MIN_AGE_MS = 650.0
# A peer is asked again after this time while another one has not answered, as it may meanwhile have
# learnt from that one of an acceptance.
ASK_INTERVAL_MS = 500.0


class JobConfirmation:
    """Ask the peers about the open jobs after this entry was out of contact."""

    __slots__ = (
        "_asked_ms",
        "_background",
        "_clock",
        "_dispatcher",
        "_metrics",
        "_on_cancelled",
        "_peers",
    )

    def __init__(
        self,
        dispatcher: JobDispatcher,
        peers: EntryPeers,
        clock: Clock,
        metrics: Metrics,
        on_cancelled: Callable[[list[CancelledRow], str], None],
    ) -> None:
        self._dispatcher = dispatcher
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        # Called with the jobs that were cancelled meanwhile, and the address of the peer.
        self._on_cancelled = on_cancelled
        self._background = BackgroundTasks(metrics)
        # When each peer was last asked, by its address.
        self._asked_ms: dict[str, float] = {}

    def ask_peers(self) -> None:
        """Ask the linked peers about the jobs that require it; called periodically."""
        now_ms = self._clock.monotonic_ms()
        guard, dispatcher = self._dispatcher.isolation, self._dispatcher
        jobs = [
            TakenRow(job.spec.job_id, now_ms - job.times.received_ms)
            for job in dispatcher.jobs.values()
            if guard.must_confirm(job.times.received_ms, now_ms)
        ]
        is_isolated = dispatcher.fleet is None or dispatcher.fleet.is_out_of_contact(
            now_ms, ISOLATION_MIN_MS
        )
        if not jobs or is_isolated or all(map(guard.has_answered, dispatcher.peers)):
            return
        for peer in dispatcher.peers:
            asked_ms = self._asked_ms.get(peer, -math.inf)
            is_due = now_ms - asked_ms >= ASK_INTERVAL_MS or guard.was_isolated_since(asked_ms)
            if is_due and self._peers.is_linked(peer):
                self._asked_ms[peer] = now_ms
                self._background.spawn(self._ask(peer, jobs, now_ms))

    def stop(self) -> None:
        """Cancel the calls that are not answered yet."""
        self._background.cancel_all()

    async def _ask(self, address: str, jobs: list[TakenRow], asked_ms: float) -> None:
        self._metrics.incr("entry.jobs_reported", len(jobs))
        answer = await self._peers.report_jobs(address, jobs)
        if answer is None:
            return
        logger.info(
            "peer answered after isolation",
            extra={"address": address, "jobs": len(jobs), "taken": len(answer.taken)},
        )
        self._on_cancelled(answer.cancelled, address)
        move_resubmitted(self._dispatcher, answer.taken, address, self._clock.monotonic_ms())
        self._dispatcher.isolation.record_answer(address, asked_ms)
        self._dispatcher.dispatch_waiting()


def move_resubmitted(
    dispatcher: JobDispatcher, rows: Iterable[TakenRow], address: str, now_ms: float
) -> None:
    """Release the open jobs that were resubmitted to another entry, according to a peer."""
    for row in rows:
        job = dispatcher.jobs.get(row.job)
        if (
            job is not None
            and now_ms - job.times.received_ms > row.age_ms + RESUBMISSION_MIN_AGE_MS
        ):
            logger.info("job resubmitted to peer", extra={"job": row.job, "address": address})
            dispatcher.move(job)
