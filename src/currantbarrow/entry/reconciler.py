"""Query the state of sent tasks, cancel them, and fail those at unreachable side processes."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from currantbarrow.entry.failures import DispatchFailure, outcome_unknown, refused
from currantbarrow.entry.sent import SentTask, SentTasks, group_by_peer
from currantbarrow.entry.sides import SidePeer
from currantbarrow.exceptions import LinkError
from currantbarrow.protocol import Cancel, QueryTasks, TaskReference, TaskResult, TaskStates
from currantbarrow.types import Clock, Metrics

__all__ = ["TaskReconciler"]

QUERY_TIMEOUT_MS = 1000.0
# Tasks at a side process that has been disconnected for this long have an unknown outcome.
LOST_AFTER_MS = 2500.0
# Time since a task was sent or last queried after which it is queried again.
OVERDUE_MS = 8000.0
OVERDUE_POLL_MS = 1000.0


class TaskReconciler:
    """Reconcile outstanding tasks with what side processes report about them."""

    __slots__ = ("_clock", "_metrics", "_on_failure", "_on_result", "_sent")

    def __init__(
        self,
        sent: SentTasks,
        *,
        clock: Clock,
        metrics: Metrics,
        on_result: Callable[[SidePeer, TaskResult], None],
        on_failure: Callable[[SentTask, DispatchFailure], None],
    ) -> None:
        self._sent = sent
        self._clock = clock
        self._metrics = metrics
        self._on_result = on_result
        self._on_failure = on_failure

    async def reconcile(self, peer: SidePeer, outstanding: list[SentTask]) -> bool:
        """Query tasks at a side process and apply the reply; return whether there was one."""
        references = [sent.reference for sent in outstanding]
        if peer.rpc is None:
            return False
        try:
            states = await peer.rpc.call(
                lambda call_id: QueryTasks(call_id, references), TaskStates, QUERY_TIMEOUT_MS
            )
        except LinkError:
            if peer.link is not None:
                await peer.link.close()
            return False
        for result in states.ended:
            self._on_result(peer, result)
        for reference in states.never:
            sent = self._sent.find_attempt(peer, reference)
            if sent is not None:
                self._on_failure(sent, refused(None))
        known = len(states.ended) + len(states.running) + len(states.never)
        if states.ended and known < len(outstanding):
            # A reply is limited in size, so query the tasks that it left out.
            rest = [sent for sent in outstanding if self._is_still_open(sent, states.running)]
            return await self.reconcile(peer, rest)
        return True

    async def query_overdue(self) -> None:
        """Query tasks regularly that have been outstanding for long, until cancelled.

        This detects a start message that is delayed in the network while its link stays open. The
        side process reports the task as never started and refuses the delayed start, so the task
        can be sent to another worker.
        """
        while True:
            await self._clock.sleep_ms(OVERDUE_POLL_MS)
            now_ms = self._clock.monotonic_ms()
            overdue_tasks = self._sent.last_checked_before(now_ms - OVERDUE_MS)
            for peer, group in group_by_peer(overdue_tasks).items():
                for sent in group:
                    sent.checked_ms = now_ms
                if peer.up:
                    self._metrics.incr("entry.overdue_asked", len(group))
                    await self.reconcile(peer, group)

    async def abandon_after_timeout(self, peer: SidePeer) -> None:
        """Abandon the tasks at a side process unless it reconnects within LOST_AFTER_MS."""
        since_ms = peer.down_since_ms
        await self._clock.sleep_ms(LOST_AFTER_MS)
        if not peer.up and peer.down_since_ms == since_ms:
            self.abandon(peer)

    def abandon(self, peer: SidePeer) -> None:
        """Fail the tasks at a side process with an unknown outcome."""
        failure = outcome_unknown("the worker of a started task cannot be reached")
        for sent in self._sent.of_peer(peer):
            # A failure ends the task's job, which may remove other tasks of this list.
            if self._sent.is_outstanding(sent):
                self._on_failure(sent, failure)

    def send_cancels(self, tasks: Iterable[SentTask]) -> None:
        """Ask side processes to drop or stop tasks."""
        for peer, group in group_by_peer(tasks).items():
            if peer.link is None:
                continue
            try:
                peer.link.post(Cancel([sent.reference for sent in group]))
            except LinkError:
                self._metrics.incr("entry.cancel_not_sent")

    def _is_still_open(self, sent: SentTask, running: list[TaskReference]) -> bool:
        """Return whether a task is outstanding and not among those reported as running."""
        return self._sent.is_outstanding(sent) and not any(
            (each.job_id, each.index) == sent.key for each in running
        )
