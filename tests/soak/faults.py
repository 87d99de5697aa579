"""Choose faults from a seeded random generator, and inject them."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import signal
from collections.abc import Awaitable, Callable
from contextlib import AbstractContextManager

from soak.fleet import GRACE_S, Fleet, Host
from soak.oracle import Oracle
from soak.worker import RESOURCES

__all__ = ["Injector"]

PAUSE_RANGE_S = (0.3, 5.0)
FAULT_RANGE_S = (0.3, 4.0)
DELAYS_S = (0.002, 0.05, 0.4)
CONNECTION_SHARES = (0.3, 1.0)
# Commands overdue by about the length of a lease are the ones that the proofs of an end cover.
LATE_RANGES_MS = ((900, 1600), (900, 1600), (900, 1600), (300, 4000))
LATE_SPAN_RANGE_S = (0.5, 3.0)
COMMAND_SHARES = (0.3, 1.0, 1.0)
BURST_JOBS = 60
LATE_BURSTS_JOBS = (0, 10, 20)
LATE_DEPARTURE_SHARE = 0.3
# Number of faults of a series.
FORMER_COUNTS = (1, 1, 2, 3, 5)
COUNTS = (2, 3, 5, 7)
FAULT_FREE_S = 9.0
# Time between the stops of two processes that are stopped in turn.
ROLL_GAP_RANGE_S = (1.2, 2.4)


class Injector:
    """Injects faults into a fleet, several of them concurrently."""

    def __init__(
        self, fleet: Fleet, oracle: Oracle, rng: random.Random, send_burst: Callable[[int], None]
    ) -> None:
        self.injected: list[str] = []
        self._fleet = fleet
        self._oracle = oracle
        self._rng = rng
        self._send_burst = send_burst

    async def run(self, seconds: float) -> None:
        """Inject faults for a time, with fault-free intervals in which their effects must end."""
        is_former = self._fleet.plan.former_kinds
        counts, fault_free_share = (FORMER_COUNTS, 0.3) if is_former else (COUNTS, 0.15)
        deadline_s = self._oracle.now_s() + seconds
        while self._oracle.now_s() < deadline_s:
            count = self._rng.choice(counts)
            await asyncio.gather(
                *(
                    self._inject(self._rng.uniform(0, 2.5), self._make_faults())
                    for _ in range(count)
                )
            )
            await asyncio.sleep(self._rng.choice((0.0, 0.5, 2.0)))
            if self._rng.random() < fault_free_share:
                await asyncio.sleep(FAULT_FREE_S)
                await self._make_faults().restart_in_turn()
                await asyncio.sleep(FAULT_FREE_S / 2)
        if self._fleet.plan.moves:
            await self.end_faults()
            await asyncio.sleep(FAULT_FREE_S)
            await self._make_faults().roll()
            await asyncio.sleep(FAULT_FREE_S / 2)

    async def end_faults(self) -> None:
        """Resume all processes and restore all connections."""
        for host in self._fleet.hosts:
            self._fleet.signal(host, signal.SIGCONT)
            for forwarder in host.forwarders:
                forwarder.delay_s = 0.0
                forwarder.restore()

    def _make_faults(self) -> Faults:
        # A generator per fault: the draws don't depend on the timing of concurrent faults.
        rng = random.Random(self._rng.random())
        return Faults(self._fleet, self._oracle, rng, self._send_burst, self.injected)

    async def _inject(self, delay_s: float, faults: Faults) -> None:
        await asyncio.sleep(delay_s)
        fault = self._oracle.begin_fault()
        try:
            await faults.inject_one()
        finally:
            self._oracle.end_fault(fault)


class Faults:
    """All kinds of fault, and the choice among them."""

    def __init__(
        self,
        fleet: Fleet,
        oracle: Oracle,
        rng: random.Random,
        send_burst: Callable[[int], None],
        injected: list[str],
    ) -> None:
        self._fleet = fleet
        self._oracle = oracle
        self._rng = rng
        self._send_burst = send_burst
        self._injected = injected

    async def inject_one(self) -> None:
        """Inject one fault, wait for its duration, and end it."""
        await self._rng.choice(self._kinds())()

    async def restart_in_turn(self) -> None:
        """Restart processes one after the other, as a planned restart without a fault."""
        hosts = self._sample(self._rng.choice((self._fleet.entries, self._fleet.sides)))
        self._record(f"planned restart of {_names(hosts)}")
        for host in hosts:
            await self._restart(host)

    async def roll(self) -> None:
        """Stop processes in turn, before those stopped earlier are back, without a fault."""
        gap_s = self._rng.uniform(*ROLL_GAP_RANGE_S)
        entries = self._rng.sample(self._fleet.entries, len(self._fleet.entries))
        sides = iter(self._rng.sample(self._fleet.sides, len(self._fleet.sides)))
        # One or two side processes between two entries, so that callers always find an entry.
        hosts = [host for entry in entries for host in (entry, *itertools.islice(sides, 2))]
        self._record(f"stops of {_names(hosts)} {gap_s:.2f} s apart")
        restarts = []
        for host in hosts:
            restarts.append(asyncio.create_task(self._restart(host)))
            await asyncio.sleep(gap_s)
            if host.is_entry:
                # The balancer still chooses the entry for some of these jobs.
                self._send_burst(BURST_JOBS)
        await asyncio.gather(*restarts)

    def _kinds(self) -> list[Callable[[], Awaitable[None]]]:
        kinds = self._former_kinds()
        if not self._fleet.plan.former_kinds:
            kinds += [self._late_commands] * 8 + [self._lost_stops] * 4
            kinds += [self._worker_restart] * 3
        if self._fleet.plan.crashes:
            kinds += [self._worker_away] * 3 + [self._resize] * 3
        return kinds

    def _former_kinds(self) -> list[Callable[[], Awaitable[None]]]:
        return [
            self._pause,
            self._pause,
            self._kill,
            self._kill,
            self._kill_all,
            self._stop,
            self._reload,
            self._delay,
            self._cut,
            self._cut,
            self._cut,
            self._reset,
            self._blackhole,
            self._blackhole,
            self._store_outage,
            self._store_slow,
            self._store_truncated,
            self._worker_crash,
            self._worker_faults,
            self._delay_orders,
            self._configure,
            self._job_burst,
        ]

    def _record(self, fault: str) -> None:
        self._injected.append(f"{self._oracle.now_s():.3f} s: {fault}")

    def _change(self, hosts: list[Host], **fields: object) -> AbstractContextManager[None]:
        """Set faults of the workers of hosts within a context."""
        faults = [self._fleet.workers[host.name].faults for host in hosts]
        return self._fleet.overlay.change(faults, **fields)

    def _draw_span_s(self) -> float:
        return self._rng.uniform(*FAULT_RANGE_S)

    def _draw_late_span_s(self) -> float:
        return self._rng.uniform(*LATE_SPAN_RANGE_S)

    def _sample(self, hosts: list[Host]) -> list[Host]:
        count = self._rng.choice((1, 1, 2, len(hosts)))
        return self._rng.sample(hosts, min(count, len(hosts)))

    # Processes.

    async def _pause(self) -> None:
        hosts, span_s = self._sample(self._fleet.hosts), self._rng.uniform(*PAUSE_RANGE_S)
        self._record(f"pause of {_names(hosts)} for {span_s:.2f} s")
        for host in hosts:
            self._fleet.pause(host)
        await asyncio.sleep(span_s)
        for host in hosts:
            self._fleet.end_pause(host)

    async def _kill(self) -> None:
        hosts = self._sample(self._fleet.hosts)
        self._record(f"kill of {_names(hosts)}")
        for host in hosts:
            self._fleet.kill(host)
        await asyncio.sleep(0.5)

    async def _kill_all(self) -> None:
        role = self._rng.choice((self._fleet.entries, self._fleet.sides, self._fleet.hosts))
        self._record(f"kill of all of {_names(role)}")
        for host in role:
            self._fleet.kill(host)
        await asyncio.sleep(1.0)

    async def _stop(self) -> None:
        hosts = self._sample(self._fleet.hosts)
        self._record(f"stop of {_names(hosts)}")
        await asyncio.gather(*(self._restart(host) for host in hosts))

    async def _restart(self, host: Host) -> None:
        start_number = host.starts
        self._fleet.terminate(host)
        deadline_s = self._oracle.now_s() + GRACE_S
        while host.starts == start_number and self._oracle.now_s() < deadline_s:
            await asyncio.sleep(0.05)
        if host.starts == start_number:
            self._fleet.kill(host)
        while host.starts == start_number:
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)

    async def _reload(self) -> None:
        hosts = self._sample(self._fleet.hosts)
        self._record(f"reload of {_names(hosts)}")
        for host in hosts:
            # Until its interpreter has started, no program can handle SIGHUP, which then ends it.
            if self._fleet.handles_signal(host, signal.SIGHUP):
                self._fleet.signal(host, signal.SIGHUP)

    # Connections.

    async def _delay(self) -> None:
        forwarder = self._rng.choice(self._rng.choice(self._fleet.hosts).forwarders)
        delay_s, span_s = self._rng.choice(DELAYS_S), self._draw_span_s()
        self._record(f"{forwarder.name} {delay_s * 1000:.0f} ms late for {span_s:.2f} s")
        with self._fleet.overlay.change([forwarder], delay_s=delay_s):
            await asyncio.sleep(span_s)

    async def _cut(self) -> None:
        host, span_s = self._rng.choice(self._fleet.hosts), self._draw_span_s()
        forwarders = self._rng.choice(([self._rng.choice(host.forwarders)], host.forwarders))
        forth, back = self._rng.choice(((True, True), (True, False), (False, True)))
        names = ", ".join(each.name for each in forwarders)
        self._record(f"{names} cut for {span_s:.2f} s, forth {forth}, back {back}")
        for forwarder in forwarders:
            forwarder.cut(to_target=forth, from_target=back)
        await asyncio.sleep(span_s)
        for forwarder in forwarders:
            forwarder.end_cut(to_target=forth, from_target=back)

    async def _reset(self) -> None:
        forwarder = self._rng.choice(self._rng.choice(self._fleet.hosts).forwarders)
        self._record(f"{forwarder.name} reset")
        forwarder.reset(self._rng.choice(CONNECTION_SHARES), self._rng.random())

    async def _blackhole(self) -> None:
        hosts, share = self._sample(self._fleet.hosts), self._rng.choice(CONNECTION_SHARES)
        self._record(f"connections of {_names(hosts)} silent for good, a share of {share}")
        for host in hosts:
            for forwarder in host.forwarders:
                forwarder.blackhole(share, self._rng.random())
        # Calls on these connections fail only at their callers' time-outs.
        await asyncio.sleep(FAULT_RANGE_S[1])

    # The store.

    async def _store_outage(self) -> None:
        store, span_s = self._fleet.store, self._rng.uniform(1.0, 10.0)
        outage = self._rng.choice(("away", "answers lost"))
        self._record(f"store: {outage} for {span_s:.2f} s")
        change: dict[str, object] = {"status": 503} if outage == "away" else {"drops_answers": True}
        with self._fleet.overlay.change([store], **change):
            await asyncio.sleep(span_s)

    async def _store_slow(self) -> None:
        span_s = self._draw_span_s()
        self._record(f"store slow for {span_s:.2f} s")
        with self._fleet.overlay.change([self._fleet.store], delay_s=0.3):
            await asyncio.sleep(span_s)

    async def _store_truncated(self) -> None:
        self._record("store forgets its history")
        self._fleet.store.truncate()

    async def _configure(self) -> None:
        self._record(f"configuration {self._fleet.configure()}")

    # Workers and callers.

    async def _worker_crash(self) -> None:
        hosts = self._sample(self._fleet.sides)
        self._record(f"crash of the workers of {_names(hosts)}")
        for host in hosts:
            self._fleet.workers[host.name].crash()

    async def _worker_away(self) -> None:
        hosts, span_s = self._sample(self._fleet.sides), self._draw_span_s()
        self._record(f"crash of the workers of {_names(hosts)}, away for {span_s:.2f} s")
        for host in hosts:
            self._fleet.workers[host.name].crash_for(span_s * 1000)
        await asyncio.sleep(span_s)

    async def _resize(self) -> None:
        hosts, span_s = self._sample(self._fleet.sides), self._draw_span_s()
        cpu_millis = self._rng.choice((2000, 4000))
        self._record(f"workers of {_names(hosts)} shrink to {cpu_millis} for {span_s:.2f} s")
        for host in hosts:
            self._fleet.workers[host.name].resize(cpu_millis)
        await asyncio.sleep(span_s)
        for host in hosts:
            self._fleet.workers[host.name].resize(RESOURCES.cpu_millis)

    async def _worker_restart(self) -> None:
        """Restart workers under their ids; some side processes get a late report of a shutdown."""
        hosts = self._sample(self._fleet.sides)
        self._record(f"restart of the workers of {_names(hosts)} under their ids")
        for host in hosts:
            server = self._fleet.workers[host.name]
            server.restart()
            if self._rng.random() < LATE_DEPARTURE_SHARE:
                await server.report_departure()
        await asyncio.sleep(1.0)

    async def _worker_faults(self) -> None:
        hosts, span_s = self._sample(self._fleet.sides), self._draw_span_s()
        field, value = self._rng.choice(
            (("fails", True), ("hangs", True), ("silent", True), ("slowness", 4.0))
        )
        self._record(f"workers of {_names(hosts)}: {field} for {span_s:.2f} s")
        with self._change(hosts, **{field: value}):
            await asyncio.sleep(span_s)

    async def _delay_orders(self) -> None:
        hosts = self._sample(self._fleet.sides)
        self._record(f"orders late and answers lost at {_names(hosts)}")
        with contextlib.ExitStack() as changes:
            for host in hosts:
                late_ms = self._rng.uniform(50, 4000)
                changes.enter_context(self._change([host], late_ms=late_ms))
                self._fleet.workers[host.name].add_faults(
                    late_starts=self._rng.randint(1, 4),
                    lost_answers=self._rng.randint(0, 4),
                    invalid_announcements=2,
                )
            await asyncio.sleep(5.0)

    async def _late_commands(self) -> None:
        """Let workers answer no command and carry out commands late, once or several times."""
        for _ in range(self._rng.choice((1, 2, 3))):
            hosts = self._sample(self._fleet.sides)
            late_ms = self._rng.uniform(*self._rng.choice(LATE_RANGES_MS))
            share, span_s = self._rng.choice(COMMAND_SHARES), self._draw_late_span_s()
            self._record(
                f"workers of {_names(hosts)}: a share of {share} of the commands {late_ms:.0f} ms "
                f"late without an answer for {span_s:.2f} s"
            )
            with self._change(hosts, late_ms=late_ms, late_share=share):
                # Starts that are sent before the worker is considered silent are carried out.
                self._send_burst(self._rng.choice(LATE_BURSTS_JOBS))
                await asyncio.sleep(span_s)
            # The last of them are carried out after the span.
            await asyncio.sleep(max(late_ms / 1000, self._draw_late_span_s()))

    async def _lost_stops(self) -> None:
        """Let stops get lost while runs are stopped, since links break or an entry is killed."""
        hosts, share = self._sample(self._fleet.sides), self._rng.choice(COMMAND_SHARES)
        entry, span_s = self._rng.choice(self._fleet.entries), self._draw_late_span_s()
        loss = self._rng.choice(("links reset", "links cut", "entry killed"))
        self._record(
            f"workers of {_names(hosts)}: a share of {share} of the stops lost for "
            f"{span_s:.2f} s, {loss} at {entry.name}"
        )
        links = [host.links for host in (entry, *hosts)]
        with self._change(hosts, lost_stop_share=share):
            if loss == "entry killed":
                self._fleet.kill(entry)
            elif loss == "links reset":
                for forwarder in links:
                    forwarder.reset(1.0, self._rng.random())
            else:
                for forwarder in links:
                    forwarder.cut(to_target=True, from_target=True)
            await asyncio.sleep(span_s)
            if loss == "links cut":
                for forwarder in links:
                    forwarder.end_cut(to_target=True, from_target=True)

    async def _job_burst(self) -> None:
        self._record(f"{BURST_JOBS} jobs at once")
        self._send_burst(BURST_JOBS)
        await asyncio.sleep(3.0)


def _names(hosts: list[Host]) -> str:
    return ", ".join(host.name for host in hosts)
