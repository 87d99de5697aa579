"""Test that the log files of several processes are merged and filtered."""

from __future__ import annotations

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
