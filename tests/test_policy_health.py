"""Check which workers are ejected, on what evidence, and how they come back."""

from __future__ import annotations

from currantbarrow.policy.health import CusumHealth

WORKERS = [f"w{n}" for n in range(11)]


class TestCusumHealth:
    @staticmethod
    def make_busy(job_class: str = "hold") -> CusumHealth:
        health = CusumHealth()
        for turn in range(5):
            for worker in WORKERS:
                health.record_end(worker, "a", job_class, True, float(turn))
        return health

    def test_worker_that_fails_everything_is_out_within_three_failures(self) -> None:
        health = self.make_busy()
        for _ in range(3):
            health.record_end("w4", "a", "hold", False, 10.0)
        assert not health.is_usable("w4", 11.0)
        assert all(health.is_usable(worker, 11.0) for worker in WORKERS if worker != "w4")

    def test_bad_class_or_customer_ejects_nobody(self) -> None:
        health = self.make_busy()
        for turn in range(50):
            for worker in WORKERS:
                health.record_end(worker, "bad", "hold", False, float(turn))
                health.record_end(worker, "a", "broken", False, float(turn))
        assert all(health.is_usable(worker, 100.0) for worker in WORKERS)

    def test_bad_job_that_meets_one_worker_first_does_not_eject_it(self) -> None:
        health = self.make_busy()
        for _ in range(6):
            health.record_end("w4", "bad", "new", False, 10.0)
        assert health.is_usable("w4", 11.0)

    def test_no_more_than_a_bounded_share_is_ejected(self) -> None:
        health = self.make_busy()
        for turn in range(20):
            for worker in WORKERS[:8]:
                health.record_end(worker, "a", "hold", False, float(turn))
        ejected = [worker for worker in WORKERS if not health.is_usable(worker, 25.0)]
        assert len(ejected) <= len(WORKERS) // 3

    def test_ejected_worker_gets_one_task_a_probe_and_comes_back(self) -> None:
        health = self.make_busy()
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

    def test_failed_probe_doubles_the_wait(self) -> None:
        health = self.make_busy()
        for _ in range(3):
            health.record_end("w4", "a", "hold", False, 0.0)
        health.record_start("w4", 1000.0)
        health.record_end("w4", "a", "hold", False, 1010.0)
        assert not health.is_usable("w4", 2900.0)
        assert health.is_usable("w4", 3100.0)
