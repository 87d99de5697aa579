"""Connect a fleet, its callers and the oracle, for the runner and the fuzzer."""

from __future__ import annotations

import asyncio
import contextlib
import traceback
from collections.abc import Coroutine
from typing import Any

from currantbarrow.exceptions import CurrantbarrowError
from currantbarrow.jobs import JobRequest, TaskRequest
from currantbarrow.scenario.clients import Caller
from currantbarrow.scenario.monitor import FleetMonitor
from currantbarrow.scenario.oracle import Oracle
from currantbarrow.standins.fleet import Fleet, FleetPlan

__all__ = ["FieldOverrides", "World"]

CALLER_TIMEOUT_MS = 60_000.0


class _Override:
    """Represent one value that overrides a field."""

    __slots__ = ("name", "obj", "value")

    def __init__(self, obj: Any, name: str, value: float | bool) -> None:
        self.obj = obj
        self.name = name
        self.value = value


class FieldOverrides:
    """Set temporary values of fields, where several may override the same field at once."""

    __slots__ = ("_base", "_overrides")

    def __init__(self) -> None:
        self._overrides: list[_Override] = []
        self._base: dict[tuple[int, str], float | bool] = {}

    def add(self, obj: Any, name: str, value: float | bool) -> _Override:
        """Set a field, and return the override for `remove`."""
        self._base.setdefault((id(obj), name), getattr(obj, name))
        override = _Override(obj, name, value)
        self._overrides.append(override)
        setattr(obj, name, value)
        return override

    def remove(self, override: _Override) -> None:
        """Set a field to its newest remaining override, or else to its original value."""
        self._overrides.remove(override)
        remaining = [
            o for o in self._overrides if o.obj is override.obj and o.name == override.name
        ]
        base = self._base[id(override.obj), override.name]
        setattr(override.obj, override.name, remaining[-1].value if remaining else base)


class World:
    """Represent a fleet of stand-in processes, its callers, and the oracle that checks them."""

    def __init__(self, plan: FleetPlan) -> None:
        self.fleet = Fleet(plan)
        self.oracle = Oracle()
        self.monitor = FleetMonitor(self.fleet, self.oracle)
        self.callers: list[Caller] = []
        self.class_conflicts = 0
        self.change_count = 0
        self.overrides = FieldOverrides()
        # Unexpected errors that ended an asyncio task of a process or of the scenario.
        self.crashes: list[str] = []
        self._caller_tasks: set[asyncio.Task[None]] = set()
        self._background_tasks: set[asyncio.Task[None]] = set()

    def now_ms(self) -> float:
        """Return the steady time of the fleet."""
        return self.fleet.clock.monotonic_ms()

    async def start(self, classes: dict[str, float]) -> None:
        """Start the fleet and its monitor."""
        asyncio.get_running_loop().set_exception_handler(self._record_crash)
        await self.fleet.start(classes)
        for entry in self.fleet.entries.values():
            self.monitor.follow_entry(entry)
        self.spawn(self.monitor.run())

    async def stop(self) -> None:
        """Stop callers and processes."""
        for task in [*self._caller_tasks, *self._background_tasks]:
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
        """Return a job whose task results name the key and the task that they belong to."""
        tasks = [
            TaskRequest({"run_ms": each, "echo": f"{key}/{number}", "fail": fail}, each, size_slots)
            for number, each in enumerate(run_ms)
        ]
        created_at_ms = int(self.fleet.clock.wall_ms() - age_ms)
        return JobRequest(key, created_at_ms, customer, job_class, tasks)

    def submit(
        self, request: JobRequest, entry: str = "", caller_timeout_ms: float = CALLER_TIMEOUT_MS
    ) -> asyncio.Task[None]:
        """Start a caller that submits a job; cancelling the returned task hangs up."""
        caller = Caller(self.fleet, self.oracle, request, entry, caller_timeout_ms)
        self.callers.append(caller)
        return self._start_task(self._caller_tasks, caller.run())

    async def cancel(self, request: JobRequest, entry: str = "") -> None:
        """Cancel a job through an entry, as a caller does, and check the answer."""
        names = [entry] if entry in self.fleet.entries else sorted(self.fleet.entries)
        if not names:
            return
        node = self.fleet.entries[names[0]].node
        with contextlib.suppress(CurrantbarrowError):
            answer = await node.router.cancel(request.customer, request.key, request.created_at_ms)
            if answer is not None:
                self.oracle.check_answer(request, answer, self.now_ms())

    def check_at_end(self) -> None:
        """Check the results that operators received, and that every caller was answered."""
        self.monitor.check_operator_results()
        for caller in self.callers:
            if not caller.outcome:
                self.oracle.record_unanswered(caller.request, self.now_ms())

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a coroutine in the background until the end."""
        return self._start_task(self._background_tasks, coroutine)

    def _record_crash(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        if error is not None:
            last = traceback.extract_tb(error.__traceback__)[-1:]
            where = f" at {last[0].filename}:{last[0].lineno}" if last else ""
            self.crashes.append(f"{type(error).__name__}: {error}{where}")

    @staticmethod
    def _start_task(
        tasks: set[asyncio.Task[None]], coroutine: Coroutine[Any, Any, None]
    ) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine)
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        return task
