"""Measure the work that callers send, by how long its tasks hold their cores, and its real cost."""

from __future__ import annotations

import math
from collections.abc import Sequence

import msgspec

from currantbarrow.direct.demand import BAND_COUNT, BAND_EDGES_MS, find_band
from currantbarrow.direct.health import UNHEALTHY_SLOWNESS
from currantbarrow.protocol.direct import DemandRow

__all__ = ["FleetInflow", "InflowMeter", "RunCost", "sum_inflow"]

# The time constant of the measured rates. It is about the slack of the longest common jobs: a surge
# is noticed before the jobs that it brings have used up theirs.
WINDOW_MS = 500.0
# The weight of a new run in the moving averages, which cover about fifty runs.
LEARNING_RATE = 0.02


class InflowMeter:
    """Measure the rate of submitted work, whether accepted or not, as a decaying average."""

    __slots__ = ("_core_ms", "_cores", "_updated_ms")

    def __init__(self) -> None:
        self._cores = [0.0] * BAND_COUNT
        self._core_ms = [0.0] * BAND_COUNT
        self._updated_ms = 0.0

    def record(self, run_ms: float, cores: float, core_ms: float, now_ms: float) -> None:
        """Record a submitted job by the expected run time of its longest task."""
        self._decay(now_ms)
        band = find_band(run_ms)
        self._cores[band] += cores * 1000 / WINDOW_MS
        self._core_ms[band] += core_ms * 1000 / WINDOW_MS

    def row(self, service: str, now_ms: float) -> DemandRow:
        """Return cores and core-milliseconds that arrive per second."""
        self._decay(now_ms)
        return DemandRow(
            service,
            [round(each, 1) for each in self._cores],
            [round(each, 1) for each in self._core_ms],
        )

    def _decay(self, now_ms: float) -> None:
        factor = math.exp((self._updated_ms - now_ms) / WINDOW_MS)
        self._updated_ms = now_ms
        self._cores = [each * factor for each in self._cores]
        self._core_ms = [each * factor for each in self._core_ms]


class FleetInflow(msgspec.Struct, frozen=True):
    """Describe what arrives per second at all entries, by band of run time."""

    # Cores of arriving tasks per second.
    cores_per_s: list[float]
    # Cores that the arriving work keeps busy, as it is expected to run.
    busy_cores: list[float]

    def released_per_s(self, cores: float) -> float:
        """Return the cores that busy ones release per second while they run what arrives."""
        arriving_cores, busy_cores = sum(self.cores_per_s), sum(self.busy_cores)
        return cores * arriving_cores / busy_cores if busy_cores > 0 else 0.0

    def cores_below(self, run_ms: float) -> float:
        """Return the cores per second of tasks that run for less than a time.

        Tasks are spread evenly over each band. Those of the last one count as longer.
        """
        below = lower_ms = 0.0
        for cores, edge_ms in zip(self.cores_per_s, BAND_EDGES_MS, strict=False):
            below += cores * min(1.0, max(0.0, (run_ms - lower_ms) / (edge_ms - lower_ms)))
            lower_ms = edge_ms
        return below


def sum_inflow(rows: Sequence[DemandRow]) -> FleetInflow:
    """Return the inflow of all entries that report theirs.

    Others count as none, and so does their share of the capacity.
    """
    cores = [0.0] * BAND_COUNT
    busy = [0.0] * BAND_COUNT
    for row in rows:
        if not all(0 <= each < math.inf for each in (*row.cores, *row.core_ms)):
            # A malformed row must not affect the estimates of all jobs.
            continue
        for band, (each_cores, each_core_ms) in enumerate(
            zip(row.cores[:BAND_COUNT], row.core_ms, strict=False)
        ):
            cores[band] += each_cores
            busy[band] += each_core_ms / 1000
    return FleetInflow(cores, busy)


class RunCost:
    """Measure the core time that completed runs take, relative to what is expected of them.

    It is more than 1 if workers are slow or estimates are too low. Failed runs say nothing about
    how long others hold their cores.
    """

    __slots__ = ("_expected_core_ms", "_ran_core_ms")

    def __init__(self) -> None:
        self._ran_core_ms = self._expected_core_ms = 1.0

    def record_run(self, cores: float, ran_ms: float, expected_ms: float) -> None:
        """Record a completed run."""
        self._ran_core_ms += LEARNING_RATE * (cores * ran_ms - self._ran_core_ms)
        self._expected_core_ms += LEARNING_RATE * (cores * expected_ms - self._expected_core_ms)

    @property
    def ratio(self) -> float:
        """Return the core time taken per core time expected.

        Slower workers are not part of the capacity. Without the upper limit, a fleet that was slow
        could refuse all the jobs whose runs would show that it has recovered.
        """
        ratio = self._ran_core_ms / max(1.0, self._expected_core_ms)
        return min(UNHEALTHY_SLOWNESS, max(1 / UNHEALTHY_SLOWNESS, ratio))
