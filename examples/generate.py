"""Write the example settings of both users."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import yaml

from currantbarrow.load.workload import WORKLOADS, Workload

ENTRIES = 3
SIDES = 11
SIDES_PER_RACK = 3
SLOTS = 8
CONNECTIONS = 64
DATA_CENTRES = {
    "vaja": ["moste", "siska", "vic"],
    "sorachi": ["asahikawa", "nayoro", "wakkanai"],
}
BASE_PORTS = {"vaja": 7100, "sorachi": 8100}


class ExampleSet:
    """Write the settings of one user's processes."""

    def __init__(self, user: str, folder: Path) -> None:
        self._data_centres = DATA_CENTRES[user]
        self._base_port = BASE_PORTS[user]
        self._folder = folder
        self._log_url = f"http://{self._address(0)}"

    def write(self) -> None:
        """Write the token and the settings files."""
        self._folder.mkdir(parents=True, exist_ok=True)
        (self._folder / "token").write_text("example-token-change-me\n")
        self._write("log", {"address": self._address(0)})
        for number in range(ENTRIES):
            self._write(f"entry-{number}", self._entry(number))
        for number in range(SIDES):
            self._write(f"side-{number:02}", self._side(number))
            self._write(f"worker-{number:02}", self._worker(number))
        urls = {"entry_url": 1, "operator_url": 2}
        self._write(
            "operator", {name: f"http://{self._address(port)}" for name, port in urls.items()}
        )

    def _entry(self, number: int) -> dict[str, Any]:
        port = 1 + 10 * number
        return {
            "name": f"entry-{number}",
            "data_centre": self._data_centres[number % len(self._data_centres)],
            "rack": f"entry-rack-{number}",
            "callers_address": self._address(port),
            "operator_address": self._address(port + 1),
            "link_address": self._address(port + 2),
            "log_service_url": self._log_url,
            "token_file": "token",
        }

    def _side(self, number: int) -> dict[str, Any]:
        port = 100 + 10 * number
        return {
            "name": f"side-{number:02}",
            "data_centre": self._data_centres[number % len(self._data_centres)],
            "rack": f"rack-{number // SIDES_PER_RACK}",
            "link_address": self._address(port),
            "upstream_address": self._address(port + 1),
            "upstream_url": f"http://{self._address(port + 2)}",
            "log_service_url": self._log_url,
            "token_file": "token",
            "connections": CONNECTIONS,
        }

    def _worker(self, number: int) -> dict[str, Any]:
        port = 100 + 10 * number
        return {
            "name": f"worker-{number:02}",
            "address": self._address(port + 2),
            "side_url": f"http://{self._address(port + 1)}",
            "slots": SLOTS,
        }

    def _address(self, port: int) -> str:
        return f"127.0.0.1:{self._base_port + port}"

    def _write(self, name: str, settings: dict[str, Any]) -> None:
        text = yaml.safe_dump(settings, sort_keys=False)
        (self._folder / f"{name}.yaml").write_text(text)


def write_classes(workload: Workload, folder: Path) -> None:
    """Write a shell script that creates a user's classes."""
    lines = ["#!/usr/bin/env bash", f"# Create the classes of {workload.name}.", "set -e"]
    lines.append('here="$(dirname "$0")"')
    for work_class in workload.classes:
        lines.append(
            f"currantbarrow class create {work_class.name} --target-ms {work_class.target_ms:g} "
            '--wait "$@" --settings "$here/operator.yaml"'
        )
    path = folder / "classes.sh"
    path.write_text("\n".join(lines) + "\n")
    path.chmod(0o755)


def main() -> None:
    """Write the examples next to this file."""
    here = Path(__file__).parent
    for user, workload in WORKLOADS.items():
        ExampleSet(user, here / user).write()
        write_classes(workload, here / user)


if __name__ == "__main__":
    main()
