"""Measure the load of the fleet, and decide with it which submitted jobs to admit.

Designed for seconds in which more work arrives than the fleet can do, at entries that see different
parts of it. The state is rebuilt from submissions, ends of runs and pings within seconds, so that a
restarted entry needs none of the former one.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable

import msgspec

from currantbarrow.direct.admission import Backlog, Refusal, check_admission
from currantbarrow.direct.demand import DemandBands, PeerDemand, WorkAhead
from currantbarrow.direct.fleet import FleetCapacity
from currantbarrow.direct.inflow import FleetInflow, InflowMeter, RunCost, sum_inflow
from currantbarrow.direct.job import OpenJob
from currantbarrow.direct.retry import RefusedWork, choose_retry_s
from currantbarrow.protocol.direct import DemandRow

__all__ = ["Scarcity"]

# Rows and sums are computed at most this often: rows are sent to each peer in turn, and an entry
# takes up to 100 jobs a second.
ROWS_MAX_AGE_MS = 20.0
# Less work than this is not reported, so that pings end some seconds after the last job.
MIN_OFFERED_CORES_PER_S = 1.0


class _Rows(msgspec.Struct, frozen=True):
    computed_ms: float
    demand: list[DemandRow]
    offered: list[DemandRow]


class _FleetInflow(msgspec.Struct, frozen=True):
    computed_ms: float
    inflow: FleetInflow


class Scarcity:
    """Track the load of the fleet as this entry and its peers see it."""

    def __init__(self, rng: random.Random) -> None:
        self.peers = PeerDemand()
        self._rng = rng
        # The addresses of the other entries that accept jobs.
        self._addresses: tuple[str, ...] = ()
        self._inflow: dict[str, InflowMeter] = {}
        self._fleet_inflow: dict[str, _FleetInflow] = {}
        self._cost = RunCost()
        self._refused = RefusedWork()
        self._rows = _Rows(-math.inf, [], [])

    @property
    def entry_count(self) -> int:
        """Return the number of entries that share the workers, including this one."""
        return len(self._addresses) + 1

    def set_peers(self, addresses: Iterable[str]) -> None:
        """Set the addresses of the other entries that accept jobs."""
        former, self._addresses = self._addresses, tuple(addresses)
        for address in set(former) - set(self._addresses):
            self.peers.forget(address)

    def record_run(self, cores: float, ran_ms: float, expected_ms: float) -> None:
        """Record a completed run."""
        self._cost.record_run(cores, ran_ms, expected_ms)

    def admit(
        self,
        job: OpenJob,
        waiting: Iterable[OpenJob],
        capacity: FleetCapacity,
        now_ms: float,
        *,
        confined: bool = False,
    ) -> Refusal | None:
        """Return why a submitted job is refused for lack of capacity, or None to admit it.

        For the job of a confined queue, the capacity and the waiting jobs are those of its cell.
        """
        core_ms, run_ms = job.waiting_core_ms(), max(job.expected_ms, default=0.0)
        meter = self._inflow.setdefault(job.queue.service, InflowMeter())
        meter.record(run_ms, job.waiting_cores(), core_ms, now_ms)
        backlog = self.create_backlog(job, waiting, capacity, now_ms, confined=confined)
        refusal = check_admission(backlog, job.times.latest_start_ms - now_ms)
        if refusal is None:
            return None
        self._refused.record(core_ms, now_ms)
        retry_s = self.retry_after_s(backlog, now_ms)
        return msgspec.structs.replace(refusal, retry_after_s=retry_s)

    def retry_after_s(self, backlog: Backlog, now_ms: float) -> int:
        """Return when the caller of a refused job may retry."""
        # Callers of the peers are refused, too, and come back at the same time.
        refused_core_ms = self._refused.core_ms(now_ms) * self.entry_count
        return choose_retry_s(backlog, refused_core_ms, self._rng.random())

    def create_backlog(
        self,
        job: OpenJob,
        waiting: Iterable[OpenJob],
        capacity: FleetCapacity,
        now_ms: float,
        *,
        confined: bool = False,
    ) -> Backlog:
        """Return the work ahead of a job at this entry and at the peers that report theirs."""
        service = job.queue.service
        rank = job.rank(now_ms)
        ahead_cores = 0.0
        total_core_ms = job.waiting_core_ms()
        for other in waiting:
            if other is job or other.queue.service != service:
                continue
            total_core_ms += other.waiting_core_ms()
            if other.rank(now_ms) < rank:
                ahead_cores += other.waiting_cores()
        slack_ms = job.times.latest_start_ms - now_ms
        if confined:
            # Peers do not report the work of single queues, so each entry counts on its own part.
            elsewhere = WorkAhead(0.0, 0.0, len(self._addresses))
        else:
            elsewhere = self.peers.work_ahead(service, slack_ms, self._addresses, now_ms)
        known_entries = self.entry_count - elsewhere.unknown_entries
        cores = capacity.cores * known_entries / self.entry_count
        inflow = self.inflow(service, now_ms)
        run_ms = max((1.0, *job.expected_ms))
        released_per_s = inflow.released_per_s(cores) / self._cost.ratio
        # Jobs of shorter tasks have less slack.
        urgent_per_s = inflow.cores_below(run_ms)
        if confined or released_per_s <= 0:
            # In a cell, or as long as no arrivals are measured, only runs like the job's count.
            released_per_s, urgent_per_s = cores * 1000 / run_ms, 0.0
        return Backlog(
            ahead_cores + elsewhere.cores,
            job.waiting_cores(),
            capacity.free_cores,
            total_core_ms + elsewhere.total_core_ms,
            cores,
            released_per_s,
            urgent_per_s,
        )

    def rows(
        self, waiting: Iterable[OpenJob], now_ms: float
    ) -> tuple[list[DemandRow], list[DemandRow]]:
        """Return the work that waits at this entry and what arrives per second, for the peers."""
        if now_ms - self._rows.computed_ms < ROWS_MAX_AGE_MS:
            return self._rows.demand, self._rows.offered
        bands: dict[str, DemandBands] = {}
        for job in waiting:
            late = job.rank(now_ms)[0] > 0
            bands.setdefault(job.queue.service, DemandBands()).add(
                job.times.latest_start_ms - now_ms,
                job.waiting_cores(),
                job.waiting_core_ms(),
                is_late=late,
            )
        demand = [each.row(service) for service, each in bands.items()]
        rows = [meter.row(service, now_ms) for service, meter in self._inflow.items()]
        offered = [row for row in rows if sum(row.cores) >= MIN_OFFERED_CORES_PER_S]
        self._rows = _Rows(now_ms, demand, offered)
        return demand, offered

    def released_share_per_ms(self, service: str, now_ms: float) -> float:
        """Return the cores that this entry gets from one busy core in a millisecond."""
        released_per_s = self.inflow(service, now_ms).released_per_s(1.0) / self._cost.ratio
        return released_per_s / 1000 / self.entry_count

    def inflow(self, service: str, now_ms: float) -> FleetInflow:
        """Return what arrives per second at all entries."""
        cached = self._fleet_inflow.get(service)
        if cached is not None and now_ms - cached.computed_ms < ROWS_MAX_AGE_MS:
            return cached.inflow
        meter = self._inflow.setdefault(service, InflowMeter())
        peers = self.peers.offered(service, self._addresses, now_ms)
        inflow = sum_inflow((meter.row(service, now_ms), *peers))
        self._fleet_inflow[service] = _FleetInflow(now_ms, inflow)
        return inflow
