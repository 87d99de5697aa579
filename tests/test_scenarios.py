"""Run every scenario, and test the scenario format and the oracle."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from currantbarrow.jobs import (
    JobAnswer,
    JobRequest,
    JobStatus,
    TaskAnswer,
    TaskRequest,
    TaskRun,
    TaskState,
    make_job_id,
)
from currantbarrow.scenario import Oracle, Promise, ScenarioError, load_scenario, run_scenario
from known_red import read_known_red

FOLDER = Path(__file__).parent / "scenarios"
FILES = sorted(FOLDER.glob("*.yaml"))
KNOWN_RED = {Path(entry.test).name for entry in read_known_red()}
MIN_SCENARIOS = 30


class TestScenarios:
    @pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
    def test_promises_and_expectations_hold(self, path: Path) -> None:
        outcome = run_scenario(load_scenario(path))
        if path.name in KNOWN_RED:
            assert not outcome.passed, f"{path.name} passes now: remove it from KNOWN-RED.txt"
        else:
            assert outcome.passed, outcome.describe()

    def test_every_promise_is_proved_by_several_scenarios(self) -> None:
        assert len(FILES) >= MIN_SCENARIOS
        proved = [promise for path in FILES for promise in load_scenario(path).proves]
        assert {promise for promise in Promise if proved.count(promise) >= 2} == set(Promise)

    def test_same_seed_gives_the_same_outcome(self) -> None:
        scenario = load_scenario(FOLDER / "disorder.yaml")
        assert run_scenario(scenario) == run_scenario(scenario)


VALID_SCENARIO = """\
about: test
proves: [starts at most once]
until: 10 s
work:
  - {at: 0 s, jobs: 1}
faults:
  - at: 1 s
    do: kill
    who: [entry-1]
"""


class TestScenarioFormat:
    @pytest.mark.parametrize(
        ("wrong", "right", "line", "word"),
        [
            ("until: 10 s", "untill: 10 s", 3, "untill"),
            ("until: 10 s", "until: soon", 3, "soon"),
            ("jobs: 1}", "jobs: many}", 5, "int"),
            ("do: kill", "do: killl", 8, "killl"),
            ("who: [entry-1]", "who: [entry-9]", 9, "entry-9"),
            ("who: [entry-1]", "whom: [entry-1]", 9, "whom"),
            ("at: 1 s\n", "at: 11 s\n", 7, "after the end"),
            ("jobs: 1}", "class: none}", 5, "none"),
            ("about: test", "about: [", 3, "expected"),
            ("about: test", "until: 1 s\nabout: test", 4, "twice"),
            ("proves: [starts at most once]", "proves: [nothing]", 2, "nothing"),
        ],
    )
    def test_error_names_file_and_line(
        self, tmp_path: Path, wrong: str, right: str, line: int, word: str
    ) -> None:
        path = tmp_path / "mistyped.yaml"
        path.write_text(VALID_SCENARIO.replace(wrong, right))
        with pytest.raises(ScenarioError, match=rf"{re.escape(str(path))}:{line}: .*{word}"):
            load_scenario(path)

    def test_unmet_expectation_fails(self, tmp_path: Path) -> None:
        path = tmp_path / "wrong.yaml"
        path.write_text(VALID_SCENARIO + "expect:\n  complete: {at_least: 2}\n")
        outcome = run_scenario(load_scenario(path))
        assert not outcome.passed
        assert "complete: 1" in outcome.describe()


class TestOracle:
    def setup_method(self) -> None:
        self.oracle = Oracle()
        tasks = [TaskRequest({"echo": f"k/{n}"}) for n in range(2)]
        self.job = JobRequest("k", 0, "a", "quote", tasks)
        self.done = [TaskAnswer(TaskState.DONE, {"echo": f"k/{n}"}) for n in range(2)]

    def _start(self, index: int, worker: str = "side-0", now_ms: float = 0.0) -> None:
        run = TaskRun(make_job_id(self.job), index, 1, "quote", "a", None, 0.0, 0.0)
        self.oracle.record_start(worker, run, now_ms)

    def _answer(self, status: JobStatus, tasks: list[TaskAnswer], now_ms: float = 0.0) -> None:
        not_run = status is JobStatus.REFUSED
        self.oracle.record_answer(
            self.job, JobAnswer(status, tasks, "overloaded", "", 0, not_run), now_ms
        )

    def _broken_promises(self) -> set[Promise]:
        return {violation.promise for violation in self.oracle.violations}

    def test_complete_answer_breaks_no_promise(self) -> None:
        self.oracle.record_submission(self.job, 0)
        self._start(0)
        self._start(1)
        self._answer(JobStatus.COMPLETE, self.done)
        assert self._broken_promises() == set()

    def test_second_start_is_reported(self) -> None:
        self.oracle.record_submission(self.job, 0)
        self._start(0)
        self._start(0, "side-1")
        assert self._broken_promises() == {Promise.STARTS_ONCE}

    def test_missing_swapped_or_never_started_result_is_reported(self) -> None:
        for tasks in (self.done[:1], self.done[::-1], self.done):
            self.setup_method()
            self.oracle.record_submission(self.job, 0)
            self._start(0)
            self._answer(JobStatus.COMPLETE, tasks)
            assert self._broken_promises() == {Promise.WHOLE_ANSWER}

    def test_start_before_or_after_a_refusal_is_reported(self) -> None:
        not_run = [TaskAnswer(TaskState.NOT_RUN)] * 2
        self.oracle.record_submission(self.job, 0)
        self._start(0)
        self._answer(JobStatus.REFUSED, not_run)
        assert self._broken_promises() == {Promise.NOT_RUN}
        self.setup_method()
        self.oracle.record_submission(self.job, 0)
        self._answer(JobStatus.REFUSED, not_run)
        self._start(0)
        assert self._broken_promises() == {Promise.NOT_RUN}

    def test_start_after_a_resubmission_of_a_refused_job_is_allowed(self) -> None:
        self.oracle.record_submission(self.job, 0)
        self._answer(JobStatus.REFUSED, [TaskAnswer(TaskState.NOT_RUN)] * 2)
        self.oracle.record_submission(self.job, 1)
        self._start(0)
        assert self._broken_promises() == set()

    def test_start_after_a_final_answer_that_says_not_run_is_reported(self) -> None:
        mixed = [TaskAnswer(TaskState.RAN), TaskAnswer(TaskState.NOT_RUN)]
        self.oracle.record_submission(self.job, 0)
        self._start(0)
        self._answer(JobStatus.FAILED, mixed)
        self.oracle.record_submission(self.job, 1)
        self._start(1)
        assert self._broken_promises() == {Promise.NOT_RUN}

    def test_changed_final_answer_is_reported(self) -> None:
        for _ in range(2):
            self.oracle.record_submission(self.job, 0)
        self._start(0)
        self._start(1)
        self._answer(JobStatus.COMPLETE, self.done)
        self._answer(JobStatus.FAILED, [TaskAnswer(TaskState.RAN), self.done[1]])
        assert self._broken_promises() == {Promise.FINAL_ANSWER}

    def test_late_start_on_a_leaving_worker_is_reported(self) -> None:
        self.oracle.record_submission(self.job, 0)
        self.oracle.record_leaving("side-0", 0)
        self._start(0, now_ms=2999)
        assert self._broken_promises() == set()
        self._start(1, now_ms=3001)
        assert self._broken_promises() == {Promise.LEAVING}

    def test_version_that_decreases_is_reported(self) -> None:
        self.oracle.record_version("entry-0.1", "class quote", 5, 0)
        self.oracle.record_version("entry-0.2", "class quote", 4, 0)
        assert self._broken_promises() == set()
        self.oracle.record_version("entry-0.1", "class quote", 4, 0)
        assert self._broken_promises() == {Promise.FORWARD_ONLY}
