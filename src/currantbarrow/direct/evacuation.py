"""Track which data centres operators have evacuated, in entries and in side processes.

The operators' records are a replicated log, so the set of evacuated data centres after all records
before a position is fixed. Whoever sends a state with a higher position knows more, and a state
with a lower one changes nothing: a process that was out of contact cannot bring back an evacuation
that has ended, nor end one that is in force.
"""

from __future__ import annotations

import msgspec

from currantbarrow.observe import logger
from currantbarrow.protocol.direct import ShareEvacuations
from currantbarrow.types import Clock

__all__ = ["STORE_SOURCE", "EvacuationState", "KnownEvacuations"]

# Named in log lines as the source of a state that was read from the store.
STORE_SOURCE = "store"


class EvacuationState(msgspec.Struct, frozen=True):
    """Contain the evacuated data centres after all operators' records before a position."""

    position: int
    data_centres: frozenset[str] = frozenset()


class KnownEvacuations:
    """Keep the newest state that this process knows."""

    __slots__ = ("_clock", "_in_force_ms", "_received_ms", "required", "state")

    def __init__(self, clock: Clock, *, required: bool = False) -> None:
        self._clock = clock
        # Whether nothing may be ordered before a state is known.
        self.required = required
        self.state: EvacuationState | None = None
        # When this process last received its present state.
        self._received_ms = 0.0
        # When this process learnt of each evacuation that is in force.
        self._in_force_ms: dict[str, float] = {}

    @property
    def data_centres(self) -> frozenset[str]:
        """Return the evacuated data centres, as far as this process knows."""
        return self.state.data_centres if self.state is not None else frozenset()

    @property
    def position(self) -> int:
        """Return the position of the state, 0 if none is known."""
        return self.state.position if self.state is not None else 0

    def is_missing(self) -> bool:
        """Return whether a state is required but not known yet."""
        return self.required and self.state is None

    def is_evacuated(self, data_centre: str) -> bool:
        """Return whether a data centre is evacuated, as far as this process knows."""
        return data_centre in self.data_centres

    def message(self) -> ShareEvacuations | None:
        """Return the message that reports the state, or None if none is known."""
        if self.state is None:
            return None
        return ShareEvacuations(self.state.position, sorted(self.state.data_centres))

    def apply_message(self, message: ShareEvacuations, source: str) -> bool:
        """Apply a state that another process sent; return whether the set changed."""
        return self.apply(
            EvacuationState(message.position, frozenset(message.data_centres)), source
        )

    def apply(self, state: EvacuationState, source: str) -> bool:
        """Apply a state if it is newer; return whether the set changed or became known."""
        if state.position < max(1, self.position):
            return False
        now_ms = self._clock.monotonic_ms()
        before = self.state
        if before is not None and state.position == before.position:
            self._received_ms = now_ms
            return False
        state_age_ms = round(now_ms - self._received_ms) if before is not None else None
        self.state = state
        self._received_ms = now_ms
        if before is not None and before.data_centres == state.data_centres:
            return False
        self._log_change(state, source, state_age_ms, now_ms)
        return True

    def _log_change(
        self, state: EvacuationState, source: str, state_age_ms: int | None, now_ms: float
    ) -> None:
        for data_centre in sorted(state.data_centres - self._in_force_ms.keys()):
            self._in_force_ms[data_centre] = now_ms
            logger.warning(
                "evacuation in force",
                extra={
                    "data_centre": data_centre,
                    "position": state.position,
                    "source": source,
                    # The state known before; the change came at most this much earlier.
                    "state_age_ms": state_age_ms,
                },
            )
        for data_centre in sorted(self._in_force_ms.keys() - state.data_centres):
            began_ms = self._in_force_ms.pop(data_centre)
            logger.warning(
                "evacuation ended",
                extra={
                    "data_centre": data_centre,
                    "position": state.position,
                    "source": source,
                    "state_age_ms": state_age_ms,
                    "in_force_ms": round(now_ms - began_ms),
                },
            )
