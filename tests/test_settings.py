"""Test that every error in the settings is reported with its path."""

from __future__ import annotations

import socket
import subprocess
import sys
from pathlib import Path

import pytest
import yaml

from currantbarrow.exceptions import AddressUnavailable, SettingsError
from currantbarrow.listening import bind_address, bound_address
from currantbarrow.load.fleet_settings import load_fleet_settings
from currantbarrow.settings import EntrySettings, load_settings

EXAMPLES = Path(__file__).parent.parent / "examples"


def write_entry(folder: Path, **changes: object) -> Path:
    plain = yaml.safe_load((EXAMPLES / "vaja" / "entry-0.yaml").read_text())
    (folder / "token").write_text("t")
    path = folder / "entry.yaml"
    path.write_text(yaml.safe_dump({**plain, **changes}))
    return path


def errors_of(path: Path) -> list[str]:
    with pytest.raises(SettingsError) as caught:
        load_settings(path, EntrySettings)
    return [line.removeprefix(f"{path}: ") for line in str(caught.value).splitlines()]


class TestErrors:
    def test_all_are_reported_at_once_with_their_paths(self, tmp_path: Path) -> None:
        path = write_entry(
            tmp_path, lease_ms="long", peers=["a:1", "b", 3], colour="red", max_tasks=0
        )
        errors = errors_of(path)
        places = sorted(error.partition(":")[0] for error in errors)
        assert places == ["colour", "lease_ms", "max_tasks", "peers[1]", "peers[2]"]

    def test_missing_setting_is_named(self, tmp_path: Path) -> None:
        path = tmp_path / "entry.yaml"
        path.write_text("name: a\n")
        assert "rack: missing" in errors_of(path)

    def test_duplicate_setting_is_an_error(self, tmp_path: Path) -> None:
        path = write_entry(tmp_path)
        path.write_text(path.read_text() + "rack: other\n")
        (error,) = errors_of(path)
        assert "rack is set twice" in error

    @pytest.mark.parametrize(
        ("changes", "place"),
        [
            ({"operator_address": "127.0.0.1:7101"}, "operator_address"),
            ({"link_address": "127.0.0.1:70000"}, "link_address"),
            ({"token_file": "nowhere"}, "token_file"),
            ({"lease_ms": 10.0}, "lease_ms"),
        ],
    )
    def test_conflicting_settings_are_reported(
        self, tmp_path: Path, changes: dict[str, object], place: str
    ) -> None:
        (error,) = errors_of(write_entry(tmp_path, **changes))
        assert error.startswith(f"{place}: ")

    @pytest.mark.parametrize("text", ["[]", "a: [", "\x00", ""])
    def test_file_without_settings_is_an_error(self, tmp_path: Path, text: str) -> None:
        path = tmp_path / "entry.yaml"
        path.write_text(text)
        assert errors_of(path)

    def test_port_in_use_is_named_with_its_setting(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as taken:
            address = f"127.0.0.1:{taken.getsockname()[1]}"
            with pytest.raises(AddressUnavailable, match="callers_address"):
                bind_address(address, "callers_address")

    def test_bound_address_has_the_assigned_port(self) -> None:
        listener = bind_address("127.0.0.1:0", "callers_address")
        assert int(bound_address(listener).rpartition(":")[2]) > 0
        listener.close()


class TestPrograms:
    def run_program(self, module: str, *arguments: str) -> subprocess.CompletedProcess[str]:
        code = f"from {module} import main; main()"
        command = [sys.executable, "-c", code, *arguments]
        source = str(EXAMPLES.parent / "src")
        return subprocess.run(
            command,
            capture_output=True,
            text=True,
            env={"PYTHONPATH": source},
            timeout=60,
            check=False,
        )

    def test_check_accepts_the_examples(self) -> None:
        path = str(EXAMPLES / "vaja" / "side-03.yaml")
        done = self.run_program("currantbarrow.side.main", "--settings", path, "--check")
        assert (done.returncode, done.stdout) == (0, f"{path}: no mistakes\n")

    def test_invalid_setting_ends_the_program_without_a_traceback(self, tmp_path: Path) -> None:
        path = str(write_entry(tmp_path, lease_ms=-1))
        done = self.run_program("currantbarrow.entry.main", "--settings", path)
        assert done.returncode == 2
        assert "settings_invalid" in done.stderr
        assert "Traceback" not in done.stderr

    def test_port_in_use_ends_the_program_without_a_traceback(self, tmp_path: Path) -> None:
        with socket.create_server(("127.0.0.1", 0)) as taken:
            address = f"127.0.0.1:{taken.getsockname()[1]}"
            path = str(write_entry(tmp_path, callers_address=address))
            done = self.run_program("currantbarrow.entry.main", "--settings", path)
        assert done.returncode == 1
        assert "address_unavailable: callers_address" in done.stderr
        assert "Traceback" not in done.stderr

    @pytest.mark.parametrize("role", ["entry", "side"])
    def test_daemons_load_only_what_their_role_needs(self, role: str) -> None:
        unwanted = {"matplotlib", "numpy", "cleo", "jinja2", "hdrh", "looptime", "uuid6"}
        code = f"import sys, currantbarrow.{role}.main; print(*sys.modules)"
        done = subprocess.run(
            [sys.executable, "-c", code],
            capture_output=True,
            text=True,
            env={"PYTHONPATH": str(EXAMPLES.parent / "src")},
            timeout=60,
            check=True,
        )
        assert not unwanted & set(done.stdout.split())


class TestExamples:
    @pytest.mark.parametrize("user", ["vaja", "sorachi"])
    def test_example_sets_have_the_required_sizes(self, user: str) -> None:
        found = load_fleet_settings(EXAMPLES / user)
        assert (len(found.entries), len(found.sides)) == (3, 11)
        assert {side.connections for side in found.sides} == {64}
        assert {worker.slots for worker in found.workers} == {8}
        assert len({side.data_centre for side in found.sides}) == 3
        racks = [side.rack for side in found.sides]
        assert max(racks.count(rack) for rack in racks) == 3

    def test_committed_files_match_the_output_of_the_generator(self, tmp_path: Path) -> None:
        script = tmp_path / "generate.py"
        script.write_text((EXAMPLES / "generate.py").read_text())
        source = str(EXAMPLES.parent / "src")
        subprocess.run([sys.executable, str(script)], env={"PYTHONPATH": source}, check=True)
        for user in ("vaja", "sorachi"):
            written = {path.name: path.read_text() for path in (tmp_path / user).iterdir()}
            committed = {path.name: path.read_text() for path in (EXAMPLES / user).iterdir()}
            assert written == committed
