"""Test which tasks are blamed for crashes, and which queues are confined, without a fleet."""

from __future__ import annotations

import math
import random

import msgspec
import pytest

from currantbarrow.direct.containment import (
    EVIDENCE_MS,
    LOAD_PERIOD_MS,
    MAX_CELL_SHARE,
    MAX_CONFINED,
    Containment,
    QueueLoads,
    choose_cell,
)
from currantbarrow.direct.crash_history import Crash, CrashHistory
from currantbarrow.direct.history import RETENTION_MS
from currantbarrow.protocol.direct import CrashRow, QueueRow, SuspectRow

ADDRESSES = [f"side-{number}" for number in range(12)]
JOB = "a" * 16
OTHER = "b" * 16


def create_row(
    worker: str, shares: dict[str, float], surprises: dict[str, float] | None = None
) -> CrashRow:
    """Return a row in which each job has one run, started 8 ms before the crash."""
    suspects = [SuspectRow(job, 0, 0, "fares", 8.0, share) for job, share in shares.items()]
    queues = [QueueRow(queue, value) for queue, value in (surprises or {}).items()]
    return CrashRow(worker, "work", 0.0, suspects, queues)


def record(history: CrashHistory, number: int, shares: dict[str, float], at_ms: float) -> Crash:
    crash = history.record(create_row(f"worker-{number}", shares), f"side-{number}", at_ms)
    assert crash is not None
    return crash


class TestCrashHistory:
    def test_task_on_two_crashed_workers_is_given_up_if_it_has_evidently_crashed_one(self) -> None:
        history = CrashHistory()
        record(history, 1, {JOB: 0.3, OTHER: 0.1}, 0.0)
        assert history.verdict(JOB) is None
        assert history.suspected_ms((JOB, 0, 0)) == 0.0
        assert history.suspected_ms((JOB, 0, 1)) is None
        assert history.suspected_ms((OTHER, 0, 0)) is None
        record(history, 2, {JOB: 1.0}, 1000.0)
        verdict = history.verdict(JOB)
        assert verdict is not None and verdict.crashes == 2 and verdict.queue == "fares"
        assert history.verdict(OTHER) is None

    def test_task_beside_others_on_crashed_workers_is_not_given_up(self) -> None:
        """Guards against jobs that are shown as failed since their workers crashed by chance."""
        history = CrashHistory()
        for number in range(3):
            record(history, number, {JOB: 0.6, OTHER: 0.3}, number * 1000.0)
            assert history.verdict(JOB) is None

    def test_task_whose_start_may_not_have_arrived_is_not_given_up(self) -> None:
        """Guards against blame for the crash of an idle worker, which its next start discovers."""
        history = CrashHistory()
        record(history, 1, {JOB: 0.6}, 0.0)
        row = create_row("worker-2", {JOB: 1.0})
        suspects = [msgspec.structs.replace(each, started=False) for each in row.suspects]
        row = msgspec.structs.replace(row, suspects=suspects)
        assert history.record(row, "side-2", 1000.0) is not None
        assert history.verdict(JOB) is None

    def test_crashes_of_one_host_count_as_one(self) -> None:
        history = CrashHistory()
        for number in range(3):
            row = create_row(f"worker-{number}", {JOB: 1.0})
            assert history.record(row, "side-1", number * 1000.0) is not None
        assert history.verdict(JOB) is None

    def test_task_is_not_started_again_after_four_crashes_whatever_their_cause(self) -> None:
        history = CrashHistory()
        for number in range(4):
            assert history.verdict(JOB) is None
            record(history, number, {JOB: 0.0}, number * 1000.0)
        assert history.verdict(JOB) is not None

    def test_crashes_at_the_same_moment_blame_nobody_unless_one_job_has_started_on_all(
        self,
    ) -> None:
        history = CrashHistory()
        first = record(history, 1, {JOB: 0.5}, 0.0)
        second = record(history, 2, {OTHER: 0.5}, 20.0)
        assert not first.blames and not second.blames
        third = record(history, 3, {JOB: 0.5}, 5000.0)
        fourth = record(history, 4, {JOB: 0.5, OTHER: 0.5}, 5020.0)
        assert third.blames and fourth.blames

    def test_isolated_task_is_blamed_beside_another_crash(self) -> None:
        history = CrashHistory()
        record(history, 1, {JOB: 1.0}, 0.0)
        record(history, 2, {OTHER: 1.0}, 10.0)
        assert history.suspected_ms((JOB, 0, 0)) is not None

    @pytest.mark.parametrize("value", [math.nan, math.inf, -math.inf])
    def test_unreadable_reports_change_nothing(self, value: float) -> None:
        history = CrashHistory()
        assert history.record(create_row("worker", {JOB: value}), "side", 0.0) is None
        row = CrashRow("worker", "work", value, [], [])
        assert history.record(row, "side", 0.0) is None
        row = create_row("worker", {JOB: 0.5}, {"fares": value})
        assert history.record(row, "side", 0.0) is None

    def test_repeated_report_counts_once_and_is_forgotten_in_time(self) -> None:
        history = CrashHistory()
        row = create_row("worker", {JOB: 1.0})
        assert history.record(row, "side", 0.0) is not None
        assert history.record(row, "side", 10.0) is None
        history.expire(RETENTION_MS + 1)
        assert history.suspected_ms((JOB, 0, 0)) is None


def confine_by(containment: Containment, surprises: list[dict[str, float]]) -> list[str]:
    """Record crashes 500 ms apart; return the queues that are confined at the end."""
    for number, surprise in enumerate(surprises):
        crash = Crash(create_row(f"w{number}", {JOB: 0.5}, surprise), f"s{number}", number * 500.0)
        containment.record(crash, number * 500.0)
    return containment.confined(len(surprises) * 500.0)


class TestContainment:
    def test_queue_whose_starts_precede_crashes_is_confined_and_released(self) -> None:
        containment = Containment()
        culprit = [{"fares": 2.7, "holds": 0.8}] * 3
        assert confine_by(containment, culprit) == ["fares"]
        last_ms = 1000.0
        assert containment.release(last_ms + EVIDENCE_MS - 1) == []
        assert containment.release(last_ms + EVIDENCE_MS) == ["fares"]

    def test_one_crash_confines_no_queue(self) -> None:
        assert confine_by(Containment(), [{"fares": 6.0}]) == []

    def test_crashes_that_a_confined_queue_explains_confine_no_other(self) -> None:
        containment = Containment()
        crashes = [{"fares": 2.7, "holds": 2.0}] * 8
        assert confine_by(containment, crashes) == ["fares"]

    def test_few_chance_crashes_confine_a_queue(self) -> None:
        """One in six pairs of crashes at the most, with three queues whose starts are unrelated."""
        rng = random.Random(1)
        pairs = [
            [{queue: rng.expovariate(1.0) for queue in ("a", "b", "c")} for _ in range(2)]
            for _ in range(600)
        ]
        confined = sum(bool(confine_by(Containment(), pair)) for pair in pairs)
        assert confined / len(pairs) < 1 / 6

    def test_no_more_than_two_queues_are_confined(self) -> None:
        containment = Containment()
        crash = Crash(create_row("w", {JOB: 1.0}), "s", 0.0)
        confined = [containment.confine(queue, crash, 0.0) for queue in ("a", "b", "c")]
        assert confined == [True, True, False]
        assert len(containment.confined(1.0)) == MAX_CONFINED

    def test_crashes_of_the_past_confine_no_queue(self) -> None:
        containment = Containment()
        for number in range(3):
            row = create_row(f"w{number}", {JOB: 0.5}, {"fares": 3.0})
            containment.record(Crash(row, f"s{number}", number * 500.0), EVIDENCE_MS + 2000.0)
        assert containment.confined(EVIDENCE_MS + 2000.0) == []


class TestCell:
    def test_cell_is_the_same_for_all_entries_and_changes_little_with_the_fleet(self) -> None:
        cell = choose_cell("fares", ADDRESSES, 0.0)
        assert len(cell) == 4
        assert cell == choose_cell("fares", reversed(ADDRESSES), 0.0)
        others = [address for address in ADDRESSES if address not in cell]
        assert cell <= choose_cell("fares", [*cell, *others[1:]], 0.0) | {others[0]}
        assert cell < choose_cell("fares", ADDRESSES, 0.3)

    def test_cell_grows_with_the_load_up_to_half_of_the_workers(self) -> None:
        assert len(choose_cell("fares", ADDRESSES, 0.3)) == 6
        assert len(choose_cell("fares", ADDRESSES, 2.0)) == MAX_CELL_SHARE * len(ADDRESSES)
        assert choose_cell("fares", ["side-1"], 0.0) == {"side-1"}
        assert choose_cell("fares", [], 0.0) == frozenset()

    def test_load_follows_the_submitted_work(self) -> None:
        loads = QueueLoads()
        for number in range(200):
            loads.record("fares", 500.0, number * 50.0)
        assert loads.cores("fares", 10_000.0) == pytest.approx(10.0, rel=0.05)
        assert loads.cores("fares", 10_000.0 + 5 * LOAD_PERIOD_MS) < 0.1
        assert loads.cores("other", 0.0) == 0.0
