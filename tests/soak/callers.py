"""Simulated callers, which submit jobs, retry broken calls, disconnect and cancel."""

from __future__ import annotations

import asyncio
import contextlib
import random

import aiohttp
import msgspec

from currantbarrow.direct.model import JobSpec, Resources, StepSpec
from soak.fleet import HOST_NAME, LONG_QUEUE, QUEUES, Fleet, Host
from soak.oracle import Attempt, Outcome

__all__ = ["Callers"]

RETRY_DELAY_S = 1.3
MAX_CALLS = 3
TIMEOUT_RANGE_S = (1.5, 4.0)
# Time beyond the caller's time-out after which a call without an answer counts as broken.
ANSWER_MARGIN_S = 6.0
READY_POLL_S = 1.0
MAX_MISSED_POLLS = 2
VERSION_POLL_S = 0.25
CONNECTIONS_PER_ENTRY = 8
# Jobs that outlast the stop of their entry don't wait for a connection to the only one left.
MOVING_CONNECTIONS_PER_ENTRY = 200
OUTCOMES = {
    "completed": Outcome.COMPLETED,
    "failed": Outcome.FAILED,
    "cancelled": Outcome.CANCELLED,
}
MAX_RETRY_AFTER_S = 60
CRASHING_SHARE = 0.04
CRASH_MS = (0.0, 8.0, 8.0, 100.0)


class _JobKind(msgspec.Struct, frozen=True):
    """Kind of job: the number of tasks of each step, and what each task needs."""

    queue: str
    steps: tuple[int, ...]
    run_ms: int
    cpu_millis: int
    # Added to the time-out of its callers.
    extra_timeout_s: float = 0.0


KINDS = (
    _JobKind(QUEUES[0], (8,), 60, 1000),
    _JobKind(QUEUES[0], (2,), 200, 1500),
    _JobKind(QUEUES[1], (4,), 700, 1000),
    _JobKind(QUEUES[1], (3, 2), 100, 2000),
    _JobKind(QUEUES[1], (40,), 50, 500),
)
# Long enough that a run that was counted as lost too early overlaps its successor. The queue is its
# own, since expected run times depend on the queue as well as on the declared time.
LONG_KIND = _JobKind(LONG_QUEUE, (4,), 1400, 300, 3.0)
# So long that jobs accepted late in the drain of their entry are left at its end.
MOVING_KIND = _JobKind(LONG_QUEUE, (2,), 4200, 300, 9.0)


class Callers:
    """Callers of a fleet, with the load balancer that chooses an entry for each call."""

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._oracle = fleet.oracle
        self._rng = rng
        # The share of jobs with a task that crashes its workers.
        self.crashing_share = CRASHING_SHARE if fleet.plan.crashes else 0.0
        self._kinds = [*KINDS]
        if not fleet.plan.former_kinds:
            self._kinds.append(LONG_KIND)
        if fleet.plan.moves:
            self._kinds.append(MOVING_KIND)
        # Entries that the load balancer chooses from.
        self._rotation = list(fleet.entries)
        self._served_version: dict[tuple[str, int], int] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        limit = MOVING_CONNECTIONS_PER_ENTRY if fleet.plan.moves else CONNECTIONS_PER_ENTRY
        self._sessions = {
            host.name: aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=limit, keepalive_timeout=60)
            )
            for host in fleet.entries
        }

    async def run(self, jobs_per_s: float) -> None:
        """Submit jobs at a mean rate until cancelled, and poll the entries meanwhile."""
        watchers = [asyncio.create_task(self._poll_readiness(host)) for host in self._fleet.entries]
        watchers += [
            asyncio.create_task(self._check_versions(host)) for host in self._fleet.entries
        ]
        try:
            while True:
                await asyncio.sleep(self._rng.expovariate(jobs_per_s))
                self.send()
        finally:
            for watcher in watchers:
                watcher.cancel()

    def send(self) -> None:
        """Submit one job in a background task."""
        task = asyncio.create_task(self._run_caller(self._make_job()))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def wait(self, timeout_s: float) -> None:
        """Wait until all calls have ended, and cancel those that exceed the time-out."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=timeout_s)
        for task in self._tasks:
            task.cancel()

    async def close(self) -> None:
        """Close all connections."""
        for session in self._sessions.values():
            await session.close()

    def _make_job(self) -> tuple[JobSpec, _JobKind]:
        kind = self._rng.choice(self._kinds)
        job_id = f"{self._rng.getrandbits(64):016x}"
        if self.crashing_share and self._rng.random() < self.crashing_share:
            self._fleet.let_task_crash(job_id, self._rng.choice(CRASH_MS))
        steps = tuple(
            StepSpec(
                count,
                Resources(kind.cpu_millis, 64, 0),
                kind.run_ms,
                "",
                (position - 1,) if position else (),
            )
            for position, count in enumerate(kind.steps)
        )
        return JobSpec(job_id, f"{kind.run_ms}/{kind.cpu_millis}", steps), kind

    async def _run_caller(self, job: tuple[JobSpec, _JobKind]) -> None:
        """Submit a job, and retry broken calls at other entries."""
        spec, kind = job
        behaviour = self._rng.random()
        entry = self._choose()
        for _ in range(MAX_CALLS):
            call = asyncio.create_task(self._submit(spec, kind, entry))
            if behaviour < 0.05:
                # The caller disconnects before the answer.
                await asyncio.wait([call], timeout=self._rng.uniform(0.01, 0.6))
                call.cancel()
                await asyncio.wait([call])
                return
            if behaviour < 0.10:
                await asyncio.wait([call], timeout=self._rng.uniform(0.01, 0.6))
                await self._cancel(spec, kind, self._choose())
            attempt = await call
            if attempt.outcome not in (Outcome.BROKEN, Outcome.INTERRUPTED):
                break
            await asyncio.sleep(RETRY_DELAY_S)
            entry = self._choose(exclude=entry)
        if behaviour > 0.97:
            # A duplicate of the call arrives late.
            await asyncio.sleep(self._rng.uniform(0.1, 3.0))
            await self._submit(spec, kind, self._choose())

    async def _submit(self, spec: JobSpec, kind: _JobKind, entry: Host) -> Attempt:
        attempt = self._oracle.record_attempt(spec, entry.name)
        caller_timeout_s = self._rng.uniform(*TIMEOUT_RANGE_S) + kind.extra_timeout_s
        body = {
            "spec": spec.payload,
            "best_effort": True,
            "phases": [
                {
                    "count": step.count,
                    "cpu": step.resources.cpu_millis,
                    "mem_mb": step.resources.memory_mb,
                    "estimate_ms": step.estimate_ms,
                    "after": list(step.after),
                }
                for step in spec.steps
            ],
        }
        try:
            outcome, detail = await self._post(entry, kind, spec.job_id, body, caller_timeout_s)
            ended_s = self._oracle.now_s()
            # The answer is checked against the runs, so the events before it have to be here.
            await self._fleet.receive_run_events()
        except asyncio.CancelledError:
            self._oracle.record_outcome(attempt, Outcome.DISCONNECTED, self._fleet.runs)
            raise
        self._oracle.record_outcome(attempt, outcome, self._fleet.runs, detail, ended_s)
        return attempt

    async def _post(
        self, entry: Host, kind: _JobKind, job_id: str, body: object, caller_timeout_s: float
    ) -> tuple[Outcome, str]:
        try:
            async with self._sessions[entry.name].post(
                f"{entry.callers_url}{kind.queue}/{job_id}",
                data=msgspec.json.encode(body),
                headers={"Host": HOST_NAME, "X-Deadline-Ms": str(int(caller_timeout_s * 1000))},
                timeout=aiohttp.ClientTimeout(total=caller_timeout_s + ANSWER_MARGIN_S),
            ) as answer:
                data = await answer.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            return Outcome.BROKEN, type(error).__name__
        if answer.status == 200:
            return OUTCOMES[msgspec.json.decode(data)["state"]], ""
        if answer.status in (429, 503):
            self._check_retry_after(answer, job_id)
            return Outcome.REFUSED, ""
        if answer.status not in (502, 504):
            self._oracle.report_violation(
                "answered", f"{job_id} at {entry.name}: status {answer.status}"
            )
        outcome = Outcome.INTERRUPTED if answer.status == 502 else Outcome.BROKEN
        return outcome, f"status {answer.status}"

    def _check_retry_after(self, answer: aiohttp.ClientResponse, job_id: str) -> None:
        retry_after = answer.headers.get("Retry-After", "")
        if not retry_after.isdigit() or not 1 <= int(retry_after) <= MAX_RETRY_AFTER_S:
            self._oracle.report_violation(
                "told when to come back", f"{job_id}: Retry-After is {retry_after!r}"
            )

    async def _cancel(self, spec: JobSpec, kind: _JobKind, entry: Host) -> None:
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with self._sessions[entry.name].delete(
                f"{entry.callers_url}{kind.queue}/{spec.job_id}",
                headers={"Host": HOST_NAME},
                timeout=aiohttp.ClientTimeout(total=ANSWER_MARGIN_S),
            ) as answer:
                if answer.status == 200:
                    self._oracle.record_cancel(spec.job_id)

    def _choose(self, exclude: Host | None = None) -> Host:
        hosts = [host for host in self._rotation if host is not exclude]
        return self._rng.choice(hosts or self._fleet.entries)

    async def _poll_readiness(self, host: Host) -> None:
        """Poll the readiness of an entry each second, as a customer's load balancer does."""
        missed = 0
        async with aiohttp.ClientSession() as session:
            while True:
                timeout = aiohttp.ClientTimeout(total=READY_POLL_S)
                try:
                    async with session.get(host.ready_url, timeout=timeout) as answer:
                        is_ready = answer.status == 200
                except (aiohttp.ClientError, TimeoutError):
                    is_ready = False
                missed = 0 if is_ready else missed + 1
                if is_ready and host not in self._rotation:
                    self._rotation.append(host)
                if missed >= MAX_MISSED_POLLS and host in self._rotation:
                    self._rotation.remove(host)
                await asyncio.sleep(READY_POLL_S)

    async def _check_versions(self, host: Host) -> None:
        """Check that an entry doesn't return to a configuration older than one that it served."""
        async with aiohttp.ClientSession() as session:
            while True:
                await asyncio.sleep(VERSION_POLL_S)
                version, start_number = self._fleet.version, host.starts
                if await self.has_version(session, host, version):
                    self._served_version[host.name, start_number] = version
                    continue
                seen = self._served_version.get((host.name, start_number), 0)
                went_back = seen == version and await self.lacks_version(session, host, version)
                if went_back and host.starts == start_number and not host.down:
                    self._oracle.report_violation(
                        "configuration never goes back",
                        f"{host.name} no longer serves version {version}",
                    )

    async def has_version(self, session: aiohttp.ClientSession, host: Host, version: int) -> bool:
        """Return whether an entry serves the route that only this version has."""
        return await self._get_status(session, host, version) == 200

    async def lacks_version(self, session: aiohttp.ClientSession, host: Host, version: int) -> bool:
        """Return whether an entry lacks the route of a version that is still the latest one."""
        is_unknown = await self._get_status(session, host, version) == 404
        return is_unknown and version == self._fleet.version

    @staticmethod
    async def _get_status(session: aiohttp.ClientSession, host: Host, version: int) -> int:
        try:
            async with session.get(
                f"{host.direct_url}/v{version}/",
                headers={"Host": HOST_NAME},
                timeout=aiohttp.ClientTimeout(total=1.0),
            ) as answer:
                return answer.status
        except (aiohttp.ClientError, TimeoutError):
            return 0
