"""Tests of heartbeat scheduling, lease confirmation and the stamps of starts."""

from __future__ import annotations

import itertools

from currantbarrow.protocol import Hello, Message, Start
from currantbarrow.protocol.heartbeats import HeartbeatSchedule
from currantbarrow.standins.fleet import Fleet
from helpers import FleetTest


class TestHeartbeatSchedule:
    def test_no_link_is_idle_for_longer_than_the_interval(self) -> None:
        schedule = HeartbeatSchedule(1000.0)
        sent_ms = [100.0, 260.0, 1310.0]
        for check in range(40):
            now_ms = check * schedule.check_interval_ms
            for message_ms in [each for each in (100.0, 260.0, 1310.0) if each <= now_ms]:
                if message_ms > now_ms - schedule.check_interval_ms:
                    schedule.record_sent("a", message_ms)
            if schedule.is_due("a", now_ms):
                schedule.record_sent("a", now_ms)
                sent_ms.append(now_ms)
        sent_ms.sort()
        gaps = [later - earlier for earlier, later in itertools.pairwise(sent_ms)]
        assert max(gaps) <= schedule.interval_ms

    def test_busy_link_gets_no_heartbeat(self) -> None:
        schedule = HeartbeatSchedule(1000.0)
        schedule.record_sent("a", 900.0)
        assert not schedule.is_due("a", 1000.0)


class TestLease(FleetTest):
    def test_lease_is_held_while_two_panel_members_are_paused(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            panel = fleet.entries["entry-0"].node.cluster.assignment.panel
            for incarnation in panel[:2]:
                fleet.pause(incarnation.partition(".")[0])
            for _ in range(100):
                await fleet.clock.sleep_ms(100)
                assert fleet.entries["entry-0"].node.lease.is_held()

        self.run_fleet(scenario)

    def test_stamps_of_starts_are_younger_than_the_permission(self) -> None:
        ages_ms: list[float] = []

        async def scenario(fleet: Fleet) -> None:
            def observe(sender: Hello, receiver: Hello, message: Message) -> None:
                if isinstance(message, Start):
                    ages_ms.append(fleet.clock.monotonic_ms() - message.stamp_ms)

            fleet.fabric.observers.append(observe)
            for number in range(40):
                await self.submit(fleet, number % 3, self.make_job(fleet, f"k{number}", [170.0]))

        self.run_fleet(scenario)
        assert len(ages_ms) == 40
        assert max(ages_ms) < 1500.0
