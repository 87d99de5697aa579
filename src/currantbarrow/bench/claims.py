"""Route jobs by two ownership schemes that are not used in production, for comparison."""

from __future__ import annotations

import asyncio
import collections
from typing import Protocol

import msgspec

from currantbarrow.entry import EntryNode
from currantbarrow.entry.router import Router
from currantbarrow.exceptions import LinkError, LogUnavailable, OwnershipError
from currantbarrow.jobs import (
    JobAnswer,
    JobRequest,
    JobStatus,
    TaskAnswer,
    TaskState,
    make_job_id,
)
from currantbarrow.jobs.table import Job
from currantbarrow.protocol import Forward, Forwarded, LastSeen, Role, Seen
from currantbarrow.types import Clock, LogService

__all__ = ["ClaimLog", "ClaimRouter", "LockTable"]

CLAIM_STREAM = "claims"
READ_WAIT_MS = 2000
READ_RETRY_MS = 200.0
FORWARD_TIMEOUT_MS = 60_000.0
FORWARD_RETRY_MS = 50.0
OWNER_DOWN_LIMIT_MS = 1500.0
LOCK_TIMEOUT_MS = 500.0
RETRY_AFTER_MS = 1000


class _Claim(msgspec.Struct):
    owner: str
    job_ids: list[bytes]


class ClaimRegistry(Protocol):
    """Assign each job to the first entry that claims it."""

    async def claim(self, owner: str, job_id: bytes) -> str:
        """Return the entry that claimed a job first; raise LogUnavailable or LinkError."""


class ClaimLog:
    """Claim jobs in the log; each entry has one append in flight, with all pending claims."""

    def __init__(self, log: LogService, clock: Clock) -> None:
        self._log = log
        self._clock = clock
        self._owners: dict[bytes, str] = {}
        self._offset = -1
        self._records_read = asyncio.Event()
        self._pending: dict[str, list[tuple[bytes, asyncio.Future[None]]]] = (
            collections.defaultdict(list)
        )
        self._append_tasks: dict[str, asyncio.Task[None]] = {}

    async def read_claims(self) -> None:
        """Apply claims from the log until cancelled."""
        while True:
            try:
                records = await self._log.read(CLAIM_STREAM, self._offset + 1, READ_WAIT_MS)
            except LogUnavailable:
                await self._clock.sleep_ms(READ_RETRY_MS)
                continue
            for record in records:
                claim = msgspec.json.decode(record.data, type=_Claim)
                for job_id in claim.job_ids:
                    self._owners.setdefault(job_id, claim.owner)
                self._offset = record.offset
            if records:
                self._records_read.set()
                self._records_read = asyncio.Event()

    async def claim(self, owner: str, job_id: bytes) -> str:
        """Return the entry that claimed a job first; raise LogUnavailable."""
        if job_id not in self._owners:
            applied: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._pending[owner].append((job_id, applied))
            append_task = self._append_tasks.get(owner)
            if append_task is None or append_task.done():
                self._append_tasks[owner] = asyncio.create_task(self._append_pending(owner))
            await applied
        return self._owners[job_id]

    async def _append_pending(self, owner: str) -> None:
        while self._pending[owner]:
            batch = self._pending.pop(owner)
            data = msgspec.json.encode(_Claim(owner, [job_id for job_id, _ in batch]))
            try:
                offset = await self._log.append(CLAIM_STREAM, data)
            except LogUnavailable as error:
                for _, applied in batch:
                    if not applied.done():
                        applied.set_exception(error)
                continue
            while self._offset < offset:
                await self._records_read.wait()
            for _, applied in batch:
                if not applied.done():
                    applied.set_result(None)


class LockTable:
    """Claim jobs by locks at side processes, chosen by job ID; each claim costs one round trip."""

    def __init__(self) -> None:
        self._owners: dict[str, dict[bytes, str]] = collections.defaultdict(dict)
        self._nodes: dict[str, EntryNode] = {}

    def add(self, node: EntryNode) -> None:
        """Register an entry that claims jobs."""
        self._nodes[node.options.incarnation] = node

    async def claim(self, owner: str, job_id: bytes) -> str:
        """Return the entry that claimed a job first; raise LinkError."""
        node = self._nodes[owner]
        sides = node.cluster.by_role(Role.SIDE)
        side = sides[int.from_bytes(job_id[:4], "big") % len(sides)].incarnation
        peer = node.sides.peers[side]
        if peer.rpc is None:
            raise LinkError(f"no connection to side process {side}")
        # A LastSeen call stands in for a lock request, so that the claim costs one round trip.
        await peer.rpc.call(lambda call_id: LastSeen(call_id, owner), Seen, LOCK_TIMEOUT_MS)
        return self._owners[side].setdefault(job_id, owner)


class ClaimRouter(Router):
    """Run a job on the entry that claimed it first; other entries forward submissions to it."""

    def __init__(self, node: EntryNode, claims: ClaimRegistry, clock: Clock) -> None:
        self._node = node
        self._claims = claims
        self._clock = clock

    async def submit(self, request: JobRequest, hops: int = 0, submission: str = "") -> JobAnswer:
        """Return the answer to a job; raise OwnershipError if the link for its claim fails."""
        job_id = make_job_id(request)
        existing_job = self._node.dispatcher.table.find_duplicate(job_id, request)
        if existing_job is not None:
            return await asyncio.shield(existing_job.future)
        own_incarnation = self._node.options.incarnation
        try:
            claimant = await self._claims.claim(own_incarnation, job_id)
        except LogUnavailable:
            return _create_refusal(request, "log_unavailable", TaskState.NOT_RUN)
        except LinkError as error:
            raise OwnershipError(str(error)) from error
        if claimant == own_incarnation:
            return await self._run_locally(request, job_id)
        return await self._forward(request, claimant)

    async def _run_locally(self, request: JobRequest, job_id: bytes) -> JobAnswer:
        job = self._node.dispatcher.table.find(job_id)
        if job is None:
            job = Job(job_id, request, self._clock.monotonic_ms())
            refusal = self._node.dispatcher.submit(job, 300.0)
            if refusal is not None:
                return refusal
        return await asyncio.shield(job.future)

    async def _forward(self, request: JobRequest, claimant: str) -> JobAnswer:
        while True:
            peer = self._node.entries.peers.get(claimant)
            if peer is None or self._node.entries.down_for_ms(claimant) > OWNER_DOWN_LIMIT_MS:
                return _create_refusal(request, "outcome_unknown", TaskState.UNKNOWN)
            try:
                reply = await peer.require_rpc().call(
                    lambda call_id: Forward(call_id, request, 1), Forwarded, FORWARD_TIMEOUT_MS
                )
                return reply.answer
            except LinkError:
                await self._clock.sleep_ms(FORWARD_RETRY_MS)


def _create_refusal(request: JobRequest, code: str, state: TaskState) -> JobAnswer:
    not_run = state is TaskState.NOT_RUN
    status = JobStatus.REFUSED if not_run else JobStatus.FAILED
    tasks = [TaskAnswer(state) for _ in request.tasks]
    return JobAnswer(status, tasks, code, "", RETRY_AFTER_MS if not_run else 0, not_run)
