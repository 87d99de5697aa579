"""Test that configuration changes reach all processes in time, despite outages and expiry."""

from __future__ import annotations

import asyncio
import collections

import pytest

from currantbarrow.exceptions import ClassConflict
from currantbarrow.jobs import JobStatus
from currantbarrow.logservice import CLASS_STREAM, CLUSTER_STREAM, ClassDefinition
from currantbarrow.standins.fleet import Fleet, FleetPlan
from helpers import FleetTest

IN_FORCE_MS = 11_000.0
SHORT_RETENTION_MS = 40_000.0
SMALL = FleetPlan(entries=3, sides=5)
SHORT = FleetPlan(entries=3, sides=5, log_retention_ms=SHORT_RETENTION_MS)


async def change(fleet: Fleet, entry: str, target_ms: float) -> int:
    """Change the class through one entry and return its new revision."""
    node = fleet.entries[entry].node
    based_on = node.classes.revision_of("quote")
    return await node.change_class("quote", based_on, ClassDefinition(target_ms), "operator")


def lagging(fleet: Fleet, revision: int) -> list[str]:
    """Return the processes that have not applied a revision yet."""
    states = {name: entry.node.classes for name, entry in fleet.entries.items()}
    states |= {name: side.node.classes for name, side in fleet.sides.items()}
    return [name for name, state in states.items() if state.revision_of("quote") < revision]


async def assert_in_force(fleet: Fleet, revision: int, accepted_ms: float) -> None:
    """Assert that all processes apply a revision within IN_FORCE_MS after its acceptance."""
    while lagging(fleet, revision):
        took_ms = fleet.clock.monotonic_ms() - accepted_ms
        assert took_ms < IN_FORCE_MS, lagging(fleet, revision)
        await fleet.clock.sleep_ms(50)


class TestInForce(FleetTest):
    def test_change_is_in_force_on_every_process(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            revision = await change(fleet, "entry-0", 250.0)
            await assert_in_force(fleet, revision, fleet.clock.monotonic_ms())

        self.run_fleet(scenario, SMALL)

    def test_entry_cut_off_from_the_log_alone_has_it_from_its_peers(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            fleet.fabric.cut("entry-2", "log")
            revision = await change(fleet, "entry-0", 250.0)
            await assert_in_force(fleet, revision, fleet.clock.monotonic_ms())
            assert fleet.entries["entry-2"].metrics.counters["log.moved_by_peer.classes"] == 1

        self.run_fleet(scenario, SMALL)

    def test_change_is_relayed_over_a_chain_of_entries_without_the_log(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            fleet.fabric.cut("entry-1", "log")
            fleet.fabric.cut("entry-2", "log")
            fleet.fabric.cut("entry-0", "entry-2")
            revision = await change(fleet, "entry-0", 250.0)
            await assert_in_force(fleet, revision, fleet.clock.monotonic_ms())

        self.run_fleet(scenario, SMALL)

    def test_change_is_in_force_in_time_with_a_slow_log(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            fleet.log.faults.read_delay_ms = 2000.0
            revision = await change(fleet, "entry-0", 250.0)
            await assert_in_force(fleet, revision, fleet.clock.monotonic_ms())

        self.run_fleet(scenario, SMALL)

    def test_change_read_by_one_entry_before_an_outage_reaches_the_others(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            for name in ("entry-1", "entry-2"):
                fleet.fabric.cut(name, "log")
            revision = await change(fleet, "entry-0", 250.0)
            fleet.log.faults.down = True
            await assert_in_force(fleet, revision, fleet.clock.monotonic_ms())

        self.run_fleet(scenario, SMALL)

    def test_racing_operators_get_one_winner_and_one_conflict(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            fleet.log.faults.lost_reply_share = 0.5
            outcomes = await asyncio.gather(
                *(change(fleet, f"entry-{n}", 200.0 + n) for n in range(3)),
                return_exceptions=True,
            )
            won = [outcome for outcome in outcomes if isinstance(outcome, int)]
            lost = [getattr(outcome, "code", outcome) for outcome in outcomes]
            assert len(won) == 1
            assert lost.count("class_conflict") == 2
            await assert_in_force(fleet, won[0], fleet.clock.monotonic_ms())

        self.run_fleet(scenario, SMALL)


class TestRepeatedChange(FleetTest):
    def test_change_repeated_at_another_entry_is_made_once(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            first, other = fleet.entries["entry-0"].node, fleet.entries["entry-1"].node
            based_on = first.classes.revision_of("quote")
            wanted = ClassDefinition(250.0)
            made = await first.change_class("quote", based_on, wanted, "ana", "c1")
            await fleet.clock.sleep_ms(100)
            assert await other.change_class("quote", based_on, wanted, "ana", "c1") == made
            with pytest.raises(ClassConflict):
                await other.change_class("quote", based_on, ClassDefinition(9.0), "bo", "c1")

        self.run_fleet(scenario, SMALL)

    def test_change_repeated_before_the_first_was_read_is_made_once(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            nodes = [entry.node for entry in fleet.entries.values()]
            based_on = nodes[0].classes.revision_of("quote")
            made = await asyncio.gather(
                *(
                    node.change_class("quote", based_on, ClassDefinition(2.0), "ana", "c1")
                    for node in nodes
                )
            )
            assert len(set(made)) == 1
            assert len(nodes[0].classes.history("quote")) == 2

        self.run_fleet(scenario, SMALL)


class TestStartWithoutLog(FleetTest):
    def test_started_entry_gets_the_newest_state_from_its_peers(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            revision = await change(fleet, "entry-0", 250.0)
            await assert_in_force(fleet, revision, fleet.clock.monotonic_ms())
            await fleet.kill_entry("entry-2")
            fleet.log.faults.down = True
            started_ms = fleet.clock.monotonic_ms()
            await fleet.start_entry(2)
            await assert_in_force(fleet, revision, started_ms)
            answer = await self.submit(fleet, 2, self.make_job(fleet, "k", [50.0]))
            assert answer.status in (JobStatus.COMPLETE, JobStatus.REFUSED)

        self.run_fleet(scenario, SMALL)

    def test_side_processes_restore_the_state_after_all_entries_have_restarted(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            revision = await change(fleet, "entry-0", 250.0)
            await assert_in_force(fleet, revision, fleet.clock.monotonic_ms())
            fleet.log.faults.down = True
            for name in list(fleet.entries):
                await fleet.kill_entry(name)
            started_ms = fleet.clock.monotonic_ms()
            for number in range(3):
                await fleet.start_entry(number)
            await assert_in_force(fleet, revision, started_ms)

        self.run_fleet(scenario, SMALL)

    def test_stale_peer_does_not_move_a_state_back(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            stale = "entry-1"
            others = [name for name in (*fleet.entries, *fleet.sides) if name != stale]
            fleet.fabric.cut(stale, "log")
            for other in others:
                fleet.fabric.cut(stale, other)
            revision = await change(fleet, "entry-0", 250.0)
            await fleet.clock.sleep_ms(3000)
            fleet.log.faults.down = True
            await fleet.kill_entry("entry-2")
            for other in others:
                fleet.fabric.restore(stale, other)
            seen: list[int] = []
            node = (await fleet.start_entry(2)).node
            node.class_follower.on_change(lambda: seen.append(node.classes.offset))
            await assert_in_force(fleet, revision, fleet.clock.monotonic_ms())
            assert seen == sorted(seen)

        self.run_fleet(scenario, SMALL)


class TestExpiry(FleetTest):
    async def _expire(self, fleet: Fleet) -> int:
        """Wait until the records of the fleet's start have expired; return the class revision."""
        fleet.log.faults.retention_ms = SHORT_RETENTION_MS
        revision = await change(fleet, "entry-0", 250.0)
        await fleet.clock.sleep_ms(2 * SHORT_RETENTION_MS)
        return revision

    def test_reader_after_expiry_gets_the_complete_state(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            revision = await self._expire(fleet)
            await fleet.kill_entry("entry-2")
            process = await fleet.start_entry(2)
            await fleet.wait_ready()
            await assert_in_force(fleet, revision, fleet.clock.monotonic_ms())
            assert process.metrics.counters["log.expired_skips"] >= 2
            reference = fleet.entries["entry-0"].node
            await fleet.clock.sleep_ms(2000)
            assert process.node.cluster.dump() == reference.cluster.dump()
            assert process.node.classes.dump() == reference.classes.dump()

        # No peers are configured, so the state can come from the log only.
        self.run_fleet(scenario, FleetPlan(3, 5, log_retention_ms=SHORT_RETENTION_MS, peers=False))

    def test_fleet_writes_few_redundant_snapshots(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            await self._expire(fleet)
            written: collections.Counter[str] = collections.Counter()
            for entry in fleet.entries.values():
                written.update(entry.metrics.counters)
            # Four intervals per retention, two retentions, and one snapshot at the start.
            for stream in (CLUSTER_STREAM, CLASS_STREAM):
                assert 4 <= written[f"log.snapshots_written.{stream}"] <= 2 * 9

        self.run_fleet(scenario, SHORT)

    def test_snapshots_go_on_after_an_outage_of_half_the_retention(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            revision = await self._expire(fleet)
            fleet.log.faults.down = True
            await fleet.clock.sleep_ms(SHORT_RETENTION_MS / 2)
            fleet.log.faults.down = False
            await fleet.clock.sleep_ms(SHORT_RETENTION_MS)
            await fleet.kill_entry("entry-2")
            await fleet.start_entry(2)
            await fleet.wait_ready()
            await assert_in_force(fleet, revision, fleet.clock.monotonic_ms())

        self.run_fleet(scenario, FleetPlan(3, 5, log_retention_ms=SHORT_RETENTION_MS, peers=False))

    def test_takeover_after_expiry_starts_nothing_twice(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            await self._expire(fleet)
            jobs = [self.make_job(fleet, f"k{n}", [300.0]) for n in range(20)]
            first = [asyncio.create_task(self.submit(fleet, 0, job)) for job in jobs]
            await fleet.clock.sleep_ms(100)
            await fleet.kill_entry("entry-1")
            await fleet.start_entry(1)
            await asyncio.gather(*first)
            again = await asyncio.gather(*(self.submit(fleet, 1, job) for job in jobs))
            assert all(answer.status is not None for answer in again)

        self.run_fleet(scenario, SHORT)
