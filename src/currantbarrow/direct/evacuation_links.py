"""Exchange an entry's evacuation state with its peers and with the side processes.

Every process has to know within seconds, also one whose links carry a message every few seconds
only. The state is therefore sent first over each new link and at each change of the set, and a side
process confirms it at once.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

from currantbarrow.direct.evacuation import EvacuationState, KnownEvacuations
from currantbarrow.direct.model import Resources, StepSpec
from currantbarrow.exceptions import LinkError
from currantbarrow.protocol.direct import ShareEvacuations, SideReport
from currantbarrow.types import Clock, Link, Metrics

__all__ = ["PeerEvacuations", "SideEvacuations", "SideLink"]


class SideLink(Protocol):
    """Provide what is known of a side process, and send it the state."""

    link: Link
    report: SideReport | None
    evacuations_sent_position: int

    def send_evacuations(self, message: ShareEvacuations, now_ms: float) -> None:
        """Send the evacuated data centres, and expect a report; raise LinkError."""


class SideEvacuations:
    """Send the state to side processes, and exclude the workers of evacuated data centres."""

    __slots__ = ("_clock", "_known", "_metrics")

    def __init__(self, known: KnownEvacuations, clock: Clock, metrics: Metrics) -> None:
        self._known = known
        self._clock = clock
        self._metrics = metrics

    def is_excluded(self, side: SideLink) -> bool:
        """Return whether a worker is evacuated, as this entry or its side process knows."""
        return self._known.is_missing() or self.is_evacuated(side) or _reports_evacuated(side)

    def is_evacuated(self, side: SideLink) -> bool:
        """Return whether the data centre of a side process is evacuated."""
        return self._known.is_evacuated(side.link.peer.data_centre)

    def any_in_force(self) -> bool:
        """Return whether any data centre is evacuated."""
        return bool(self._known.data_centres)

    def leave_no_worker(self, sides: Iterable[SideLink], steps: Iterable[StepSpec]) -> bool:
        """Return whether only evacuated workers, out of those of a service, could run a job."""
        sides = list(sides)
        usable = [side for side in sides if not self.is_excluded(side)]
        return any(
            not any(_could_run(side, step) for side in usable)
            and any(_could_run(side, step) for side in sides)
            for step in steps
        )

    def send(self, side: SideLink) -> None:
        """Send the state to a side process, if any is known."""
        message = self._known.message()
        if message is None:
            return
        try:
            side.send_evacuations(message, self._clock.monotonic_ms())
        except LinkError:
            # The link's reader detects the failure, and a new link begins with the state.
            self._metrics.incr("entry.ping_unsent")

    def correct(self, side: SideLink) -> None:
        """Send the state to a side process whose report shows that it follows another one."""
        differs = _reports_evacuated(side) != self.is_evacuated(side)
        if differs and self._known.position > side.evacuations_sent_position:
            self.send(side)


class PeerEvacuations:
    """Exchange the state with the other entries, over links that either side has opened.

    The position grows with every configuration, so the state is sent only to peers that have, or
    may have, another set.
    """

    __slots__ = ("_apply", "_exchanged", "_known", "_metrics")

    def __init__(
        self,
        known: KnownEvacuations,
        apply: Callable[[EvacuationState, str], None],
        metrics: Metrics,
    ) -> None:
        self._known = known
        self._apply = apply
        self._metrics = metrics
        # The set last sent or received over each link, None before.
        self._exchanged: dict[Link, frozenset[str] | None] = {}

    @property
    def position(self) -> int:
        """Return the position of the state, 0 if none is known."""
        return self._known.position

    def is_missing(self) -> bool:
        """Return whether a state is required but not known yet."""
        return self._known.is_missing()

    def add(self, link: Link) -> None:
        """Send the state over a new link."""
        self._exchanged = {each: sent for each, sent in self._exchanged.items() if not each.closed}
        self._exchanged[link] = None
        self._send(link)

    def share(self) -> None:
        """Send the state to all peers that have another set."""
        for link in list(self._exchanged):
            self._send(link)

    def update(self, link: Link, position: int) -> None:
        """Send the state to a peer whose state has a lower position, if its set differs."""
        if position < self._known.position:
            self._send(link)

    def receive(self, link: Link, message: ShareEvacuations) -> None:
        """Apply the state of a peer, or send it this entry's if that is newer."""
        data_centres = frozenset(message.data_centres)
        self._exchanged[link] = data_centres
        self._apply(EvacuationState(message.position, data_centres), link.peer.name)
        self.update(link, message.position)

    def _send(self, link: Link) -> None:
        message = self._known.message()
        if message is None or link.closed or self._exchanged.get(link) == self._known.data_centres:
            return
        try:
            link.post(message)
        except LinkError:
            # The link's reader detects the failure, and a new link begins with the state.
            self._metrics.incr("entry.ping_unsent")
            return
        self._exchanged[link] = self._known.data_centres


def _reports_evacuated(side: SideLink) -> bool:
    return side.report is not None and side.report.state.evacuated


def _could_run(side: SideLink, step: StepSpec) -> bool:
    """Return whether a worker could run a task of a step if all its resources were free."""
    if side.report is None:
        return False
    state = side.report.state
    capacity = Resources(state.capacity_cpu_millis, state.capacity_memory_mb, state.capacity_gpus)
    has_label = not step.required_label or step.required_label in state.labels
    return has_label and capacity.covers(step.resources)
