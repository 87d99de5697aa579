"""Order waiting tasks: first in first out, and fair between customers."""

from __future__ import annotations

import collections
import heapq

from currantbarrow.policy.types import QueuedTask, TaskQueue

__all__ = ["create_fair_queue", "create_fifo_queue"]


class FifoQueue:
    """Serve tasks in the order of their arrival, whoever sent them."""

    __slots__ = ("_backlog_ms", "_tasks")

    def __init__(self) -> None:
        self._tasks: collections.deque[QueuedTask] = collections.deque()
        self._backlog_ms: dict[str, float] = collections.defaultdict(float)

    def add(self, task: QueuedTask) -> None:
        """Queue a new task."""
        self._tasks.append(task)
        self._backlog_ms[task.customer] += task.cost_ms

    def requeue(self, task: QueuedTask) -> None:
        """Put back a task that was taken and surely did not start."""
        self._tasks.appendleft(task)
        self._backlog_ms[task.customer] += task.cost_ms

    def take(self, now_ms: float) -> QueuedTask | None:
        """Return the oldest task."""
        if not self._tasks:
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

    def ended(self, customer: str, job_class: str, cost_ms: float, run_ms: float) -> None:
        """Take no note; the order of arrival is all that counts."""

    def backlog_ms(self, customer: str | None = None) -> float:
        """Return the estimated work that waits, of one customer or of all."""
        if customer is not None:
            return self._backlog_ms.get(customer, 0.0)
        return sum(self._backlog_ms.values())

    def __len__(self) -> int:
        return len(self._tasks)


class _CustomerQueue:
    """Hold one customer's waiting tasks and the work that it was given."""

    __slots__ = ("backlog_ms", "heap", "served_ms")

    def __init__(self, served_ms: float) -> None:
        self.served_ms = served_ms
        self.backlog_ms = 0.0
        self.heap: list[tuple[float, int, QueuedTask]] = []


class FairQueue:
    """Serve the customer that was given the least work, its most urgent task first."""

    __slots__ = ("_customers", "_floor_ms", "_jobs", "_sequence", "_size")

    def __init__(self) -> None:
        self._customers: dict[str, _CustomerQueue] = {}
        self._jobs: dict[bytes, dict[int, QueuedTask]] = {}
        self._floor_ms = 0.0
        self._sequence = 0
        self._size = 0

    def add(self, task: QueuedTask) -> None:
        """Queue a new task."""
        self._insert(task)

    def requeue(self, task: QueuedTask) -> None:
        """Put back a task that was taken and surely did not start."""
        queue = self._insert(task)
        queue.served_ms -= task.cost_ms

    def take(self, now_ms: float) -> QueuedTask | None:
        """Return the most urgent task of the customer that was given the least work."""
        while self._customers:
            name = min(self._customers, key=self._served)
            queue = self._customers[name]
            task = self._pop_live(queue)
            if task is None:
                del self._customers[name]
                continue
            self._floor_ms = max(self._floor_ms, queue.served_ms)
            queue.served_ms += task.cost_ms
            return task
        return None

    def discard(self, job_id: bytes) -> list[QueuedTask]:
        """Remove a job's waiting tasks and return them."""
        removed = list(self._jobs.pop(job_id, {}).values())
        for task in removed:
            self._customers[task.customer].backlog_ms -= task.cost_ms
        self._size -= len(removed)
        return removed

    def ended(self, customer: str, job_class: str, cost_ms: float, run_ms: float) -> None:
        """Correct the customer's account by the work that a task really took."""
        queue = self._customers.get(customer)
        if queue is not None:
            queue.served_ms += run_ms - cost_ms

    def backlog_ms(self, customer: str | None = None) -> float:
        """Return the estimated work that waits, of one customer or of all."""
        if customer is not None:
            queue = self._customers.get(customer)
            return queue.backlog_ms if queue else 0.0
        return sum(queue.backlog_ms for queue in self._customers.values())

    def __len__(self) -> int:
        return self._size

    def _served(self, name: str) -> float:
        return self._customers[name].served_ms

    def _insert(self, task: QueuedTask) -> _CustomerQueue:
        queue = self._customers.get(task.customer)
        if queue is None:
            # A customer that was idle starts level with the others: it has no claim
            # on the time in which it asked for nothing.
            queue = self._customers[task.customer] = _CustomerQueue(self._floor_ms)
        self._sequence += 1
        due_ms = task.arrived_ms + task.target_ms - task.cost_ms
        heapq.heappush(queue.heap, (due_ms, self._sequence, task))
        queue.backlog_ms += task.cost_ms
        self._jobs.setdefault(task.job_id, {})[task.index] = task
        self._size += 1
        return queue

    def _pop_live(self, queue: _CustomerQueue) -> QueuedTask | None:
        while queue.heap:
            _, _, task = heapq.heappop(queue.heap)
            waiting = self._jobs.get(task.job_id)
            if waiting is None or waiting.get(task.index) is not task:
                continue
            del waiting[task.index]
            if not waiting:
                del self._jobs[task.job_id]
            queue.backlog_ms -= task.cost_ms
            self._size -= 1
            return task
        return None


def create_fifo_queue() -> TaskQueue:
    """Return the plain baseline."""
    return FifoQueue()


def create_fair_queue() -> TaskQueue:
    """Return the queue that is fair between customers."""
    return FairQueue()
