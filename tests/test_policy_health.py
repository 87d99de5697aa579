"""Ejection of unhealthy workers, and their readmission after successful probes."""

from __future__ import annotations

from currantbarrow.policy.health import CusumHealth

WORKERS = [f"w{n}" for n in range(11)]


class TestCusumHealth:
    @staticmethod
    def make_health_with_successes(job_class: str = "hold") -> CusumHealth:
        health = CusumHealth()
        for turn in range(5):
            for worker in WORKERS:
                health.record_end(worker, "a", job_class, True, float(turn))
        return health

    def test_worker_that_fails_everything_is_ejected_within_three_failures(self) -> None:
        health = self.make_health_with_successes()
        for _ in range(3):
            health.record_end("w4", "a", "hold", False, 10.0)
        assert not health.is_usable("w4", 11.0)
        assert all(health.is_usable(worker, 11.0) for worker in WORKERS if worker != "w4")

    def test_bad_class_or_customer_ejects_no_worker(self) -> None:
        health = self.make_health_with_successes()
        for turn in range(50):
            for worker in WORKERS:
                health.record_end(worker, "bad", "hold", False, float(turn))
                health.record_end(worker, "a", "broken", False, float(turn))
        assert all(health.is_usable(worker, 100.0) for worker in WORKERS)

    def test_failures_of_a_new_kind_of_task_on_one_worker_do_not_eject_it(self) -> None:
        health = self.make_health_with_successes()
        for _ in range(6):
            health.record_end("w4", "bad", "new", False, 10.0)
        assert health.is_usable("w4", 11.0)

    def test_share_of_ejected_workers_is_limited(self) -> None:
        health = self.make_health_with_successes()
        for turn in range(20):
            for worker in WORKERS[:8]:
                health.record_end(worker, "a", "hold", False, float(turn))
        ejected = [worker for worker in WORKERS if not health.is_usable(worker, 25.0)]
        assert len(ejected) <= len(WORKERS) // 3

    def test_ejected_worker_gets_one_task_per_probe_and_is_readmitted(self) -> None:
        health = self.make_health_with_successes()
        for _ in range(3):
            health.record_end("w4", "a", "hold", False, 0.0)
        assert health.is_usable("w4", 1500.0)
        health.record_start("w4", 1500.0)
        assert not health.is_usable("w4", 1501.0)
        health.record_end("w4", "a", "hold", True, 1600.0)
        assert health.is_usable("w4", 1600.0)
        health.record_start("w4", 1600.0)
        health.record_end("w4", "a", "hold", True, 1700.0)
        health.record_start("w4", 1700.0)
        assert health.is_usable("w4", 1701.0)

    def test_failed_probe_doubles_the_probe_delay(self) -> None:
        health = self.make_health_with_successes()
        for _ in range(3):
            health.record_end("w4", "a", "hold", False, 0.0)
        health.record_start("w4", 1000.0)
        health.record_end("w4", "a", "hold", False, 1010.0)
        assert not health.is_usable("w4", 2900.0)
        assert health.is_usable("w4", 3100.0)
