"""Check that an owner that lost its shards without knowing says nothing false of their keys."""

from __future__ import annotations

import pytest

from currantbarrow.exceptions import OwnershipError
from currantbarrow.jobs import JobRequest, JobStatus, make_job_id, shard_of
from currantbarrow.standins.fleet import Fleet, FleetPlan
from helpers import FleetTest

LEASE_MS = 3000.0
PERMISSION_MS = 2000.0


class TestOldOwner(FleetTest):
    def test_successor_works_only_once_the_old_owner_may_not_speak(self) -> None:
        spoke_ms: list[float] = []

        async def scenario(fleet: Fleet) -> None:
            job = self._job_of(fleet, "entry-1")
            await self._reset_all_links(fleet, "entry-1")
            answer = await self.submit(fleet, 0, job)
            assert answer.status is JobStatus.COMPLETE
            spoke_ms.append(fleet.clock.monotonic_ms())
            with pytest.raises(OwnershipError):
                await fleet.entries["entry-1"].node.router.cancel("a", job.key, job.created_at_ms)

        self.run_fleet(scenario)
        assert len(spoke_ms) == 1

    def test_shards_of_a_crashed_entry_work_again_by_the_end_of_its_lease(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            await fleet.clock.sleep_ms(10_000)
            job = self._job_of(fleet, "entry-1")
            crashed_ms = fleet.clock.monotonic_ms()
            await fleet.kill_entry("entry-1")
            await self.submit(fleet, 0, job)
            took_ms = fleet.clock.monotonic_ms() - crashed_ms
            assert took_ms <= LEASE_MS + 500.0

        self.run_fleet(scenario)

    def test_version_that_all_owners_left_behind_needs_no_panel_to_be_closed(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            # With one of two members gone, the first panel has no majority ever again.
            await fleet.kill_side("side-1")
            await fleet.clock.sleep_ms(30_000)
            job = self._job_of(fleet, "entry-1")
            crashed_ms = fleet.clock.monotonic_ms()
            await fleet.kill_entry("entry-1")
            answer = await self.submit(fleet, 0, job)
            assert fleet.clock.monotonic_ms() - crashed_ms <= LEASE_MS + PERMISSION_MS + 2000.0
            assert answer.status is JobStatus.COMPLETE

        self.run_fleet(scenario, FleetPlan(entries=3, sides=2))

    def _job_of(self, fleet: Fleet, entry: str) -> JobRequest:
        """Return a job whose shard an entry owns."""
        owner = fleet.entries[entry].node.options.incarnation
        assignment = fleet.entries[entry].node.cluster.assignment
        for number in range(1000):
            job = self.make_job(fleet, f"k{number}", [50.0])
            if assignment.owner_of(shard_of(make_job_id(job))) == owner:
                return job
        raise LookupError("no key for the entry")

    @staticmethod
    async def _reset_all_links(fleet: Fleet, entry: str) -> None:
        """Cut a process off from all others, which learn it at once; callers still reach it."""
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
