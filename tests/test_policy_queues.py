"""Fair queueing between customers, and admission control by expected delay."""

from __future__ import annotations

import random

from currantbarrow.policy import AdmissionRequest, QueuedTask, WorkerView
from currantbarrow.policy.admission import create_target_admission
from currantbarrow.policy.queues import create_fair_queue


def make_task(
    customer: str, number: int, *, target_ms: float = 400.0, cost_ms: float = 100.0
) -> QueuedTask:
    return QueuedTask(
        f"{customer}-{number}".encode(),
        0,
        customer=customer,
        job_class=f"class-{target_ms:.0f}",
        arrived_ms=float(number),
        target_ms=target_ms,
        cost_ms=cost_ms,
    )


class TestFairQueue:
    def test_customers_get_equal_work_not_equal_task_counts(self) -> None:
        queue = create_fair_queue()
        for number in range(400):
            queue.add(make_task("short", number, cost_ms=50.0))
            queue.add(make_task("long", number, cost_ms=200.0))
        work_ms = {"short": 0.0, "long": 0.0}
        for _ in range(300):
            task = queue.take(0.0)
            assert task is not None
            work_ms[task.customer] += task.cost_ms
        assert abs(work_ms["short"] - work_ms["long"]) <= 200.0

    def test_small_customer_is_served_before_the_backlog_of_a_large_one(self) -> None:
        queue = create_fair_queue()
        for number in range(1000):
            queue.add(make_task("large", number))
        for _ in range(10):
            queue.take(0.0)
        queue.add(make_task("small", 2000))
        taken = [queue.take(0.0) for _ in range(2)]
        assert "small" in {task.customer for task in taken if task is not None}

    def test_wrong_estimate_is_charged_when_the_task_ends(self) -> None:
        queue = create_fair_queue()
        for number in range(20):
            queue.add(make_task("a", number))
            queue.add(make_task("b", number))
        queue.record_run_time("a", "class-400", 100.0, 600.0)
        first = [queue.take(0.0) for _ in range(6)]
        assert [task.customer for task in first if task is not None].count("b") >= 5

    def test_charged_service_is_kept_while_the_queue_is_empty(self) -> None:
        queue = create_fair_queue()
        for number in range(10):
            queue.add(make_task("a", number))
        queue.add(make_task("b", 0))
        queue.add(make_task("b", 1))
        for _ in range(12):
            queue.take(0.0)
        queue.record_run_time("a", "class-400", 100.0, 5000.0)
        queue.add(make_task("a", 20))
        queue.add(make_task("b", 20))
        task = queue.take(0.0)
        assert task is not None
        assert task.customer == "b"

    def test_credit_of_an_idle_customer_is_limited(self) -> None:
        queue = create_fair_queue()
        for number in range(500):
            queue.add(make_task("busy", number))
        for _ in range(100):
            queue.take(0.0)
        for number in range(200):
            queue.add(make_task("idle", number))
        first = [queue.take(0.0) for _ in range(200)]
        names = [task.customer for task in first if task is not None]
        # Its credit of 5,000 ms is 50 tasks; after that both are served equally.
        assert names[:40] == ["idle"] * 40
        assert 120 <= names.count("idle") <= 130

    def test_blocked_class_does_not_block_one_with_a_shorter_target(self) -> None:
        queue = create_fair_queue()
        queue.add(make_task("a", 0, target_ms=3000.0))
        queue.add(make_task("b", 5, target_ms=400.0))
        blocked = queue.take(0.0)
        assert blocked is not None
        assert blocked.target_ms == 3000.0
        queue.requeue(blocked)
        urgent = queue.take(0.0, 3000.0)
        assert urgent is not None
        assert urgent.customer == "b"
        assert queue.take(0.0, 3000.0) is None
        assert queue.take(0.0) is blocked

    def test_discarded_jobs_are_removed_from_the_backlog(self) -> None:
        queue = create_fair_queue()
        tasks = [make_task("a", number) for number in range(10_000)]
        for task in tasks:
            queue.add(task)
        for task in tasks:
            assert queue.discard(task.job_id) == [task]
        assert len(queue) == 0
        assert queue.backlog_ms("a") == 0.0
        assert queue.take(0.0) is None

    def test_random_operations_return_each_task_once(self) -> None:
        rng = random.Random(5)
        queue = create_fair_queue()
        waiting: dict[bytes, QueuedTask] = {}
        for number in range(2000):
            choice = rng.random()
            if choice < 0.5:
                task = make_task(rng.choice("abc"), number, target_ms=rng.choice([300.0, 900.0]))
                queue.add(task)
                waiting[task.job_id] = task
            elif choice < 0.6 and waiting:
                job_id = rng.choice(sorted(waiting))
                assert queue.discard(job_id) == [waiting.pop(job_id)]
            else:
                taken = queue.take(0.0, rng.choice([300.0, 400.0, 9000.0]))
                if taken is not None:
                    assert waiting.pop(taken.job_id) is taken
                    if rng.random() < 0.3:
                        queue.requeue(taken)
                        waiting[taken.job_id] = taken
            assert len(queue) == len(waiting)


class TestTargetAdmission:
    @staticmethod
    def make_request(customer: str, tasks: int, *, slots: int = 1) -> AdmissionRequest:
        queue = create_fair_queue()
        for number in range(200):
            queue.add(make_task("large", number))
        worker = WorkerView("w", "w.1", "one", "rack")
        worker.slots, worker.own_slots = 8, 8
        return AdmissionRequest(
            customer, "class-400", 400.0, [100.0] * tasks, slots, 0.0, queue, [worker]
        )

    def test_only_the_customer_that_causes_the_overload_is_refused(self) -> None:
        admission = create_target_admission()
        assert admission.decide(self.make_request("small", 2)) is None
        refusal = admission.decide(self.make_request("large", 2))
        assert refusal is not None
        assert refusal.code == "overloaded"

    def test_retry_after_is_the_time_until_the_job_would_be_admitted(self) -> None:
        refusal = create_target_admission().decide(self.make_request("large", 1))
        assert refusal is not None
        # 201 tasks of 100 ms on 8 slots, minus the target.
        assert refusal.retry_after_ms == int(20_100 / 8 - 400)

    def test_job_that_can_never_run_is_refused_without_retry_after(self) -> None:
        refusal = create_target_admission().decide(self.make_request("small", 1, slots=9))
        assert refusal is not None
        assert refusal.code == "never_runs"
        assert refusal.retry_after_ms == 0
