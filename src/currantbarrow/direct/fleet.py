"""Maintain an entry's links to side processes and the worker states that they report."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Collection, Iterable
from typing import Protocol

import msgspec

from currantbarrow.direct.aperture import Aperture, connect_delays_ms, order_links
from currantbarrow.direct.evacuation import KnownEvacuations
from currantbarrow.direct.evacuation_links import SideEvacuations
from currantbarrow.direct.job import JobTask, OpenJob
from currantbarrow.direct.leases import RUN_END_LIMIT_MS
from currantbarrow.direct.links import LinkConnector
from currantbarrow.direct.model import Resources, StepSpec
from currantbarrow.direct.session import ORDER_END_LIMIT_MS, LinkActivity, SideLiveness
from currantbarrow.direct.speeds import WorkerOffer
from currantbarrow.direct.worker import InstanceName
from currantbarrow.exceptions import LinkError
from currantbarrow.observe import logger
from currantbarrow.protocol import Hello, Message, Reply, RpcClient
from currantbarrow.protocol.direct import (
    ClearedJob,
    ClearJob,
    CrashRow,
    DropTasks,
    EndRow,
    RunTasks,
    SessionPing,
    ShareEvacuations,
    SideReport,
    TaskOrder,
    WorkerState,
)
from currantbarrow.types import Clock, Link, Metrics, Network

__all__ = ["FleetCapacity", "FleetListener", "SideFleet", "SideHandle"]

# A report is acknowledged once its stamp is newer than the last acknowledged one by this much. Side
# processes report at least as often.
ACKNOWLEDGE_AFTER_MS = 160.0
CHECK_INTERVAL_MS = 100.0
# How long side processes may take to end another entry's runs and to confirm it.
CLEAR_TIMEOUT_MS = RUN_END_LIMIT_MS + 100.0
# Links to a rack stay warm this long after a task preferred it.
RACK_WARM_MS = 2000.0
# Time for the first reports over links that are made warm; links between data centres take 3 ms.
RACK_REPORT_MS = 10.0


class FleetListener(Protocol):
    """Handle events on the side processes."""

    def run_ended(self, handle: SideHandle, row: EndRow) -> None:
        """Handle the end of a run."""

    def runs_lost(self, handle: SideHandle) -> None:
        """Handle that all runs ordered over a link have ended or will never start."""

    def worker_crashed(self, handle: SideHandle, row: CrashRow) -> None:
        """Handle the crash of a worker."""

    def capacity_changed(self) -> None:
        """Handle a change of the available capacity."""


class FleetCapacity(msgspec.Struct, frozen=True):
    """Summarise the workers of a service."""

    # The capacity of the largest worker, or None if no worker is known.
    largest: Resources | None
    # The cores of the workers that accept runs, in all and free ones. Those on probation count only
    # if all are: without jobs to probe them, none would ever leave it.
    cores: float
    free_cores: float


class _LostLink(msgspec.Struct, frozen=True):
    """Describe a lost link, over which runs were ordered that may not have ended yet."""

    handle: SideHandle
    # When all runs ordered over it have certainly ended.
    runs_end_ms: float


class SideHandle:
    """Track one link to a side process and the orders sent over it."""

    __slots__ = (
        "acknowledged_stamp_ms",
        "address",
        "ended_on",
        "evacuations_sent_ms",
        "evacuations_sent_position",
        "last_order_sequence",
        "link",
        "liveness",
        "lost",
        "ordered_tasks",
        "report",
        "rpc",
        "same_data_centre",
        "unreported_orders",
        "warm",
    )

    def __init__(self, address: str, link: Link, same_data_centre: bool, now_ms: float) -> None:
        self.address = address
        self.link = link
        self.same_data_centre = same_data_centre
        self.rpc = RpcClient(link)
        self.liveness = SideLiveness(now_ms)
        self.report: SideReport | None = None
        # The instance of the worker that the ends in the newest report belong to.
        self.ended_on = InstanceName("")
        self.last_order_sequence = 0
        # The report stamp that was last acknowledged to the side process.
        self.acknowledged_stamp_ms = 0.0
        self.lost = False
        # Whether the side process reports frequently and orders may be sent to it.
        self.warm = True
        # When the evacuation state was last sent, and its position.
        self.evacuations_sent_ms = -math.inf
        self.evacuations_sent_position = 0
        # The order sequence and resources of orders that the newest report does not include yet.
        self.unreported_orders: list[tuple[int, Resources]] = []
        # The tasks ordered over this link that have not ended.
        self.ordered_tasks: dict[tuple[str, int, int], tuple[OpenJob, JobTask]] = {}

    @property
    def activity(self) -> LinkActivity:
        """Return how much the link is used."""
        # A linked side process answers an evacuation state at once. Without an answer the link is
        # replaced, since a cold one may be broken for long before the next report is missing.
        unanswered = self.report is not None and (
            self.liveness.last_report_ms < self.evacuations_sent_ms
        )
        if self.ordered_tasks or unanswered:
            return LinkActivity.BUSY
        return LinkActivity.IDLE if self.warm else LinkActivity.COLD

    @property
    def worker(self) -> str:
        """Return the worker's name, or an empty string before it is known."""
        return self.report.state.worker if self.report is not None else ""

    @property
    def born_ms(self) -> int:
        """Return the birth of the worker's instance in Unix milliseconds, or 0 if unknown."""
        return self.report.state.born_ms if self.report is not None else 0

    @property
    def instance(self) -> InstanceName:
        """Return the worker's name and birth; a restart under its name changes the latter."""
        return InstanceName(self.worker, self.born_ms)

    def free_resources(self) -> Resources:
        """Return the free capacity of the worker, as far as this entry knows."""
        if self.report is None or not self.report.state.accepting:
            return Resources()
        state = self.report.state
        # Runs that already wait there use the capacity before new ones.
        free = Resources(
            state.free_cpu_millis - state.waiting_cpu_millis,
            state.free_memory_mb,
            state.free_gpus,
        )
        for _, resources in self.unreported_orders:
            free = free.minus(resources)
        return free

    def is_lost(self, now_ms: float) -> bool:
        """Return whether the side process is considered lost."""
        return self.liveness.is_lost(now_ms, self.activity)

    def set_warm(self, warm: bool, now_ms: float) -> None:
        """Request frequent or infrequent reports; raise LinkError."""
        self.warm = warm
        if warm:
            self.liveness.request_report(now_ms)
        self.acknowledge()

    def acknowledge(self) -> None:
        """Acknowledge the newest report, which renews the lease of orders; raise LinkError."""
        self.acknowledged_stamp_ms = self.liveness.stamp_ms
        self.link.post(SessionPing(self.liveness.stamp_ms, self.warm, infrequent=True))

    def send_evacuations(self, message: ShareEvacuations, now_ms: float) -> None:
        """Send the evacuated data centres, and expect a report; raise LinkError."""
        self.link.post(message)
        self.evacuations_sent_ms = now_ms
        self.evacuations_sent_position = message.position
        self.liveness.request_report(now_ms)

    def offer(self, now_ms: float) -> WorkerOffer | None:
        """Return the worker's offer, or None if it accepts no runs or its state is outdated."""
        if not self.warm or not self.liveness.has_fresh_report(now_ms):
            return None
        if self.report is None or not self.report.state.accepting:
            return None
        state = self.report.state
        if state.on_trial and (self.unreported_orders or state.waiting_tasks):
            return None
        return WorkerOffer(
            self.instance,
            self.free_resources(),
            state.slowness,
            self.same_data_centre,
            state.on_trial,
            frozenset(state.labels),
            Resources(state.capacity_cpu_millis, state.capacity_memory_mb, state.capacity_gpus),
        )

    def send_orders(self, job: OpenJob, orders: list[TaskOrder], now_ms: float) -> None:
        """Send orders for runs; raise LinkError if they were certainly not sent."""
        message = RunTasks(
            self.liveness.sender_clock_ms(now_ms),
            self.last_order_sequence + 1,
            job.spec.job_id,
            job.spec.payload,
            orders,
            job.queue.name,
            self.report.state.revision if self.report is not None else 0,
        )
        self.link.post(message)
        self.liveness.record_order(now_ms)
        self.acknowledged_stamp_ms = self.liveness.stamp_ms
        self.last_order_sequence += 1
        for order in orders:
            resources = Resources(order.cpu_millis, order.memory_mb, order.gpus)
            self.unreported_orders.append((self.last_order_sequence, resources))


def _is_on_rack(handle: SideHandle, racks: set[str]) -> bool:
    return handle.report is not None and not racks.isdisjoint(handle.report.state.labels)


class SideFleet:
    """Maintain the links of this entry to side processes."""

    def __init__(
        self,
        hello: Hello,
        address: str,
        *,
        clock: Clock,
        network: Network,
        rng: random.Random,
        metrics: Metrics,
        listener: FleetListener,
        evacuations: KnownEvacuations,
    ) -> None:
        self._hello = hello
        self._clock = clock
        self._metrics = metrics
        self._listener = listener
        self._evacuations = SideEvacuations(evacuations, clock, metrics)
        self._connector = LinkConnector(
            hello, self._serve, network=network, clock=clock, rng=rng, metrics=metrics
        )
        self._handles: dict[str, SideHandle] = {}
        # When the newest report arrived, over any link.
        self._last_report_ms = -math.inf
        # The address that this entry listens on, which determines its position among the entries.
        self._address = address
        self._entries: tuple[str, ...] = ()
        self._aperture = Aperture()
        # The linked side processes in the order in which they are added to the aperture, or None
        # after a change of the links or the entries.
        self._ring: list[str] | None = None
        self._warm_count = 0
        # When a task last preferred a rack, and until when first reports from it are awaited.
        self._preferred_racks: dict[str, float] = {}
        self._awaited_racks: dict[str, float] = {}
        # Side processes that this entry has not tried to connect to yet.
        self._new_addresses: set[str] = set()
        self._lost_links: list[_LostLink] = []
        # When links were lost that have not been opened again since.
        self._lost_ms: dict[str, float] = {}

    def add(self, address: str) -> None:
        """Connect to the side process at an address and keep reconnecting to it."""
        if not self._new_addresses:
            # Entries learn of many side processes at a time, and connect to their subset first.
            asyncio.get_running_loop().call_soon(self._connect_new)
        self._new_addresses.add(address)

    def connect_now(self, address: str) -> None:
        """Connect without delay to a side process that has started, unless its link is open."""
        self._connector.connect_now(address)

    def remove(self, address: str) -> None:
        """Close the link to the side process at an address."""
        self._new_addresses.discard(address)
        self._connector.remove(address)

    def is_out_of_contact(self, now_ms: float, limit_ms: float) -> bool:
        """Return whether no side process is linked, or none has reported for a time.

        Cold links stay open for many seconds after they have broken.
        """
        return not self._handles or now_ms - self._last_report_ms > limit_ms

    @property
    def open_links(self) -> int:
        """Return the number of open links."""
        return len(self._handles)

    def is_linked(self, address: str) -> bool:
        """Return whether the link to a side process is open."""
        return address in self._handles

    def handles(self) -> list[SideHandle]:
        """Return the open links on which a report was received recently."""
        now_ms = self._clock.monotonic_ms()
        return [
            handle
            for handle in self._handles.values()
            if handle.report is not None and not handle.lost and not handle.is_lost(now_ms)
        ]

    def usable_handles(self) -> list[SideHandle]:
        """Return the open links to side processes whose workers may be given tasks."""
        return [handle for handle in self.handles() if not self._evacuations.is_excluded(handle)]

    def share_evacuations(self) -> None:
        """Send the evacuated data centres to every side process."""
        for handle in list(self._handles.values()):
            self._evacuations.send(handle)
        self._ring = None
        self._update_warm_links(self._clock.monotonic_ms())

    def set_entries(self, addresses: Iterable[str]) -> None:
        """Set the addresses of the other entries."""
        self._entries = tuple(addresses)
        self._ring = None

    def widen_aperture(self) -> None:
        """Keep more links warm, because the warm ones have no free capacity."""
        now_ms = self._clock.monotonic_ms()
        if self._aperture.widen(len(self._handles), now_ms):
            self._metrics.incr("entry.links_widened")
            self._update_warm_links(now_ms)

    def warm_rack(self, rack: str) -> bool:
        """Keep the links to a rack warm; return whether their first reports are still awaited."""
        now_ms = self._clock.monotonic_ms()
        known = rack in self._preferred_racks
        self._preferred_racks[rack] = now_ms
        if not known:
            if any(
                not each.warm
                and _is_on_rack(each, {rack})
                and not self._evacuations.is_evacuated(each)
                for each in self._handles.values()
            ):
                self._awaited_racks[rack] = now_ms + RACK_REPORT_MS
            self._update_warm_links(now_ms)
        return now_ms < self._awaited_racks.get(rack, 0.0)

    def worker_states(
        self, service: str, addresses: Collection[str] | None = None
    ) -> list[WorkerState]:
        """Return the last reported states of the workers of a service, as for the capacity."""
        return [
            handle.report.state
            for handle in self.usable_handles()
            if handle.report is not None
            and handle.report.state.service == service
            and (addresses is None or handle.address in addresses)
        ]

    def instances(self, service: str) -> list[InstanceName]:
        """Return the worker instances of a service, as for the capacity."""
        return [InstanceName(state.worker, state.born_ms) for state in self.worker_states(service)]

    def accepting_instances(self) -> set[InstanceName]:
        """Return the worker instances that accept runs, as far as this entry knows."""
        return {
            handle.instance
            for handle in self.handles()
            if handle.report is not None and handle.report.state.accepting
        }

    def addresses(self, service: str) -> list[str]:
        """Return the side processes whose workers are of a service, or not back yet."""
        return [
            handle.address
            for handle in self.usable_handles()
            if handle.report is not None and handle.report.state.service in (service, "")
        ]

    def capacity(self, service: str, addresses: Collection[str] | None = None) -> FleetCapacity:
        """Return the capacity of the workers of a service, as far as this entry knows.

        If addresses are given, only the workers of these side processes count.
        """
        largest: Resources | None = None
        healthy_cores = free_cores = probation_cores = 0.0
        for handle in self.usable_handles():
            if handle.report is None or handle.report.state.service != service:
                continue
            if addresses is not None and handle.address not in addresses:
                continue
            state = handle.report.state
            if largest is None or state.capacity_cpu_millis > largest.cpu_millis:
                largest = Resources(
                    state.capacity_cpu_millis, state.capacity_memory_mb, state.capacity_gpus
                )
            if state.accepting and state.on_trial:
                probation_cores += state.capacity_cpu_millis / 1000
            elif state.accepting:
                healthy_cores += state.capacity_cpu_millis / 1000
                free_cores += max(0.0, handle.free_resources().cpu_millis / 1000)
        return FleetCapacity(largest, healthy_cores or probation_cores, free_cores)

    def is_evacuated_for(self, service: str, steps: Iterable[StepSpec]) -> bool:
        """Return whether only evacuated workers could run all steps of a job."""
        if not self._evacuations.any_in_force():
            return False
        handles = (
            handle
            for handle in self.handles()
            if handle.report is not None and handle.report.state.service == service
        )
        return self._evacuations.leave_no_worker(handles, steps)

    def cancel_runs(self, job: OpenJob) -> None:
        """Cancel all runs of a job."""
        for handle in {task.side for task in job.ordered_tasks() if task.side is not None}:
            if handle.lost:
                continue
            try:
                handle.link.post(DropTasks(handle.liveness.stamp_ms, job.spec.job_id))
            except LinkError:
                # The side process stops them by itself once the link has ended.
                self._metrics.incr("entry.drop_unsent")

    async def cancel_job(self, job: str, addresses: Collection[str]) -> set[str]:
        """Stop all runs of a cancelled job, and have later orders for it rejected.

        Return the addresses of the side processes that confirmed it, among those given.
        """
        asked = [handle for handle in self.handles() if handle.address in addresses]
        confirmed = await self._ask_to_clear(asked, job, cancelled=True)
        return {handle.address for handle in confirmed}

    async def clear_job(self, job: str) -> set[str]:
        """Stop other entries' runs of a job, and have their later orders for it rejected.

        Return the addresses of the side processes that confirmed it. The runs at the others have
        ended, unless an entry that is out of reach still reaches them.
        """
        began_ms = self._clock.monotonic_ms()
        asked = self.handles()
        confirmed = await self._ask_to_clear(asked, job)
        # Side processes behind links that were lost recently were not asked.
        answered = {handle.address for handle in confirmed}
        ended_ms = [
            lost_ms + ORDER_END_LIMIT_MS
            for address, lost_ms in self._lost_ms.items()
            if address not in answered
        ]
        if len(confirmed) < len(asked):
            ended_ms.append(began_ms + CLEAR_TIMEOUT_MS)
        wait_ms = max(ended_ms, default=0.0) - self._clock.monotonic_ms()
        if wait_ms > 0:
            await self._clock.sleep_ms(wait_ms)
        # Links that were lost before the call arrived may have been opened again.
        unasked = [handle for handle in self.handles() if handle not in confirmed]
        confirmed |= await self._ask_to_clear(unasked, job)
        return {handle.address for handle in confirmed}

    async def _ask_to_clear(
        self, handles: list[SideHandle], job: str, *, cancelled: bool = False
    ) -> set[SideHandle]:
        """Send a request to clear a job, and return the links over which it was confirmed."""
        replies = await asyncio.gather(
            *(
                handle.rpc.call(
                    lambda call_id: ClearJob(call_id, job, cancelled), ClearedJob, CLEAR_TIMEOUT_MS
                )
                for handle in handles
            ),
            return_exceptions=True,
        )
        confirmed = set()
        for handle, reply in zip(handles, replies, strict=True):
            if isinstance(reply, BaseException):
                logger.info(
                    "side process did not confirm",
                    extra={"job": job, "address": handle.address, "error": str(reply)},
                )
            else:
                confirmed.add(handle)
        return confirmed

    async def run(self) -> None:
        """Close links that are lost and update the warm ones, until cancelled."""
        while True:
            await self._clock.sleep_ms(CHECK_INTERVAL_MS)
            now_ms = self._clock.monotonic_ms()
            for handle in list(self._handles.values()):
                if handle.is_lost(now_ms):
                    self._mark_lost(handle, "silent")
            self._update_warm_links(now_ms)
            self._lost_ms = {
                address: lost_ms
                for address, lost_ms in self._lost_ms.items()
                if now_ms - lost_ms < ORDER_END_LIMIT_MS
            }
            for lost in [each for each in self._lost_links if now_ms >= each.runs_end_ms]:
                self._settle_lost(lost, "lease expired")

    def stop(self) -> None:
        """Close all links."""
        self._new_addresses.clear()
        self._connector.stop()

    def _connect_new(self) -> None:
        new, self._new_addresses = self._new_addresses, set()
        ring = order_links(self._address, self._entries, {*self._connector.addresses, *new})
        for address, delay_ms in connect_delays_ms(ring, new).items():
            self._connector.add(address, delay_ms)

    def _update_warm_links(self, now_ms: float) -> None:
        """Keep the links in this entry's aperture and those with orders warm."""
        width = self._aperture.width(now_ms)
        usable = {
            address
            for address, handle in self._handles.items()
            if not self._evacuations.is_evacuated(handle)
        }
        self._preferred_racks = {
            rack: preferred_ms
            for rack, preferred_ms in self._preferred_racks.items()
            if now_ms - preferred_ms < RACK_WARM_MS
        }
        racks = set(self._preferred_racks)
        if width >= len(usable):
            wanted = usable
        else:
            if self._ring is None:
                self._ring = order_links(self._address, self._entries, usable)
            wanted = set(self._ring[:width])
        for handle in self._handles.values():
            warm = (
                handle.address in wanted
                or bool(handle.ordered_tasks)
                or (handle.address in usable and _is_on_rack(handle, racks))
            )
            if warm != handle.warm:
                try:
                    handle.set_warm(warm, now_ms)
                except LinkError:
                    # The link's reader detects the failure.
                    self._metrics.incr("entry.ping_unsent")
        warm_count = sum(each.warm for each in self._handles.values())
        if warm_count != self._warm_count:
            self._warm_count = warm_count
            self._metrics.gauge("entry.links_warm", warm_count)

    async def _serve(self, address: str, link: Link) -> None:
        same_data_centre = link.peer.data_centre == self._hello.data_centre
        handle = SideHandle(address, link, same_data_centre, self._clock.monotonic_ms())
        self._handles[address] = handle
        self._ring = None
        # Before any order, so that the side process never acts on an older state of this entry.
        self._evacuations.send(handle)
        try:
            while True:
                self._handle(handle, await link.receive())
        except LinkError as error:
            self._mark_lost(handle, str(error))
        finally:
            self._mark_lost(handle, "link closed")
            handle.rpc.close()

    def _handle(self, handle: SideHandle, message: Message) -> None:
        match message:
            case SideReport():
                self._handle_report(handle, message)
            case Reply():
                handle.rpc.handle_reply(message)
            case _:
                self._metrics.incr("entry.unexpected_message")

    def _handle_report(self, handle: SideHandle, report: SideReport) -> None:
        if handle.lost:
            return
        first = handle.report is None or not handle.report.state.worker
        former_born_ms = handle.born_ms
        restarted = handle.worker == report.state.worker and former_born_ms != report.state.born_ms
        former, handle.report = handle.instance, report
        handle.ended_on = former if former.worker else handle.instance
        self._last_report_ms = self._clock.monotonic_ms()
        handle.liveness.record_report(report.stamp_ms, self._last_report_ms)
        handle.unreported_orders = [
            each for each in handle.unreported_orders if each[0] > report.seen
        ]
        for crash in report.crashes:
            self._listener.worker_crashed(handle, crash)
        for ended in report.ends:
            self._listener.run_ended(self._find_ordering_handle(handle, ended), ended)
        if first and report.state.worker:
            self._handle_side_up(handle)
        elif restarted:
            self._metrics.incr("entry.worker_restarted")
            logger.info(
                "worker has restarted under its id",
                extra={
                    "address": handle.address,
                    "worker": handle.worker,
                    "born_ms": handle.born_ms,
                    "former_born_ms": former_born_ms,
                },
            )
        self._evacuations.correct(handle)
        if handle.liveness.stamp_ms - handle.acknowledged_stamp_ms >= ACKNOWLEDGE_AFTER_MS:
            self._acknowledge(handle)
        self._listener.capacity_changed()

    def _find_ordering_handle(self, handle: SideHandle, ended: EndRow) -> SideHandle:
        """Return the link over which a run was ordered: the present one, or one that was lost."""
        task = (ended.job, ended.step, ended.index)
        if task not in handle.ordered_tasks:
            for lost in self._lost_links:
                if lost.handle.address == handle.address and task in lost.handle.ordered_tasks:
                    return lost.handle
        return handle

    def _acknowledge(self, handle: SideHandle) -> None:
        """Acknowledge the newest report, and ignore a broken link."""
        try:
            handle.acknowledge()
        except LinkError:
            # The link's reader detects the failure.
            self._metrics.incr("entry.ping_unsent")

    def _handle_side_up(self, handle: SideHandle) -> None:
        logger.info(
            "side process connected",
            extra={
                "address": handle.address,
                "worker": handle.worker,
                "born_ms": handle.born_ms,
            },
        )
        self._metrics.incr("entry.side_up")
        self._lost_ms.pop(handle.address, None)
        # The first report with a worker confirms that all earlier orders there have ended.
        for lost in [each for each in self._lost_links if each.handle.address == handle.address]:
            self._settle_lost(lost, "reported by the new link")

    def _settle_lost(self, lost: _LostLink, reason: str) -> None:
        """Count the runs ordered over a lost link as ended."""
        self._lost_links.remove(lost)
        handle = lost.handle
        if handle.ordered_tasks:
            now_ms = self._clock.monotonic_ms()
            logger.info(
                "runs of lost side process have ended",
                extra={
                    "address": handle.address,
                    "worker": handle.worker,
                    "reason": reason,
                    "runs": len(handle.ordered_tasks),
                    "report_age_ms": round(now_ms - handle.liveness.last_report_ms),
                },
            )
        self._listener.runs_lost(handle)

    def _mark_lost(self, handle: SideHandle, reason: str) -> None:
        if handle.lost:
            return
        handle.lost = True
        handle.link.abort()
        if self._handles.get(handle.address) is handle:
            del self._handles[handle.address]
            self._ring = None
        logger.info(
            "side process lost",
            extra={
                "address": handle.address,
                "worker": handle.worker,
                "born_ms": handle.born_ms,
                "reason": reason,
                "runs": len(handle.ordered_tasks),
            },
        )
        self._metrics.incr("entry.side_down")
        now_ms = self._clock.monotonic_ms()
        self._lost_links.append(_LostLink(handle, handle.liveness.runs_end_ms()))
        self._lost_ms[handle.address] = now_ms
