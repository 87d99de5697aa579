"""Hold a fleet, its callers and the oracle, for the runner and for the fuzzer."""

from __future__ import annotations

import asyncio
import contextlib
import traceback
from collections.abc import Coroutine
from typing import Any

from currantbarrow.exceptions import CurrantbarrowError
from currantbarrow.jobs import JobRequest, TaskRequest
from currantbarrow.scenario.clients import Caller
from currantbarrow.scenario.oracle import Oracle
from currantbarrow.scenario.watch import Watch
from currantbarrow.standins.fleet import Fleet, FleetPlan

__all__ = ["Overlay", "World"]

PATIENCE_MS = 60_000.0


class _Held:
    """Hold one value that was put over a field."""

    __slots__ = ("holder", "name", "value")

    def __init__(self, holder: Any, name: str, value: float | bool) -> None:
        self.holder = holder
        self.name = name
        self.value = value


class Overlay:
    """Set fields for a while, where several may do so at once."""

    __slots__ = ("_base", "_held")

    def __init__(self) -> None:
        self._held: list[_Held] = []
        self._base: dict[tuple[int, str], float | bool] = {}

    def put(self, holder: Any, name: str, value: float | bool) -> _Held:
        """Set a field, and return what takes it back."""
        self._base.setdefault((id(holder), name), getattr(holder, name))
        held = _Held(holder, name, value)
        self._held.append(held)
        setattr(holder, name, value)
        return held

    def take_back(self, held: _Held) -> None:
        """Set a field to the newest value that still holds, or to the first one."""
        self._held.remove(held)
        rest = [h for h in self._held if h.holder is held.holder and h.name == held.name]
        base = self._base[id(held.holder), held.name]
        setattr(held.holder, held.name, rest[-1].value if rest else base)


class World:
    """Run callers against a fleet that the oracle watches."""

    def __init__(self, plan: FleetPlan) -> None:
        self.fleet = Fleet(plan)
        self.oracle = Oracle()
        self.watch = Watch(self.fleet, self.oracle)
        self.callers: list[Caller] = []
        self.class_conflicts = 0
        self.changes = 0
        self.overlay = Overlay()
        # Tasks of the processes, or of the scenario, that ended by an error nobody expected.
        self.crashes: list[str] = []
        self._open: set[asyncio.Task[None]] = set()
        self._background: set[asyncio.Task[None]] = set()

    def now_ms(self) -> float:
        """Return the fleet's time."""
        return self.fleet.clock.monotonic_ms()

    async def start(self, classes: dict[str, float]) -> None:
        """Start the fleet and the watch over it."""
        asyncio.get_running_loop().set_exception_handler(self._note_crash)
        await self.fleet.start(classes)
        for entry in self.fleet.entries.values():
            self.watch.entry_started(entry)
        self.spawn(self.watch.run())

    async def stop(self) -> None:
        """End callers and processes."""
        for task in [*self._open, *self._background]:
            task.cancel()
        await self.fleet.stop()

    def build_job(
        self,
        key: str,
        run_ms: list[float],
        *,
        customer: str = "a",
        job_class: str = "quote",
        size_slots: int = 1,
        fail: bool = False,
        age_ms: float = 0.0,
    ) -> JobRequest:
        """Return a job whose results tell which key and task they belong to."""
        tasks = [
            TaskRequest({"run_ms": each, "echo": f"{key}/{number}", "fail": fail}, each, size_slots)
            for number, each in enumerate(run_ms)
        ]
        created_at_ms = int(self.fleet.clock.wall_ms() - age_ms)
        return JobRequest(key, created_at_ms, customer, job_class, tasks)

    def submit(
        self, request: JobRequest, entry: str = "", patience_ms: float = PATIENCE_MS
    ) -> asyncio.Task[None]:
        """Let a caller submit a job, and return what can be cancelled to hang up."""
        caller = Caller(self.fleet, self.oracle, request, entry, patience_ms)
        self.callers.append(caller)
        return self._keep(self._open, caller.run())

    async def cancel(self, request: JobRequest, entry: str = "") -> None:
        """Let a caller cancel a job through an entry."""
        names = [entry] if entry in self.fleet.entries else sorted(self.fleet.entries)
        if not names:
            return
        node = self.fleet.entries[names[0]].node
        with contextlib.suppress(CurrantbarrowError):
            answer = await node.router.cancel(request.customer, request.key, request.created_at_ms)
            if answer is not None:
                self.oracle.shown(request, answer, self.now_ms())

    def settle(self) -> None:
        """Check at the end that everybody was told the truth, and anything at all."""
        self.watch.settle()
        for caller in self.callers:
            if not caller.outcome:
                self.oracle.unanswered(caller.request, self.now_ms())

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run something beside the callers until the end."""
        return self._keep(self._background, coroutine)

    def _note_crash(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        if error is not None:
            last = traceback.extract_tb(error.__traceback__)[-1:]
            where = f" at {last[0].filename}:{last[0].lineno}" if last else ""
            self.crashes.append(f"{type(error).__name__}: {error}{where}")

    @staticmethod
    def _keep(
        tasks: set[asyncio.Task[None]], coroutine: Coroutine[Any, Any, None]
    ) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine)
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        return task
