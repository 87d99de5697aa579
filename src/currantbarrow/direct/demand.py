"""Combine the work that waits at all entries, so that each decides by the load of the whole fleet.

Designed for entries of unequal size whose callers send at different rates: an entry that assumes
that all have its own backlog refuses jobs while others have capacity. Pings between entries carry
the work of each sender by the time that it can still wait. Rows have a fixed size, however much
work waits. A peer whose rows are missing or stale counts as having the same work and the same share
of the capacity as this entry.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from currantbarrow.protocol.direct import DemandRow, EntryPing

__all__ = [
    "BAND_EDGES_MS",
    "DEMAND_MAX_AGE_MS",
    "DemandBands",
    "PeerDemand",
    "WorkAhead",
    "find_band",
]

# Upper bounds of the bands. Jobs have slacks from the target (some 60 ms) to a few seconds; each
# band holds jobs that differ by less than a factor of two.
BAND_EDGES_MS = (64.0, 128.0, 256.0, 512.0, 1024.0, 2048.0)
# Unstarted jobs that are late form the last band, since they are dispatched last.
LATE_BAND = len(BAND_EDGES_MS) + 1
BAND_COUNT = len(BAND_EDGES_MS) + 2
# Peers with work send rows at least every 400 ms. Work with a slack of less than a second has
# started or ended by the time that rows are this old.
DEMAND_MAX_AGE_MS = 1000.0
# More work than all jobs that an entry can hold; sums of it are finite.
MAX_WORK = 2.0**100


def find_band(time_ms: float) -> int:
    """Return the index of the band that holds a time."""
    for band, edge_ms in enumerate(BAND_EDGES_MS):
        if time_ms < edge_ms:
            return band
    return len(BAND_EDGES_MS)


class DemandBands:
    """Sum up cores and core-milliseconds by band."""

    __slots__ = ("core_ms", "cores")

    def __init__(self) -> None:
        self.cores = [0.0] * BAND_COUNT
        self.core_ms = [0.0] * BAND_COUNT

    def add(self, slack_ms: float, cores: float, core_ms: float, *, is_late: bool = False) -> None:
        """Add work with a slack; late work has its own band."""
        band = LATE_BAND if is_late else find_band(slack_ms)
        self.cores[band] += cores
        self.core_ms[band] += core_ms

    def row(self, service: str) -> DemandRow:
        """Return the sums as a row of a message."""
        return DemandRow(
            service, [round(each, 3) for each in self.cores], [round(each) for each in self.core_ms]
        )


class WorkAhead(msgspec.Struct, frozen=True):
    """Describe the work at a group of entries, and how many of all entries are not in the group."""

    # Cores of waiting tasks with a smaller slack than the job's.
    cores: float
    # Core-milliseconds of all waiting tasks.
    total_core_ms: float
    unknown_entries: int


class _PeerRows(msgspec.Struct, frozen=True):
    received_ms: float
    demand: list[DemandRow]
    # None if the peer does not say.
    offered: list[DemandRow] | None


class PeerDemand:
    """Keep the newest work that each peer has reported."""

    __slots__ = ("_rows",)

    def __init__(self) -> None:
        self._rows: dict[str, _PeerRows] = {}

    def record(self, ping: EntryPing, now_ms: float) -> None:
        """Record the work that a ping reports; a ping without any leaves the earlier report."""
        if ping.demand is not None:
            offered = None if ping.offered is None else _valid_rows(ping.offered)
            self._rows[ping.address] = _PeerRows(now_ms, _valid_rows(ping.demand), offered)

    def forget(self, address: str) -> None:
        """Remove the work of an entry that has left."""
        self._rows.pop(address, None)

    def work_ahead(
        self, service: str, slack_ms: float, peers: Iterable[str], now_ms: float
    ) -> WorkAhead:
        """Return the work of the peers with fresh reports that is dispatched before a job."""
        cores = total_core_ms = 0.0
        unknown = 0
        for address in peers:
            rows = self._fresh_rows(address, now_ms)
            if rows is None:
                unknown += 1
                continue
            for row in rows.demand:
                if row.service == service:
                    cores += _cores_below(row, slack_ms + now_ms - rows.received_ms)
                    total_core_ms += sum(row.core_ms)
        return WorkAhead(cores, total_core_ms, unknown)

    def offered(self, service: str, peers: Iterable[str], now_ms: float) -> tuple[DemandRow, ...]:
        """Return what arrives per second at each peer with a fresh report."""
        fresh = [self._fresh_rows(address, now_ms) for address in peers]
        return tuple(
            self._service_row(rows.offered, service)
            for rows in fresh
            if rows is not None and rows.offered is not None
        )

    def is_any_waiting(self, now_ms: float) -> bool:
        """Return whether work waits at a peer with a fresh report."""
        return any(
            rows.demand and now_ms - rows.received_ms <= DEMAND_MAX_AGE_MS
            for rows in self._rows.values()
        )

    def _fresh_rows(self, address: str, now_ms: float) -> _PeerRows | None:
        rows = self._rows.get(address)
        if rows is None or now_ms - rows.received_ms > DEMAND_MAX_AGE_MS:
            return None
        return rows

    @staticmethod
    def _service_row(rows: list[DemandRow], service: str) -> DemandRow:
        for row in rows:
            if row.service == service:
                return row
        return DemandRow(service, [], [])


def _valid_rows(rows: list[DemandRow]) -> list[DemandRow]:
    """Return the rows without those whose values are no amounts of work."""
    return [
        row for row in rows if all(0 <= each <= MAX_WORK for each in (*row.cores, *row.core_ms))
    ]


def _cores_below(row: DemandRow, slack_ms: float) -> float:
    """Return the cores of the work with less slack, which is spread evenly over each band."""
    below = lower_ms = 0.0
    for cores, edge_ms in zip(row.cores, BAND_EDGES_MS, strict=False):
        share = (slack_ms - lower_ms) / (edge_ms - lower_ms)
        below += cores * min(1.0, max(0.0, share))
        lower_ms = edge_ms
    # The band without an upper bound is ahead only of jobs that have more than twice its slack.
    if slack_ms > 2 * lower_ms and len(row.cores) > len(BAND_EDGES_MS):
        below += row.cores[len(BAND_EDGES_MS)]
    return below
