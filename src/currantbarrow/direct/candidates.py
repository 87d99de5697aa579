"""Describe the workers that tasks may be placed on in a dispatch pass."""

from __future__ import annotations

import msgspec

from currantbarrow.direct.fleet import SideHandle
from currantbarrow.direct.speeds import WorkerOffer

__all__ = ["WorkerCandidate"]


class WorkerCandidate(msgspec.Struct, frozen=True):
    """Describe a worker's offer and the link to its side process."""

    handle: SideHandle
    offer: WorkerOffer
