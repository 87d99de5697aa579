"""Define the test language: processes, work, faults with their times, expectations."""

from __future__ import annotations

from typing import Annotated

import msgspec

from currantbarrow.scenario.oracle import Promise

__all__ = [
    "Bounds",
    "BreakConnections",
    "Cut",
    "Delay",
    "Disorder",
    "Drain",
    "Duration",
    "Expectations",
    "FailAllTasks",
    "Fault",
    "FleetSize",
    "Kill",
    "Leave",
    "LogDown",
    "LogExpire",
    "LogLimited",
    "LogLossy",
    "LogSlow",
    "LoseAnnouncements",
    "Pause",
    "RaceClass",
    "RemoveClass",
    "Restart",
    "Scenario",
    "SetClass",
    "Skew",
    "Start",
    "Stragglers",
    "Work",
]

Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]
PositiveInt = Annotated[int, msgspec.Meta(ge=1)]


class Duration(float):
    """Hold a length of time in milliseconds, written as in 300 ms, 2 s or 1 min."""


class _ScenarioPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Be the base of all parts of a scenario."""


class FleetSize(_ScenarioPart, frozen=True):
    """Say which processes there are; they are named entry-0, side-0, rack-0 and so on."""

    entries: PositiveInt = 3
    sides: PositiveInt = 11
    slots: PositiveInt = 8
    data_centres: tuple[str, ...] = ("one", "two", "three")
    sides_per_rack: PositiveInt = 3
    window: Duration = Duration(600_000)


class Work(_ScenarioPart, frozen=True):
    """Submit jobs, one after the other, and say how their callers behave."""

    at: Duration
    jobs: PositiveInt = 1
    every: Duration = Duration(20)
    name: str = "job"
    # An entry's name, or empty for one that the balancer chooses.
    entry: str = ""
    customer: str = "a"
    job_class: str = msgspec.field(default="quote", name="class")
    tasks: PositiveInt = 3
    run: Duration = Duration(200)
    run_up_to: Duration | None = None
    size_slots: PositiveInt = 1
    fail: bool = False
    # Each resubmission goes out this long after the first, to the entries in turn.
    resubmit_after: list[Duration] = []
    resubmit_to: list[str] = []
    cancel_after: Duration | None = None
    cancel_to: str = ""
    # Let the cancellation overtake the submission.
    cancel_first: bool = False
    hang_up_after: Duration | None = None
    # How long ago the keys were made.
    age: Duration = Duration(0)
    patience: Duration = Duration(60_000)


class _Fault(_ScenarioPart, frozen=True, tag_field="do"):
    at: Duration


class Kill(_Fault, frozen=True, tag="kill"):
    """Crash processes; silently when the whole host goes and no link is closed."""

    who: list[str]
    silently: bool = False


class Restart(_Fault, frozen=True, tag="restart"):
    """Start new incarnations under the same names, crashing the old ones first."""

    who: list[str]


class Start(_Fault, frozen=True, tag="start"):
    """Start processes that were not there at the beginning."""

    who: list[str]


class Pause(_Fault, frozen=True, tag="pause"):
    """Freeze processes for a while."""

    who: list[str]
    lasts: Duration


class Cut(_Fault, frozen=True, tag="cut"):
    """Let nothing pass between two groups of processes; log stands for the log service."""

    between: Annotated[list[list[str]], msgspec.Meta(min_length=2, max_length=2)]
    lasts: Duration


class Delay(_Fault, frozen=True, tag="delay"):
    """Make all that some processes send to others late."""

    sender: list[str]
    receiver: list[str]
    late: Duration
    lasts: Duration


class Drain(_Fault, frozen=True, tag="drain"):
    """Shut processes down gracefully."""

    who: list[str]


class Leave(_Fault, frozen=True, tag="leave"):
    """Let the upstreams of side processes say that they leave."""

    who: list[str]
    lost_messages: NonNegativeInt = 0


class LoseAnnouncements(_Fault, frozen=True, tag="silence"):
    """Lose the announcements of upstreams."""

    who: list[str]
    lost_messages: PositiveInt


class LogDown(_Fault, frozen=True, tag="log_down"):
    """Take the log service down."""

    lasts: Duration


class LogSlow(_Fault, frozen=True, tag="log_slow"):
    """Make the log service slow."""

    append: Duration
    lasts: Duration
    read: Duration = Duration(1)


class LogLossy(_Fault, frozen=True, tag="log_lossy"):
    """Lose replies to appends that took effect."""

    share: Share
    lasts: Duration


class LogLimited(_Fault, frozen=True, tag="log_limited"):
    """Let the log service take only so many appends a second."""

    appends_per_s: PositiveInt
    lasts: Duration


class LogExpire(_Fault, frozen=True, tag="log_expire"):
    """Let records expire after a time, from now on or for a while."""

    after: Duration
    lasts: Duration


class Disorder(_Fault, frozen=True, tag="disorder"):
    """Duplicate, reorder and delay messages on all links."""

    lasts: Duration
    duplicated: Share = 0.0
    reordered: Share = 0.0
    late: Duration = Duration(0)


class FailAllTasks(_Fault, frozen=True, tag="fails_all"):
    """Let workers fail everything that they start."""

    who: list[str]
    lasts: Duration


class BreakConnections(_Fault, frozen=True, tag="loses_all"):
    """Let workers break the connection of everything that they start."""

    who: list[str]
    lasts: Duration


class Stragglers(_Fault, frozen=True, tag="stragglers"):
    """Let a share of the tasks on workers take far longer than declared."""

    who: list[str]
    share: Share
    factor: float
    lasts: Duration


class Skew(_Fault, frozen=True, tag="skew"):
    """Put the wall clocks of processes wrong."""

    who: list[str]
    by: Duration
    behind: bool = False


class SetClass(_Fault, frozen=True, tag="set_class"):
    """Let an operator change a class through an entry."""

    name: str
    target: Duration
    entry: str
    based_on_latest: bool = True


class RaceClass(_Fault, frozen=True, tag="race_class"):
    """Let several operators change one class at once, based on the same revision."""

    name: str
    targets: list[Duration]
    entries: list[str]


class RemoveClass(_Fault, frozen=True, tag="remove_class"):
    """Let an operator remove a class through an entry."""

    name: str
    entry: str


Fault = (
    Kill
    | Restart
    | Start
    | Pause
    | Cut
    | Delay
    | Drain
    | Leave
    | LoseAnnouncements
    | LogDown
    | LogSlow
    | LogLossy
    | LogLimited
    | LogExpire
    | Disorder
    | FailAllTasks
    | BreakConnections
    | Stragglers
    | Skew
    | SetClass
    | RaceClass
    | RemoveClass
)


class Bounds(_ScenarioPart, frozen=True):
    """Bound a count."""

    at_least: NonNegativeInt = 0
    at_most: NonNegativeInt | None = None

    def contains(self, count: int) -> bool:
        """Tell whether a count is within the bounds."""
        return self.at_least <= count and (self.at_most is None or count <= self.at_most)


class Expectations(_ScenarioPart, frozen=True):
    """Say what must come out beside the promises, which are always checked."""

    complete: Bounds = Bounds()
    failed: Bounds = Bounds()
    refused: Bounds = Bounds()
    # Jobs of which some task has an unknown outcome.
    unknown: Bounds = Bounds()
    # Callers who got an error or nothing in the end.
    errors: Bounds = Bounds(0, 0)
    starts: Bounds = Bounds()
    class_conflicts: Bounds = Bounds()
    # At this time a job for each shard must complete within three seconds.
    works_at: Duration | None = None
    # Counters, summed over the living processes.
    counters: dict[str, Bounds] = {}


class Scenario(_ScenarioPart, frozen=True):
    """Hold one whole scenario."""

    about: str
    proves: list[Promise]
    until: Duration
    seed: int = 1
    fleet: FleetSize = FleetSize()
    classes: dict[str, Duration] = msgspec.field(
        default_factory=lambda: {"quote": Duration(300), "hold": Duration(200)}
    )
    work: list[Work] = []
    faults: list[Fault] = []
    expect: Expectations = Expectations()
