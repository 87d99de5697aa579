"""Test that the log files of several processes are merged and filtered."""

from __future__ import annotations

import json
from pathlib import Path

from cleo.testers.application_tester import ApplicationTester

from currantbarrow.cli.main import create_application

DAY = "2026-01-01 10:00:00"
ENTRY = [
    f'-1 e {{"asctime": "{DAY},200", "process": "entry-0", "message": "job ended", "job": "a1"}}',
    "Traceback, or anything else",
    f'{{"asctime": "{DAY},000", "process": "entry-0", "message": "job accepted", "job": "a1", '
    '"reason": "", "tasks": 2}',
    f'{{"asctime": "{DAY},050", "process": "entry-0", "message": "side lost", "runs": 1}}',
]
SIDE = [
    f'{{"asctime": "{DAY},100", "process": "side-0", "message": "run ended", "job": "a1", '
    '"end": "done"}',
    f'{{"asctime": "{DAY},110", "process": "side-0", "message": "run ended", "job": "b2"}}',
]


def run(command: str) -> tuple[int, str]:
    tester = ApplicationTester(create_application())
    code = tester.execute(command, decorated=False)
    return code, tester.io.fetch_output()


def write_logs(folder: Path) -> str:
    (folder / "entry.log").write_text("\n".join(ENTRY))
    (folder / "side.log").write_text("\n".join(SIDE))
    return f"{folder}/entry.log {folder}/side.log"


def test_lines_of_a_job_are_merged_in_time_order(tmp_path: Path) -> None:
    code, out = run(f"logs {write_logs(tmp_path)} --job a1")
    lines = out.splitlines()[1:]
    assert code == 0
    assert [line.split()[1] for line in lines] == ["entry-0", "side-0", "entry-0"]
    assert "tasks=2" in lines[0]
    assert "end=done" in lines[1]


def test_states_option_selects_lines_without_a_job(tmp_path: Path) -> None:
    _, out = run(f"logs {write_logs(tmp_path)} --states")
    assert [line.split()[2:4] for line in out.splitlines()[1:]] == [["side", "lost"]]


def test_missing_file_is_an_error(tmp_path: Path) -> None:
    code, _ = run(f"logs {tmp_path}/none.log")
    assert code != 0


def write_evacuations(folder: Path) -> str:
    lines = {
        "entry": [
            ("000", "started", {}),
            ("100", "evacuation in force", {"data_centre": "d1", "position": 4, "source": "store"}),
        ],
        "side": [
            ("101", "evacuation in force", {"data_centre": "d1", "position": 4, "source": "entry"}),
            ("102", "evacuation in force", {"data_centre": "d2", "position": 5, "source": "entry"}),
            ("300", "evacuation ended", {"data_centre": "d2", "position": 6, "source": "entry"}),
        ],
        # Its line from before the restart says nothing about the present.
        "restarted": [
            ("103", "evacuation in force", {"data_centre": "d1", "position": 4, "source": "entry"}),
            ("200", "started", {}),
        ],
    }
    for process, rows in lines.items():
        text = "\n".join(
            json.dumps({"asctime": f"{DAY},{ms}", "process": process, "message": message, **fields})
            for ms, message, fields in rows
        )
        (folder / f"{process}.log").write_text(text)
    return " ".join(f"{folder}/{process}.log" for process in lines)


def test_evacuations_are_shown_with_state_time_and_source(tmp_path: Path) -> None:
    code, out = run(f"evacuations {write_evacuations(tmp_path)}")
    assert code == 0
    assert [line.split() for line in out.splitlines()[1:]] == [
        ["d1", "entry", "in", "force", "10:00:00,100", "4", "store"],
        ["d1", "side", "in", "force", "10:00:00,101", "4", "entry"],
        ["d2", "side", "ended", "10:00:00,300", "6", "entry"],
    ]


def test_evacuations_of_one_data_centre_are_printed_as_json(tmp_path: Path) -> None:
    _, out = run(f"evacuations {write_evacuations(tmp_path)} --data-centre d2 --json")
    (row,) = json.loads(out)
    assert (row["data_centre"], row["process"], row["in_force"]) == ("d2", "side", False)


def write_losses(folder: Path) -> str:
    """Write the lines of entries about one job for each outcome."""
    overload = {"reason": "overload", "released_per_s": 100, "ahead_cores": 90}
    done = {"state": "completed", "objective_ms": 100}
    lines: list[tuple[str, str, str, dict[str, object]]] = [
        ("000", "started", "", {}),
        ("010", "job accepted", "in-time", {}),
        ("060", "job ended", "in-time", done),
        ("020", "job refused", "no-cores", overload),
        ("030", "job refused", "overtaken", {**overload, "urgent_per_s": 80}),
        ("040", "job accepted", "given-up", {}),
        ("240", "job ended", "given-up", {"state": "refused", "reason": "its time passed"}),
        ("050", "job accepted", "waited", {}),
        ("190", "tasks ordered", "waited", {"slack_ms": -20}),
        ("250", "job ended", "waited", done),
        ("060", "job accepted", "slow", {}),
        ("061", "tasks ordered", "slow", {"slack_ms": 30, "reason": "late_everywhere"}),
        ("260", "job ended", "slow", done),
        ("070", "job accepted", "repeated", {}),
        ("080", "run ended without a result", "repeated", {"reason": "lost"}),
        ("270", "job ended", "repeated", done),
        # Refused first, and completed soon after it was accepted.
        ("080", "job refused", "again", overload),
        ("300", "job accepted", "again", {}),
        ("310", "job ended", "again", done),
        ("090", "job accepted", "died-with-entry", {}),
        ("400", "started", "", {}),
        ("410", "job accepted", "unfinished", {}),
    ]
    text = "\n".join(
        json.dumps(
            {
                "asctime": f"{DAY},{ms}",
                "process": "entry-0",
                "message": message,
                "job": job,
                "queue": "q1",
                **fields,
            }
        )
        for ms, message, job, fields in lines
    )
    (folder / "entry-0.log").write_text(text)
    return f"{folder}/entry-0.log"


def test_lost_jobs_are_counted_by_outcome_and_cause(tmp_path: Path) -> None:
    code, out = run(f"losses {write_losses(tmp_path)}")
    assert code == 0
    assert [" ".join(line.split()) for line in out.splitlines()[1:]] == [
        "in time 1",
        "refused overload: too few cores 1",
        "refused overload: more urgent jobs arrive 1",
        "given up untried its time passed 1",
        "late waited for resources 1",
        "late only slow workers had room 1",
        "late run again (lost) 1",
        "late submitted again 1",
        "entry lost 1",
        "open 1",
        "all 10",
    ]


def test_lost_jobs_of_a_period_are_listed(tmp_path: Path) -> None:
    _, out = run(f"losses {write_losses(tmp_path)} --jobs --since 10:00:00,090 --queue q1")
    assert [line.split()[1] for line in out.splitlines()[1:]] == ["died-with-entry", "unfinished"]
    _, out = run(f"losses {write_losses(tmp_path)} --json --until 10:00:00,025")
    assert [row["job"] for row in json.loads(out)] == ["no-cores"]
