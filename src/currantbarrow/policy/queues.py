"""Queue waiting tasks: first in, first out, or fairly between customers."""

from __future__ import annotations

import collections
import heapq
import math

from currantbarrow.policy.types import QueuedTask, TaskQueue

__all__ = ["create_fair_queue", "create_fifo_queue"]

MAX_CUSTOMERS = 1024
# The most unused service, in ms of work, that an idle customer can claim later.
MAX_CREDIT_MS = 5000.0


class FifoQueue:
    """Serve tasks in order of arrival; a baseline for benchmarks."""

    __slots__ = ("_backlog_ms", "_tasks")

    def __init__(self) -> None:
        self._tasks: collections.deque[QueuedTask] = collections.deque()
        self._backlog_ms: dict[str, float] = collections.defaultdict(float)

    def add(self, task: QueuedTask) -> None:
        """Queue a new task."""
        self._tasks.append(task)
        self._backlog_ms[task.customer] += task.cost_ms

    def requeue(self, task: QueuedTask) -> None:
        """Put back a taken task that is known not to have started."""
        self._tasks.appendleft(task)
        self._backlog_ms[task.customer] += task.cost_ms

    def take(self, now_ms: float, target_below_ms: float = math.inf) -> QueuedTask | None:
        """Return the oldest task; later tasks never overtake it, even with a shorter target."""
        if not self._tasks or target_below_ms < math.inf:
            return None
        task = self._tasks.popleft()
        self._backlog_ms[task.customer] -= task.cost_ms
        return task

    def discard(self, job_id: bytes) -> list[QueuedTask]:
        """Remove a job's waiting tasks and return them."""
        removed = [task for task in self._tasks if task.job_id == job_id]
        if removed:
            self._tasks = collections.deque(t for t in self._tasks if t.job_id != job_id)
            for task in removed:
                self._backlog_ms[task.customer] -= task.cost_ms
        return removed

    def record_run_time(self, customer: str, job_class: str, cost_ms: float, run_ms: float) -> None:
        """Do nothing: run times do not change the order."""

    def backlog_ms(self, customer: str | None = None) -> float:
        """Return the estimated waiting work of one customer, or of all."""
        if customer is not None:
            return self._backlog_ms.get(customer, 0.0)
        return sum(self._backlog_ms.values())

    def work_until_completion_ms(self, customer: str, target_ms: float, work_ms: float) -> float:
        """Return all waiting work plus the new work."""
        return work_ms + self.backlog_ms()

    def __len__(self) -> int:
        return len(self._tasks)


class _CustomerQueue:
    """Order the waiting tasks of one customer, and count the service that it has received."""

    __slots__ = ("backlog_ms", "heaps", "served_ms", "size")

    def __init__(self) -> None:
        self.served_ms = 0.0
        # Waiting work by class target.
        self.backlog_ms: dict[float, float] = {}
        # Heaps of waiting tasks by class target, ordered by latest start (arrival + target - cost).
        self.heaps: dict[float, list[tuple[float, int, QueuedTask]]] = {}
        self.size = 0

    def update_backlog(self, task: QueuedTask, sign: int) -> None:
        """Add a task to the backlog (sign 1) or remove it (sign -1)."""
        self.size += sign
        backlog_ms = self.backlog_ms.get(task.target_ms, 0.0) + sign * task.cost_ms
        self.backlog_ms[task.target_ms] = backlog_ms if self.size else 0.0

    def work_ms(self, target_ms: float = math.inf) -> float:
        """Return the waiting work of classes whose target is at most the given one."""
        return sum(work for target, work in self.backlog_ms.items() if target <= target_ms)


class FairQueue:
    """Serve the customer that received the least service, its most urgent task first.

    Each customer is charged the estimated work of its started tasks, corrected when they end. The
    virtual time is the highest service level at which a customer was served in turn. A customer's
    charged service is at least the virtual time less MAX_CREDIT_MS, which limits the credit that
    it has after an idle period.
    """

    __slots__ = (
        "_active",
        "_customers",
        "_jobs",
        "_schedule",
        "_sequence",
        "_size",
        "_virtual_time_ms",
    )

    def __init__(self) -> None:
        self._customers: dict[str, _CustomerQueue] = {}
        self._active: dict[str, _CustomerQueue] = {}
        # Heap of (service received, sequence, customer); entries with outdated service are ignored.
        self._schedule: list[tuple[float, int, str]] = []
        self._jobs: dict[bytes, dict[int, QueuedTask]] = {}
        self._virtual_time_ms = 0.0
        self._sequence = 0
        self._size = 0

    def add(self, task: QueuedTask) -> None:
        """Queue a new task."""
        self._insert(task, 0.0)

    def requeue(self, task: QueuedTask) -> None:
        """Put back a taken task that is known not to have started."""
        self._insert(task, task.cost_ms)

    def take(self, now_ms: float, target_below_ms: float = math.inf) -> QueuedTask | None:
        """Remove and return the most urgent task of the customer with the least service."""
        skipped: list[tuple[float, int, str]] = []
        found = None
        while self._schedule and found is None:
            scheduled = heapq.heappop(self._schedule)
            name = scheduled[2]
            queue = self._active.get(name)
            if queue is None or queue.served_ms != scheduled[0]:
                continue
            if not queue.size:
                del self._active[name]
                continue
            found = self._pop_most_urgent(queue, target_below_ms)
            if found is None:
                skipped.append(scheduled)
                continue
            if not skipped:
                self._virtual_time_ms = max(self._virtual_time_ms, queue.served_ms)
            self._charge(name, queue, found.cost_ms)
        for scheduled in skipped:
            heapq.heappush(self._schedule, scheduled)
        return found

    def discard(self, job_id: bytes) -> list[QueuedTask]:
        """Remove a job's waiting tasks and return them."""
        removed = list(self._jobs.pop(job_id, {}).values())
        for task in removed:
            self._customers[task.customer].update_backlog(task, -1)
        self._size -= len(removed)
        return removed

    def record_run_time(self, customer: str, job_class: str, cost_ms: float, run_ms: float) -> None:
        """Correct the customer's charged service from the estimated to the actual run time."""
        queue = self._customers.get(customer)
        if queue is not None:
            self._charge(customer, queue, run_ms - cost_ms)

    def backlog_ms(self, customer: str | None = None) -> float:
        """Return the estimated waiting work of one customer, or of all."""
        if customer is not None:
            queue = self._customers.get(customer)
            return queue.work_ms() if queue else 0.0
        return sum(queue.work_ms() for queue in self._active.values())

    def work_until_completion_ms(self, customer: str, target_ms: float, work_ms: float) -> float:
        """Return the estimated work, in ms, served until new work of a customer completes."""
        own_queue = self._customers.get(customer)
        own_ms = work_ms + (own_queue.work_ms(target_ms) if own_queue else 0.0)
        service_level_ms = own_ms + (
            self._charged_ms(own_queue) if own_queue else self._virtual_time_ms - MAX_CREDIT_MS
        )
        # Until then, every other customer is served up to the service level of this one.
        others_ms = sum(
            min(queue.work_ms(), max(0.0, service_level_ms - queue.served_ms))
            for queue in self._active.values()
            if queue is not own_queue
        )
        return own_ms + others_ms

    def __len__(self) -> int:
        return self._size

    def _charged_ms(self, queue: _CustomerQueue) -> float:
        """Return a customer's charged service, with its credit limited to MAX_CREDIT_MS."""
        return max(queue.served_ms, self._virtual_time_ms - MAX_CREDIT_MS)

    def _charge(self, name: str, queue: _CustomerQueue, work_ms: float) -> None:
        queue.served_ms += work_ms
        if name in self._active:
            self._sequence += 1
            heapq.heappush(self._schedule, (queue.served_ms, self._sequence, name))

    def _insert(self, task: QueuedTask, refund_ms: float) -> None:
        name = task.customer
        queue = self._customers.get(name)
        if queue is None:
            if len(self._customers) >= MAX_CUSTOMERS:
                self._drop_idle_customers()
            queue = self._customers[name] = _CustomerQueue()
            queue.served_ms = self._virtual_time_ms - MAX_CREDIT_MS
        if name not in self._active:
            # A customer that used little keeps a limited credit, so a small customer's whole job
            # is served first. Service received above the fair share remains charged.
            self._active[name] = queue
            queue.served_ms = self._charged_ms(queue)
        self._charge(name, queue, -refund_ms)
        self._sequence += 1
        due_ms = task.arrived_ms + task.target_ms - task.cost_ms
        heap = queue.heaps.setdefault(task.target_ms, [])
        heapq.heappush(heap, (due_ms, self._sequence, task))
        queue.update_backlog(task, 1)
        self._jobs.setdefault(task.job_id, {})[task.index] = task
        self._size += 1

    def _drop_idle_customers(self) -> None:
        """Drop idle customers that would be treated like new ones when they return."""
        self._customers = {
            name: queue
            for name, queue in self._customers.items()
            if name in self._active or queue.served_ms > self._virtual_time_ms - MAX_CREDIT_MS
        }

    def _pop_most_urgent(self, queue: _CustomerQueue, target_below_ms: float) -> QueuedTask | None:
        """Remove and return a customer's most urgent task with a target below the given one."""
        best: list[tuple[float, int, QueuedTask]] | None = None
        for target_ms, heap in list(queue.heaps.items()):
            self._drop_discarded(heap)
            if not heap:
                del queue.heaps[target_ms]
            elif target_ms < target_below_ms and (best is None or heap[0] < best[0]):
                best = heap
        if best is None:
            return None
        _, _, task = heapq.heappop(best)
        waiting = self._jobs[task.job_id]
        del waiting[task.index]
        if not waiting:
            del self._jobs[task.job_id]
        queue.update_backlog(task, -1)
        self._size -= 1
        return task

    def _drop_discarded(self, heap: list[tuple[float, int, QueuedTask]]) -> None:
        """Pop tasks of discarded jobs from the front of a heap."""
        while heap:
            task = heap[0][2]
            waiting = self._jobs.get(task.job_id)
            if waiting is not None and waiting.get(task.index) is task:
                return
            heapq.heappop(heap)


def create_fifo_queue() -> TaskQueue:
    """Return the first in, first out baseline."""
    return FifoQueue()


def create_fair_queue() -> TaskQueue:
    """Return the queue used in production, which is fair between customers."""
    return FairQueue()
