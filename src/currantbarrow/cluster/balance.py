"""Compute the owners of shards and the members of the panel."""

from __future__ import annotations

import collections
import itertools
from collections.abc import Sequence

from currantbarrow.cluster.state import Assignment, Member
from currantbarrow.jobs import SHARD_COUNT

__all__ = ["balance_shards", "choose_panel"]

PANEL_SIZE = 5


def balance_shards(assignment: Assignment, alive: Sequence[str]) -> list[str]:
    """Return an owner for each shard: balanced, with as few moves as possible."""
    if not alive:
        return list(assignment.owners)
    names = sorted(alive)
    share, extra = divmod(SHARD_COUNT, len(names))
    shards_by_owner: dict[str, list[int]] = {name: [] for name in names}
    unassigned: list[int] = []
    for shard in range(SHARD_COUNT):
        owner = assignment.owner_of(shard)
        shards_by_owner.get(owner, unassigned).append(shard)
    # Owners with the most shards get the larger quotas, which avoids unnecessary moves.
    by_shard_count = sorted(names, key=lambda name: (-len(shards_by_owner[name]), name))
    quota = {name: share + (rank < extra) for rank, name in enumerate(by_shard_count)}
    for name in names:
        unassigned.extend(shards_by_owner[name][quota[name] :])
        del shards_by_owner[name][quota[name] :]
    remaining = iter(unassigned)
    for name in names:
        shards_by_owner[name].extend(
            itertools.islice(remaining, quota[name] - len(shards_by_owner[name]))
        )
    owner_by_shard = {shard: name for name, shards in shards_by_owner.items() for shard in shards}
    return [owner_by_shard[shard] for shard in range(SHARD_COUNT)]


def choose_panel(current: Sequence[str], sides: Sequence[Member]) -> list[str]:
    """Return a panel that keeps live members and spreads over data centres and racks."""
    by_incarnation = {side.incarnation: side for side in sides}
    panel = [member for member in current if member in by_incarnation]
    while len(panel) < min(PANEL_SIZE, len(sides)):
        centres = collections.Counter(by_incarnation[member].data_centre for member in panel)
        racks = collections.Counter(by_incarnation[member].rack for member in panel)
        candidates = [side for side in sides if side.incarnation not in panel]
        best = min(
            candidates,
            key=lambda side: (centres[side.data_centre], racks[side.rack], side.incarnation),
        )
        panel.append(best.incarnation)
    return sorted(panel)
