"""Test that an owner that lost its shards unnoticed reports nothing false about their keys."""

from __future__ import annotations

import pytest

from currantbarrow.exceptions import OwnershipError
from currantbarrow.jobs import JobRequest, JobStatus, make_job_id, shard_of
from currantbarrow.standins.fleet import Fleet, FleetPlan
from helpers import FleetTest

LEASE_MS = 3000.0
PERMISSION_MS = 2000.0


class TestOldOwner(FleetTest):
    def test_successor_answers_only_after_the_old_owner_has_lost_its_lease(self) -> None:
        answered_ms: list[float] = []

        async def scenario(fleet: Fleet) -> None:
            job = self._make_job_owned_by(fleet, "entry-1")
            await self._cut_all_links(fleet, "entry-1")
            answer = await self.submit(fleet, 0, job)
            assert answer.status is JobStatus.COMPLETE
            answered_ms.append(fleet.clock.monotonic_ms())
            with pytest.raises(OwnershipError):
                await fleet.entries["entry-1"].node.router.cancel("a", job.key, job.created_at_ms)

        self.run_fleet(scenario)
        assert len(answered_ms) == 1

    def test_shards_of_a_crashed_entry_are_available_once_its_lease_ends(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            await fleet.clock.sleep_ms(10_000)
            job = self._make_job_owned_by(fleet, "entry-1")
            crashed_ms = fleet.clock.monotonic_ms()
            await fleet.kill_entry("entry-1")
            await self.submit(fleet, 0, job)
            took_ms = fleet.clock.monotonic_ms() - crashed_ms
            assert took_ms <= LEASE_MS + 500.0

        self.run_fleet(scenario)

    def test_superseded_version_is_closed_without_its_panel(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            # A panel of two has no majority once one member is gone, so the first version can
            # only be closed because all its owners have moved on to a newer one.
            await fleet.kill_side("side-1")
            await fleet.clock.sleep_ms(30_000)
            job = self._make_job_owned_by(fleet, "entry-1")
            crashed_ms = fleet.clock.monotonic_ms()
            await fleet.kill_entry("entry-1")
            answer = await self.submit(fleet, 0, job)
            assert fleet.clock.monotonic_ms() - crashed_ms <= LEASE_MS + PERMISSION_MS + 2000.0
            assert answer.status is JobStatus.COMPLETE

        self.run_fleet(scenario, FleetPlan(entries=3, sides=2))

    def _make_job_owned_by(self, fleet: Fleet, entry: str) -> JobRequest:
        """Return a job whose shard is owned by an entry."""
        owner = fleet.entries[entry].node.options.incarnation
        assignment = fleet.entries[entry].node.cluster.assignment
        for number in range(1000):
            job = self.make_job(fleet, f"k{number}", [50.0])
            if assignment.owner_of(shard_of(make_job_id(job))) == owner:
                return job
        raise LookupError("no key for the entry")

    @staticmethod
    async def _cut_all_links(fleet: Fleet, entry: str) -> None:
        """Cut a process off from all others, which notice at once; callers still reach it."""
        node = fleet.entries[entry].node
        others = [name for name in (*fleet.entries, *fleet.sides) if name != entry]
        links = [peer.link for peer in node.sides.peers.values()]
        links += [peer.link for peer in node.entries.peers.values()]
        links += [
            peer.link
            for other in fleet.entries.values()
            for peer in other.node.entries.peers.values()
            if peer.member.name == entry
        ]
        for other in [*others, "log"]:
            fleet.fabric.cut(entry, other)
        for link in links:
            if link is not None:
                await link.close()
