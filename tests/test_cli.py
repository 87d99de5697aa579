"""Test the command line: tables, JSON, errors and exit codes."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from pathlib import Path

import msgspec
import pytest
from cleo.testers.application_tester import ApplicationTester
from syrupy.assertion import SnapshotAssertion

from currantbarrow.cli.client import HttpClient
from currantbarrow.cli.errors import exit_code_of
from currantbarrow.cli.fleet import wait_until_in_force
from currantbarrow.cli.main import create_application
from currantbarrow.cli.tables import format_table
from currantbarrow.exceptions import WaitEnded
from loopback import LoopbackThread, make_body

NEVER_REACHED = 10**9
Client = Callable[..., "Outcome"]


class Outcome(msgspec.Struct):
    code: int
    out: str
    err: str


@pytest.fixture
def client(small_fleet: LoopbackThread) -> Client:
    """Return a function that runs a command against the small fleet."""

    def run(command: str) -> Outcome:
        return run_command(
            f"{command} --operator http://{small_fleet.operator_address}"
            f" --entry http://{small_fleet.callers_address}"
        )

    return run


def run_command(command: str) -> Outcome:
    tester = ApplicationTester(create_application())
    code = tester.execute(command, decorated=False)
    return Outcome(code, tester.io.fetch_output(), tester.io.fetch_error())


def mask_times_and_addresses(text: str) -> str:
    text = re.sub(r"\d{4}-\d\d-\d\d \d\d:\d\d:\d\dZ", "<time>               ", text)
    return re.sub(r"127\.0\.0\.1:\d+", "<address>", text)


class TestClasses:
    def test_class_is_created_changed_and_removed(self, client: Client) -> None:
        created = client("class create life --target-ms 250 --description short --wait --json")
        assert created.code == 0, created.err
        assert msgspec.json.decode(created.out)["in_force_on"] == 2
        assert client("class set life --target-ms 300 --by eva --wait").code == 0
        shown = msgspec.json.decode(client("class show life --json").out)
        assert (shown["target_ms"], shown["description"]) == (300.0, "short")
        assert shown["operator"] == "eva"
        assert client("class remove life --wait").code == 0
        assert client("class show life").code == 1
        history = msgspec.json.decode(client("class history life --json").out)
        assert [row["target_ms"] for row in history] == [250.0, 300.0, None]
        assert client("class create life --target-ms 100").code == 0

    def test_change_based_on_an_old_revision_is_a_conflict(self, client: Client) -> None:
        client("class create raced --target-ms 250")
        revision = msgspec.json.decode(client("class show raced --json").out)["revision"]
        assert client(f"class set raced --target-ms 300 --revision {revision}").code == 0
        lost = client(f"class set raced --target-ms 400 --revision {revision}")
        assert lost.code == 1
        assert lost.err.startswith("error: class_conflict: raced is at revision")
        assert "hint: Show the class" in lost.err

    def test_table_of_classes(self, client: Client, snapshot: SnapshotAssertion) -> None:
        rows = client("class list").out.splitlines()
        fixed = [row for row in rows if row.startswith(("class", "hold", "quote"))]
        cells = [re.split(r"  +", row) for row in fixed]
        assert [[row[0], row[2], row[4]] for row in cells] == snapshot

    def test_wait_timeout_names_the_lagging_members(self, small_fleet: LoopbackThread) -> None:
        async def wait() -> None:
            async with HttpClient(5.0) as client:
                url = f"http://{small_fleet.operator_address}"
                await wait_until_in_force(client, url, "hold", NEVER_REACHED, 0.5)

        with pytest.raises(WaitEnded, match="entry-0, entry-1") as caught:
            asyncio.run(wait())
        assert exit_code_of(caught.value) == 4


class TestJobs:
    def test_submit_shows_the_answer_as_a_table(self, client: Client) -> None:
        outcome = client('job submit --customer c --class hold --task \'{"run_ms":5,"echo":1}\'')
        assert outcome.code == 0, outcome.err
        assert outcome.out.splitlines()[1].split() == ["task", "state", "value", "error"]
        assert outcome.out.splitlines()[2].split() == ["0", "done", '{"echo":1}']

    def test_failed_job_has_exit_code_1(self, client: Client) -> None:
        outcome = client('job submit --customer c --class hold --task \'{"run_ms":1,"fail":true}\'')
        assert outcome.code == 1
        assert "failed" in outcome.out

    def test_job_from_a_file_is_shown_and_cancelled(self, client: Client, tmp_path: Path) -> None:
        body = make_body(2)
        path = tmp_path / "job.json"
        path.write_bytes(msgspec.json.encode(body))
        assert client(f"job submit --file {path}").code == 0
        key = body["key"]
        shown = client(f"job show {key} --customer band --json")
        assert msgspec.json.decode(shown.out)["status"] == "complete"
        assert client(f"job cancel {key} --customer band").code == 0
        assert "job_unknown" in client(f"job show {key} --customer other").err

    def test_timeline_shows_the_events_of_entry_and_side(
        self, client: Client, tmp_path: Path
    ) -> None:
        key = make_body()["key"]
        task = "--task '{\"run_ms\":5}'"
        assert client(f"job submit --customer c --class hold --key {key} {task}").code == 0
        picture = tmp_path / "line.html"
        shown = client(f"timeline --job {key} --customer c --json --picture {picture}")
        kinds = [event["kind"] for event in msgspec.json.decode(shown.out)]
        assert kinds == ["job_accepted", "task_sent", "task_started", "task_ended", "job_complete"]
        assert "<svg" in picture.read_text()


class TestFleet:
    def test_members_and_status(self, client: Client, snapshot: SnapshotAssertion) -> None:
        rows = [
            line.split() for line in mask_times_and_addresses(client("members").out).splitlines()
        ]
        assert [row[:5] for row in rows[1:]] == snapshot
        status = client("status --counters side.task_started")
        assert status.code == 0, status.err
        assert "side.task_started" in status.out

    def test_retire_refuses_a_live_process(self, client: Client) -> None:
        name = msgspec.json.decode(client("members --json").out)[0]["member"]["name"]
        refused = client(f"retire {name} --by ana")
        assert refused.code != 0
        assert "member_alive" in refused.err
        assert "member_unknown" in client("retire nobody --by ana").err


class TestErrors:
    @pytest.mark.parametrize(
        ("command", "code"),
        [
            ("members --operator http://127.0.0.1:1", 3),
            ("members --operator nonsense", 2),
            ("members --operator http://127.0.0.1:1 --timeout nan", 2),
            ("members --settings /nowhere.yaml", 2),
            ("members --bogus", 2),
            ("retire", 2),
            ("retire side-0 --operator http://127.0.0.1:1", 3),
            ("klass", 2),
            ("class set", 2),
            ("class create x --operator http://127.0.0.1:1", 2),
            ("class create x --target-ms abc --operator http://127.0.0.1:1", 2),
            ("job submit --customer c --class hold", 2),
            ("job submit --customer c --class hold --task {", 2),
            ("job submit --file /nowhere", 2),
            ("job show k", 2),
            ("timeline", 2),
            ("timeline --since 10", 2),
            ("timeline --job k --customer c", 2),
            ("settings check nobody x", 2),
            ("settings check entry /nowhere.yaml", 2),
            ("load --workload nobody", 2),
            ("demo --examples /nowhere", 2),
            ("demo --seconds x", 2),
        ],
    )
    def test_mistake_has_a_code_and_no_traceback(
        self, command: str, code: int, snapshot: SnapshotAssertion
    ) -> None:
        outcome = run_command(command)
        assert (outcome.code, outcome.out) == (code, "")
        assert "Traceback" not in outcome.err
        assert outcome.err == snapshot

    def test_unknown_class_is_an_error(self, client: Client) -> None:
        outcome = client("class show nope")
        assert (outcome.code, outcome.out) == (1, "")
        assert outcome.err.startswith("error: class_unknown: there is no class named nope")


def test_numbers_are_aligned_to_the_right() -> None:
    table = format_table(["name", "count"], [["a", 5], ["long", 12345]])
    assert table.splitlines() == ["name  count", "a         5", "long  12345"]
