"""Check each decision of direct dispatch by itself, on the load pattern that it answers."""

from __future__ import annotations

import collections
import random
from typing import Any

import msgspec
import pytest

from currantbarrow.direct.admission import Backlog, ReleaseRate, admit
from currantbarrow.direct.aperture import (
    NARROW_AFTER_MS,
    WARM_LINKS,
    WIDEN_LINKS,
    Aperture,
    order_links,
)
from currantbarrow.direct.estimates import RunTimes
from currantbarrow.direct.job import longest_chain_ms
from currantbarrow.direct.model import Room, StepSpec, WorkQueue
from currantbarrow.direct.placement import WorkerOffer, choose_worker
from currantbarrow.direct.reporting import needs_prompt_report
from currantbarrow.direct.room import RoomBook
from currantbarrow.direct.routing import Configuration
from currantbarrow.direct.session import LEASE_MS, EntryLease, SideLiveness
from currantbarrow.direct.soundness import FAILED_JOBS_IN_A_ROW, Soundness
from currantbarrow.direct.standings import KEPT_MS, StandingBook
from currantbarrow.direct.urgency import JobTimes, create_times
from currantbarrow.protocol.direct import Standing, TakenRow, WorkerState
from currantbarrow.types import Clock


class SetClock:
    def __init__(self) -> None:
        self.now_ms = 0.0

    def monotonic_ms(self) -> float:
        return self.now_ms

    def wall_ms(self) -> int:
        return int(self.now_ms)

    async def sleep_ms(self, delay_ms: float) -> None:
        self.now_ms += delay_ms


def offer(name: str, cpu: int = 8000, slowness: float = 1.0, near: bool = True) -> WorkerOffer:
    return WorkerOffer(name, Room(cpu, 1000, 0), slowness, near, False, frozenset({"a"}))


class TestUrgency:
    def test_job_with_less_slack_goes_first(self) -> None:
        short = create_times(0.0, 120.0, 1.6, 60.0, 0.0)
        long = create_times(0.0, 1800.0, 1.6, 60.0, 0.0)
        assert short.rank(10.0) < long.rank(10.0)

    def test_long_job_goes_first_once_its_slack_is_spent(self) -> None:
        long = create_times(0.0, 1800.0, 1.6, 60.0, 0.0)
        short = create_times(1100.0, 120.0, 1.6, 60.0, 0.0)
        assert long.rank(1100.0) < short.rank(1100.0)

    def test_late_job_goes_behind_all_that_can_be_on_time(self) -> None:
        late = create_times(0.0, 120.0, 1.6, 60.0, 0.0)
        fresh = create_times(500.0, 1800.0, 1.6, 60.0, 0.0)
        assert fresh.rank(500.0) < late.rank(500.0)

    def test_late_job_that_was_begun_goes_first_while_it_is_of_use(self) -> None:
        begun = create_times(0.0, 120.0, 1.6, 60.0, 0.0)
        fresh = create_times(500.0, 120.0, 1.6, 60.0, 0.0)
        assert begun.rank(500.0, begun=True) < fresh.rank(500.0)
        assert begun.rank(700.0, begun=True) > fresh.rank(500.0)

    def test_job_of_no_more_use_goes_last(self) -> None:
        useless = create_times(0.0, 120.0, 1.6, 60.0, 0.0)
        late = create_times(400.0, 120.0, 1.6, 60.0, 0.0)
        assert late.rank(700.0) < useless.rank(700.0)

    def test_late_job_is_sent_away_after_as_long_again_as_it_could_wait(self) -> None:
        times = create_times(0.0, 120.0, 1.6, 60.0, 0.0)
        assert not times.has_waited_in_vain(260.0)
        assert times.has_waited_in_vain(270.0)

    def test_patience_bounds_the_use_of_an_answer(self) -> None:
        assert create_times(0.0, 100.0, 1.6, 60.0, 300.0).useless_ms == 300.0


class TestAdmission:
    @staticmethod
    def backlog(
        ahead: float, own: float = 10.0, free: float = 0.0, cores: float = 100.0
    ) -> Backlog:
        # Runs of half a second give 200 of 100 cores back each second.
        return Backlog(ahead, own, free, (ahead + own) * 500, cores, 2 * cores)

    @pytest.mark.parametrize("slack_ms", [0.0, 130.0])
    def test_idle_fleet_takes_everything(self, slack_ms: float) -> None:
        assert admit(self.backlog(0.0, free=100.0), slack_ms) is None

    def test_job_is_refused_that_would_wait_longer_than_its_slack(self) -> None:
        refusal = admit(self.backlog(95.0), 130.0)
        assert refusal is not None
        assert refusal.wait_ms == 500.0
        assert refusal.retry_after_s == 1

    def test_job_with_more_slack_is_taken_at_the_same_load(self) -> None:
        assert admit(self.backlog(95.0), 1100.0) is None

    def test_few_long_tasks_ahead_make_a_short_wait(self) -> None:
        """Replay one long job ahead of a short one on a full fleet of 273 cores an entry."""
        rate = ReleaseRate()
        for _ in range(300):
            for cores, ran_ms in ((49.6, 120.0), (12.4, 400.0), (24.8, 1800.0 / 4)):
                rate.note(cores, ran_ms)
        backlog = Backlog(24.8, 12.4, 0.0, 24.8 * 1800, 273.0, rate.per_s(273.0))
        # By the work ahead it would be 163 ms, and a hold with 130 ms of slack be refused.
        assert 24.8 * 1800 / 273 > 130
        assert admit(backlog, 130.0) is None

    def test_wait_is_refused_that_is_told_to_last(self) -> None:
        refusal = admit(self.backlog(4000.0), 130.0)
        assert refusal is not None
        assert refusal.retry_after_s == 20

    def test_job_is_refused_whose_queue_is_held_up_by_what_is_more_urgent(self) -> None:
        """Replay a queue whose jobs wait, while little stands before a new one."""
        held_up = Backlog(5.0, 5.0, 0.0, 2500.0, 100.0, 200.0, oldest_ms=250.0)
        refusal = admit(held_up, 300.0)
        assert refusal is not None
        assert refusal.wait_ms == 375.0

    def test_fleet_without_workers_takes_nothing(self) -> None:
        refusal = admit(Backlog(0.0, 0.0, 0.0, 0.0, 0.0, 0.0), 1000.0)
        assert refusal is not None
        assert refusal.reason == "no_worker"


class TestPlacement:
    def choose(self, *offers: WorkerOffer, avoid: str = "", label: str = "") -> str | None:
        chosen = choose_worker(
            Room(2000, 10, 0), label, frozenset({avoid}), list(offers), random.Random(1)
        )
        return chosen.worker if chosen is not None else None

    def test_faster_worker_is_chosen_over_a_nearer_one(self) -> None:
        assert self.choose(offer("slow", slowness=1.25), offer("fast", near=False)) == "fast"

    def test_nearer_worker_is_chosen_among_alike(self) -> None:
        assert self.choose(offer("far", near=False), offer("near", slowness=1.05)) == "near"

    def test_worker_without_room_is_left_out(self) -> None:
        assert self.choose(offer("full", cpu=1999), offer("free", slowness=1.8)) == "free"

    def test_worker_out_of_order_gets_nothing(self) -> None:
        assert self.choose(offer("stuck", slowness=6.0)) is None

    def test_worker_on_trial_is_chosen_only_when_no_other_has_room(self) -> None:
        tried = offer("tried", slowness=6.0)
        tried.on_trial = True
        assert self.choose(tried) == "tried"
        assert self.choose(tried, offer("sound", slowness=1.6)) == "sound"

    def test_task_that_failed_goes_elsewhere_if_there_is_an_elsewhere(self) -> None:
        assert self.choose(offer("a"), offer("b", slowness=1.5), avoid="a") == "b"
        assert self.choose(offer("a"), avoid="a") == "a"

    def test_label_that_no_worker_has_makes_a_task_wait(self) -> None:
        assert self.choose(offer("a"), label="gpu") is None

    def test_alike_workers_share_the_load_of_entries_that_know_the_same(self) -> None:
        offers = [offer(f"w{place}") for place in range(5)]
        chosen = set()
        for seed in range(50):
            best = choose_worker(Room(2000, 10, 0), "", frozenset(), offers, random.Random(seed))
            assert best is not None
            chosen.add(best.worker)
        assert len(chosen) == 5


class TestSoundness:
    def test_one_job_that_fails_often_is_not_the_workers_fault(self) -> None:
        soundness = Soundness()
        assert not any(soundness.note_failed("job", 0.0) for _ in range(20))

    def test_worker_that_fails_many_jobs_goes_on_trial(self) -> None:
        soundness = Soundness()
        verdicts = [soundness.note_failed(f"job-{n}", 0.0) for n in range(FAILED_JOBS_IN_A_ROW)]
        assert verdicts == [False] * (FAILED_JOBS_IN_A_ROW - 1) + [True]
        assert not soundness.may_begin(10.0, 0)

    def test_success_clears_the_failures_before(self) -> None:
        soundness = Soundness()
        for number in range(10):
            assert not soundness.note_failed(f"job-{number}", 0.0)
            soundness.note_done(100.0, 100.0, 0.0)

    def test_worker_on_trial_gets_one_run_at_a_time_and_is_trusted_after_a_good_one(self) -> None:
        soundness = Soundness()
        assert soundness.note_overdue(0.0, [5.0, 6.0])
        assert not soundness.may_begin(100.0, 0)
        assert soundness.may_begin(500.0, 0)
        assert not soundness.may_begin(500.0, 1)
        soundness.note_done(100.0, 100.0, 0.0)
        assert soundness.may_begin(501.0, 5)

    def test_slow_run_on_trial_keeps_the_worker_there(self) -> None:
        soundness = Soundness()
        soundness.note_overdue(0.0, [6.0, 6.0])
        soundness.note_done(600.0, 100.0, 0.0)
        assert soundness.on_trial

    def test_worker_that_turned_slow_goes_on_getting_trials_until_it_is_well(self) -> None:
        """Replay a worker that takes six times as long for a while, without standing still."""
        soundness = Soundness()
        for place in range(20):
            soundness.note_done(600.0, 100.0, place * 10.0)
        assert soundness.on_trial
        assert soundness.may_begin(100_000.0, 0)
        soundness.note_done(100.0, 100.0, 100_000.0)
        assert not soundness.on_trial

    def test_slowest_kind_of_worker_is_not_out_of_order(self) -> None:
        soundness = Soundness()
        rng = random.Random(1)
        for _ in range(5000):
            soundness.note_done(160.0 * rng.lognormvariate(0, 0.35), 100.0, 0.0)
            assert not soundness.on_trial

    def test_single_long_job_puts_no_worker_on_trial(self) -> None:
        soundness = Soundness()
        assert not soundness.note_overdue(0.0, [9.0, 1.0, 0.5])

    def test_slowness_follows_the_runs(self) -> None:
        soundness = Soundness()
        for _ in range(60):
            soundness.note_done(125.0, 100.0, 0.0)
        assert soundness.slowness == pytest.approx(1.25, rel=0.01)


class TestAperture:
    SIDES = [f"10.0.0.{number}:1" for number in range(75)]
    ENTRIES = [f"10.1.0.{number}:1" for number in range(14)]

    def slices(self, width: int) -> collections.Counter[str]:
        return collections.Counter(
            side
            for entry in self.ENTRIES
            for side in order_links(entry, self.ENTRIES, self.SIDES)[:width]
        )

    def test_each_worker_is_in_about_as_many_slices_as_any_other(self) -> None:
        shares = self.slices(WARM_LINKS)
        assert set(shares) == set(self.SIDES)
        assert max(shares.values()) - min(shares.values()) <= 1

    def test_all_links_are_taken_in_at_last(self) -> None:
        assert sorted(order_links(self.ENTRIES[3], self.ENTRIES, self.SIDES)) == sorted(self.SIDES)

    def test_small_fleet_is_warm_as_a_whole(self) -> None:
        aperture = Aperture()
        assert aperture.width(1000.0) >= 11
        assert not aperture.widen(11, 1000.0)

    def test_full_slice_widens_until_all_are_in_and_narrows_once_the_burst_is_over(self) -> None:
        aperture = Aperture()
        now_ms = 10_000.0
        for _ in range(60):
            now_ms += 5.0
            aperture.widen(len(self.SIDES), now_ms)
        assert aperture.width(now_ms) >= len(self.SIDES)
        assert aperture.width(now_ms + NARROW_AFTER_MS) >= len(self.SIDES)
        assert aperture.width(now_ms + NARROW_AFTER_MS + 10_000.0) == WARM_LINKS

    def test_short_lack_of_room_takes_in_few(self) -> None:
        aperture = Aperture()
        assert aperture.widen(len(self.SIDES), 10_000.0)
        assert not aperture.widen(len(self.SIDES), 10_001.0)
        assert aperture.width(10_001.0) == WARM_LINKS + WIDEN_LINKS


class TestReporting:
    ROOMY = WorkerState("w", "s", True, 16_000, 32_000, 0, 8000, 30_000, 0, 0, 0, 1.0, False, [])

    def test_change_where_there_is_plenty_of_room_can_wait(self) -> None:
        assert not needs_prompt_report(
            self.ROOMY, msgspec.structs.replace(self.ROOMY, free_cpu_millis=6400)
        )

    @pytest.mark.parametrize(
        "change",
        [
            {"free_cpu_millis": 4000},
            {"free_memory_mb": 4000},
            {"waiting_cpu_millis": 6000},
            {"accepting": False},
            {"on_trial": True},
            {"worker": "v"},
        ],
    )
    def test_change_that_placing_depends_on_is_told_at_once(self, change: dict[str, Any]) -> None:
        changed = msgspec.structs.replace(self.ROOMY, **change)
        assert needs_prompt_report(self.ROOMY, changed)
        # Room that is given back is waited for as well.
        assert needs_prompt_report(changed, self.ROOMY)

    def test_first_state_is_news(self) -> None:
        assert needs_prompt_report(None, self.ROOMY)


class TestRoom:
    def test_room_is_never_overbooked(self) -> None:
        book = RoomBook(Room(10_000, 100, 0))
        assert book.book("a", Room(6000, 10, 0))
        assert not book.book("b", Room(6000, 10, 0))
        book.release("a")
        assert book.book("b", Room(6000, 10, 0))

    def test_each_measure_counts(self) -> None:
        book = RoomBook(Room(10_000, 100, 1))
        assert not book.book("a", Room(1000, 101, 0))
        assert not book.book("a", Room(1000, 10, 2))

    def test_release_counts_once(self) -> None:
        book = RoomBook(Room(10_000, 100, 0))
        book.book("a", Room(6000, 10, 0))
        book.release("a")
        book.release("a")
        assert book.free == Room(10_000, 100, 0)


class TestSession:
    def test_orders_end_a_lease_after_the_last_report_that_was_heard(self) -> None:
        lease = EntryLease(0.0)
        lease.renew(500.0)
        assert lease.is_valid(500.0 + LEASE_MS - 1)
        assert not lease.is_valid(500.0 + LEASE_MS)

    def test_cold_link_is_kept_for_longer_and_a_warm_one_gets_time_to_answer(self) -> None:
        liveness = SideLiveness(0.0)
        liveness.record_report(1.0, 100.0)
        assert not liveness.is_lost(2000.0, warm=False)
        assert liveness.is_lost(2000.0)
        liveness.expect_reports(2000.0)
        assert not liveness.has_fresh_report()
        assert not liveness.is_lost(2700.0)
        assert liveness.is_lost(2800.0)
        liveness.record_report(2.0, 2700.0)
        assert liveness.has_fresh_report()

    def test_older_proof_changes_nothing(self) -> None:
        lease = EntryLease(0.0)
        lease.renew(500.0)
        lease.renew(100.0)
        assert lease.age_ms(600.0) == 100.0

    def test_orders_have_ended_when_the_entry_gives_up(self) -> None:
        # The report is stamped before it is heard, whatever the clocks show.
        stamped_ms, heard_ms = 1000.0, 1030.0
        lease = EntryLease(0.0)
        lease.renew(stamped_ms)
        liveness = SideLiveness(0.0)
        liveness.record_report(stamped_ms, heard_ms)
        assert liveness.is_lost(heard_ms + LEASE_MS)
        assert not lease.is_valid(heard_ms + LEASE_MS)


class TestRunTimes:
    def test_declared_time_serves_while_nothing_is_known(self) -> None:
        assert RunTimes().expected_ms("q", 100.0) == pytest.approx(100.0)

    def test_what_callers_declare_is_corrected(self) -> None:
        times = RunTimes()
        for _ in range(400):
            times.note("q", 100.0, 200.0)
        assert times.expected_ms("q", 100.0) == pytest.approx(200.0, rel=0.01)


class TestRouting:
    def test_longest_prefix_of_the_host_is_found(self) -> None:
        queues = [
            WorkQueue(prefix, "h", prefix, "s", 0, 60.0, 1.6, 3, 0.0) for prefix in ("/a/", "/a/b/")
        ]
        configured = Configuration(1, queues, frozenset({"s"}), 1000, b"")
        found = configured.find("H", "/a/b/x")
        assert found is not None
        assert found.name == "/a/b/"
        assert configured.find("h", "/c/") is None
        assert configured.find("other", "/a/x") is None


class TestStandings:
    def test_standings_are_forgotten_after_a_while(self) -> None:
        clock = SetClock()
        checked: Clock = clock
        book = StandingBook(checked)
        book.end("job", Standing.COMPLETED)
        book.note_peer("there", [TakenRow("other", 0.0)])
        assert book.ended("job") is Standing.COMPLETED
        assert book.taken_by("other") == "there"
        clock.now_ms = KEPT_MS + 1
        book.expire()
        assert book.ended("job") is Standing.UNKNOWN
        assert book.taken_by("other") == ""

    def test_job_that_is_taken_anew_has_no_old_standing(self) -> None:
        book = StandingBook(SetClock())
        book.end("job", Standing.REFUSED)
        book.take("job")
        assert book.ended("job") is Standing.UNKNOWN


def test_longest_chain_follows_the_steps() -> None:
    room = Room(1000, 1, 0)
    steps = (
        StepSpec(1, room, 100.0),
        StepSpec(1, room, 300.0),
        StepSpec(1, room, 50.0, after=(0, 1)),
    )
    assert longest_chain_ms(steps, [100.0, 300.0, 50.0]) == 350.0


def test_times_hold_the_objective() -> None:
    times = create_times(0.0, 100.0, 1.6, 60.0, 0.0)
    assert times == JobTimes(0.0, 100.0, 220.0, 660.0)
