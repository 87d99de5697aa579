"""Share a small fleet between tests that only call its APIs, and print the known failures."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from known_red import read_known_red
from loopback import LoopbackThread, small_fleet_settings


@pytest.fixture(scope="session")
def small_fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[LoopbackThread]:
    """Run two entries and three sides for the whole session."""
    settings = small_fleet_settings(tmp_path_factory.mktemp("settings"), entries=2, sides=3)
    thread = LoopbackThread(settings)
    thread.start()
    yield thread
    thread.stop()


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    entries = read_known_red()
    if entries:
        terminalreporter.section("known red, for real faults")
    for entry in entries:
        terminalreporter.write_line(f"{entry.test}: {entry.seen} ({entry.issue}): {entry.command}")
