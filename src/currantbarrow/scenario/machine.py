"""Fuzz a fleet in virtual time with hypothesis, checking the promises after every step."""

from __future__ import annotations

import asyncio

import hypothesis.strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, initialize, invariant, rule

from currantbarrow.jobs import JobRequest
from currantbarrow.scenario import schema
from currantbarrow.scenario.faults import apply_fault
from currantbarrow.scenario.oracle import Promise
from currantbarrow.scenario.schema import Duration, Fault
from currantbarrow.scenario.world import World
from currantbarrow.standins.fleet import FleetPlan
from currantbarrow.standins.virtual import VirtualLoop

__all__ = ["BrokenPromise", "FleetMachine"]

ENTRIES = 3
SIDES = 5
PLAN = FleetPlan(ENTRIES, SIDES, slots=3, window_ms=60_000.0, sides_per_rack=2)
CLASSES = {"quote": 300.0, "hold": 200.0}
RECOVERY_MS = 40_000.0
NOW = Duration(0)
RETENTION = Duration(60_000)

entry_names = st.sampled_from([f"entry-{number}" for number in range(ENTRIES)])
side_names = st.sampled_from([f"side-{number}" for number in range(SIDES)])
process_names = entry_names | side_names
link_ends = process_names | st.just("log") | st.sampled_from(PLAN.data_centres)
durations = st.sampled_from([200, 1000, 1900, 3000, 5000, 9000, 15_000]).map(Duration)
short_durations = st.sampled_from([20, 100, 400, 2000]).map(Duration)
targets = st.integers(100, 900).map(Duration)


class BrokenPromise(AssertionError):
    """Signal that a promise is broken by the steps so far."""

    def __init__(self, promise: Promise, message: str) -> None:
        super().__init__(message)
        self.promise = promise


class FleetMachine(RuleBasedStateMachine):
    """Submit jobs and inject faults in any order."""

    # Totals over all runs of this process.
    steps = 0
    jobs_submitted = 0
    # Promises whose violations are ignored, to search for violations of the others.
    ignored: frozenset[Promise] = frozenset()

    jobs = Bundle("jobs")

    def __init__(self) -> None:
        super().__init__()
        self.loop = VirtualLoop()
        self.world: World | None = None
        self.ended = False

    @initialize(seed=st.integers(0, 999))
    def start(self, seed: int) -> None:
        """Start the processes."""
        plan = FleetPlan(
            PLAN.entries,
            PLAN.sides,
            PLAN.slots,
            PLAN.data_centres,
            PLAN.sides_per_rack,
            window_ms=PLAN.window_ms,
            seed=seed,
        )
        self.loop.run(self._start(plan))

    @rule(
        target=jobs,
        entry=entry_names,
        runs=st.lists(st.sampled_from([20, 100, 500, 2000]), min_size=1, max_size=4),
        customer=st.sampled_from(["a", "b"]),
    )
    def submit(self, entry: str, runs: list[int], customer: str) -> JobRequest:
        """Submit a new job."""
        FleetMachine.jobs_submitted += 1
        run_ms = [float(run) for run in runs]
        return self.loop.run(self._submit_new(entry, run_ms, customer))

    @rule(target=jobs, entry=entry_names, many=st.integers(5, 25))
    def burst(self, entry: str, many: int) -> JobRequest:
        """Submit many jobs at once, more than there are slots."""
        FleetMachine.jobs_submitted += many
        for _ in range(many - 1):
            self.loop.run(self._submit_new(entry, [200.0], "a"))
        return self.loop.run(self._submit_new(entry, [200.0], "a"))

    @rule(job=jobs, entry=entry_names)
    def resubmit(self, job: JobRequest, entry: str) -> None:
        """Submit a job again, to any entry, whatever state it is in."""
        self.loop.run(self._submit(job, entry))

    @rule(job=jobs, entry=entry_names)
    def cancel(self, job: JobRequest, entry: str) -> None:
        """Cancel a job through any entry."""
        self.loop.run(self._cancel(job, entry))

    @rule(name=process_names, silently=st.booleans())
    def crash(self, name: str, silently: bool) -> None:
        """Crash a process; if silently, together with its host, so no link is closed."""
        self._apply(schema.Kill(NOW, [name], silently))

    @rule(name=process_names)
    def restart(self, name: str) -> None:
        """Start a new incarnation, crashing the old one if it still runs."""
        self._apply(schema.Restart(NOW, [name]))

    @rule(name=process_names, lasts=durations)
    def pause(self, name: str, lasts: Duration) -> None:
        """Freeze a process for a while."""
        self._apply(schema.Pause(NOW, [name], lasts))

    @rule(one=link_ends, other=link_ends, lasts=durations)
    def cut(self, one: str, other: str, lasts: Duration) -> None:
        """Cut the links between processes for a while."""
        self._apply(schema.Cut(NOW, [[one], [other]], lasts))

    @rule(entry=entry_names, late=durations, lasts=short_durations)
    def delay_starts(self, entry: str, late: Duration, lasts: Duration) -> None:
        """Delay all messages from an entry to side processes for a while."""
        self._apply(schema.Delay(NOW, [entry], ["sides"], late, lasts))

    @rule(
        lasts=durations,
        duplicated=st.sampled_from([0.0, 0.5]),
        reordered=st.sampled_from([0.0, 0.5]),
    )
    def disorder(self, lasts: Duration, duplicated: float, reordered: float) -> None:
        """Duplicate and reorder messages for a while."""
        self._apply(schema.Disorder(NOW, lasts, duplicated, reordered, Duration(5)))

    @rule(lasts=durations)
    def log_down(self, lasts: Duration) -> None:
        """Make the log service unavailable for a while."""
        self._apply(schema.LogDown(NOW, lasts))

    @rule(lasts=durations, share=st.sampled_from([0.3, 0.9]))
    def lose_replies(self, lasts: Duration, share: float) -> None:
        """Lose the replies to appends that took effect."""
        self._apply(schema.LogLossy(NOW, share, lasts))

    @rule(lasts=durations)
    def expire_records(self, lasts: Duration) -> None:
        """Expire records that are older than the retention time."""
        self._apply(schema.LogExpire(NOW, RETENTION, lasts))

    @rule(names=st.lists(entry_names, min_size=1, max_size=3, unique=True), first=targets)
    def race_configuration(self, names: list[str], first: Duration) -> None:
        """Change one class through several entries at once."""
        class_targets = [Duration(first + number) for number in range(len(names))]
        self._apply(schema.RaceClass(NOW, "quote", class_targets, names))

    @rule(name=process_names)
    def drain(self, name: str) -> None:
        """Shut a process down gracefully."""
        self._apply(schema.Drain(NOW, [name]))

    @rule(name=side_names, lost=st.integers(0, 1))
    def leave(self, name: str, lost: int) -> None:
        """Have an upstream announce that it leaves."""
        self._apply(schema.Leave(NOW, [name], lost))

    @rule(name=side_names, lasts=durations)
    def lose_tasks(self, name: str, lasts: Duration) -> None:
        """Have a worker break the connection of every task that it starts."""
        self._apply(schema.BreakConnections(NOW, [name], lasts))

    @rule(duration=st.sampled_from([5, 50, 300, 1000, 3000, 6000, 12_000, 40_000]))
    def advance(self, duration: int) -> None:
        """Advance the virtual time."""
        self.loop.run(self._sleep(float(duration)))

    @invariant()
    def promises_hold(self) -> None:
        """Check all promises after every step."""
        FleetMachine.steps += 1
        if self.world is not None:
            self._check(self.world)

    def teardown(self) -> None:
        """Wait for all faults to end, and check that every caller is answered."""
        try:
            if self.world is not None and not self.world.oracle.violations:
                self.loop.run(self._recover())
                self._check(self.world)
        finally:
            if self.world is not None:
                self.loop.run(self.world.stop())
            self.loop.close()

    def _check(self, world: World) -> None:
        if world.crashes:
            raise AssertionError(f"crash: {world.crashes[0]}")
        found = [v for v in world.oracle.violations if v.promise not in self.ignored]
        if found:
            lines = [f"{v.at_ms:.0f} ms: {v.promise}: {v.detail}" for v in found]
            raise BrokenPromise(found[0].promise, "\n".join(lines[:8]))

    def _apply(self, fault: Fault) -> None:
        self.loop.run(self._start_fault(fault))

    async def _start(self, plan: FleetPlan) -> None:
        self.world = World(plan)
        await self.world.start(CLASSES)

    async def _start_fault(self, fault: Fault) -> None:
        self._running_world().spawn(apply_fault(self._running_world(), fault))
        await asyncio.sleep(0)

    async def _submit_new(self, entry: str, run_ms: list[float], customer: str) -> JobRequest:
        world = self._running_world()
        request = world.build_job(f"job-{len(world.callers)}", run_ms, customer=customer)
        await self._submit(request, entry)
        return request

    async def _submit(self, request: JobRequest, entry: str) -> None:
        self._running_world().submit(request, entry)
        await asyncio.sleep(0)

    async def _cancel(self, request: JobRequest, entry: str) -> None:
        world = self._running_world()
        world.spawn(world.cancel(request, entry))
        await asyncio.sleep(0)

    async def _sleep(self, duration_ms: float) -> None:
        await self._running_world().fleet.clock.sleep_ms(duration_ms)

    async def _recover(self) -> None:
        world = self._running_world()
        missing = [f"entry-{n}" for n in range(ENTRIES) if f"entry-{n}" not in world.fleet.entries]
        missing += [f"side-{n}" for n in range(SIDES) if f"side-{n}" not in world.fleet.sides]
        await apply_fault(world, schema.Start(NOW, missing))
        await self._sleep(RECOVERY_MS)
        world.check_at_end()

    def _running_world(self) -> World:
        if self.world is None:
            raise RuntimeError("the fleet has not started")
        return self.world
