"""Share one small fleet of daemons between the tests that only talk to it."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from loopback import LoopbackThread, small_set


@pytest.fixture(scope="session")
def small_fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[LoopbackThread]:
    """Run two entries and three sides for the whole session."""
    settings = small_set(tmp_path_factory.mktemp("settings"), entries=2, sides=3)
    thread = LoopbackThread(settings)
    thread.start()
    yield thread
    thread.stop()
