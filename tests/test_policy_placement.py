"""Placement of tasks on workers, and slots reserved for classes with little slack."""

from __future__ import annotations

import random

import pytest

from currantbarrow.policy import QueuedTask, WorkerView
from currantbarrow.policy.placement import create_headroom_placement


def make_worker(name: str, *, busy: int = 0, others: int = 0, centre: str = "one") -> WorkerView:
    worker = WorkerView(name, f"{name}.1", centre, f"rack-{name[0]}")
    worker.slots, worker.own_slots, worker.others_slots = 8, busy, others
    return worker


def make_task(
    job: bytes = b"j", *, job_class: str = "hold", cost_ms: float = 100.0, target_ms: float = 400.0
) -> QueuedTask:
    return QueuedTask(
        job,
        0,
        customer="a",
        job_class=job_class,
        arrived_ms=0.0,
        target_ms=target_ms,
        cost_ms=cost_ms,
    )


class TestHeadroomPlacement:
    def test_long_task_leaves_a_slot_for_a_shorter_class(self) -> None:
        placement = create_headroom_placement(random.Random(1), "one")
        placement.choose(make_task(), [make_worker("a1")])
        rebuild = make_task(job_class="rebuild", cost_ms=3000.0, target_ms=10_000.0)
        assert placement.choose(rebuild, [make_worker("a1", busy=7)]) is None
        assert placement.choose(rebuild, [make_worker("a1", busy=6)]) is not None
        assert placement.choose(make_task(), [make_worker("a1", busy=7)]) is not None

    def test_long_task_takes_all_slots_when_no_shorter_class_is_active(self) -> None:
        placement = create_headroom_placement(random.Random(1), "one")
        rebuild = make_task(job_class="rebuild", cost_ms=3000.0, target_ms=10_000.0)
        assert placement.choose(rebuild, [make_worker("a1", busy=7)]) is not None

    def test_class_that_cannot_meet_its_target_reserves_nothing(self) -> None:
        placement = create_headroom_placement(random.Random(1), "one")
        placement.choose(make_task(job_class="infeasible", target_ms=50.0), [make_worker("a1")])
        rebuild = make_task(job_class="rebuild", cost_ms=3000.0, target_ms=10_000.0)
        assert placement.choose(rebuild, [make_worker("a1", busy=7)]) is not None

    def test_tasks_wait_at_their_owner_while_workers_are_full(self) -> None:
        placement = create_headroom_placement(random.Random(1), "one")
        workers = [make_worker(f"a{n}", busy=2, others=6) for n in range(3)]
        assert placement.choose(make_task(), workers) is None

    def test_owner_without_tasks_on_a_full_worker_queues_one_there(self) -> None:
        placement = create_headroom_placement(random.Random(1), "one")
        worker = make_worker("a1", others=8)
        assert placement.choose(make_task(), [worker]) is worker
        worker.own_slots = 1
        assert placement.choose(make_task(), [worker]) is None

    @pytest.mark.parametrize(("near_busy", "expected"), [(0, "near"), (7, "far")])
    def test_worker_in_own_data_centre_is_preferred_until_nearly_full(
        self, near_busy: int, expected: str
    ) -> None:
        placement = create_headroom_placement(random.Random(1), "one")
        near, far = make_worker("near", busy=near_busy), make_worker("far", centre="two")
        chosen = placement.choose(make_task(), [far, near])
        assert chosen is not None
        assert chosen.name == expected

    def test_tasks_of_one_job_share_a_rack(self) -> None:
        placement = create_headroom_placement(random.Random(1), "one")
        workers = [make_worker(name) for name in ("a1", "a2", "b1", "b2", "c1", "c2")]
        racks = set()
        for _ in range(4):
            chosen = placement.choose(make_task(), workers)
            assert chosen is not None
            chosen.own_slots += 1
            racks.add(chosen.rack)
        assert len(racks) == 1
