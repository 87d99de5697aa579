"""Define the format of scenario files: processes, work, timed faults, expectations."""

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
    """Represent a duration in milliseconds, written as in 300 ms, 2 s or 1 min."""


class _ScenarioPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Serve as the base of all parts of a scenario."""


class FleetSize(_ScenarioPart, frozen=True):
    """Describe the size of a fleet; its parts are named entry-0, side-0, rack-0 and so on."""

    entries: PositiveInt = 3
    sides: PositiveInt = 11
    slots: PositiveInt = 8
    data_centres: tuple[str, ...] = ("one", "two", "three")
    sides_per_rack: PositiveInt = 3
    window: Duration = Duration(600_000)


class Work(_ScenarioPart, frozen=True):
    """Describe jobs that are submitted at regular intervals, and how their callers behave."""

    at: Duration
    jobs: PositiveInt = 1
    every: Duration = Duration(20)
    name: str = "job"
    # The name of an entry; if empty, the load balancer chooses one.
    entry: str = ""
    customer: str = "a"
    job_class: str = msgspec.field(default="quote", name="class")
    tasks: PositiveInt = 3
    run: Duration = Duration(200)
    run_up_to: Duration | None = None
    size_slots: PositiveInt = 1
    fail: bool = False
    # Delays from the first submission to each resubmission; entries are used in turn.
    resubmit_after: list[Duration] = []
    resubmit_to: list[str] = []
    cancel_after: Duration | None = None
    cancel_to: str = ""
    # Cancel before submitting, as if the cancellation had overtaken the submission.
    cancel_first: bool = False
    hang_up_after: Duration | None = None
    # Age of the job keys at submission.
    age: Duration = Duration(0)
    patience: Duration = Duration(60_000)


class _Fault(_ScenarioPart, frozen=True, tag_field="do"):
    at: Duration


class Kill(_Fault, frozen=True, tag="kill"):
    """Crash processes; if silently, together with their hosts, so no link is closed."""

    who: list[str]
    silently: bool = False


class Restart(_Fault, frozen=True, tag="restart"):
    """Crash processes, and start new incarnations under the same names."""

    who: list[str]


class Start(_Fault, frozen=True, tag="start"):
    """Start processes that are not running."""

    who: list[str]


class Pause(_Fault, frozen=True, tag="pause"):
    """Freeze processes for a while."""

    who: list[str]
    lasts: Duration


class Cut(_Fault, frozen=True, tag="cut"):
    """Cut the links between two groups of processes; log stands for the log service."""

    between: Annotated[list[list[str]], msgspec.Meta(min_length=2, max_length=2)]
    lasts: Duration


class Delay(_Fault, frozen=True, tag="delay"):
    """Delay all messages from some processes to others."""

    sender: list[str]
    receiver: list[str]
    late: Duration
    lasts: Duration


class Drain(_Fault, frozen=True, tag="drain"):
    """Shut processes down gracefully."""

    who: list[str]


class Leave(_Fault, frozen=True, tag="leave"):
    """Have the upstreams of side processes announce that they leave."""

    who: list[str]
    lost_messages: NonNegativeInt = 0


class LoseAnnouncements(_Fault, frozen=True, tag="silence"):
    """Lose the next announcements of upstreams."""

    who: list[str]
    lost_messages: PositiveInt


class LogDown(_Fault, frozen=True, tag="log_down"):
    """Make the log service unavailable."""

    lasts: Duration


class LogSlow(_Fault, frozen=True, tag="log_slow"):
    """Delay appends to and reads from the log service."""

    append: Duration
    lasts: Duration
    read: Duration = Duration(1)


class LogLossy(_Fault, frozen=True, tag="log_lossy"):
    """Lose the replies to a share of the appends that took effect."""

    share: Share
    lasts: Duration


class LogLimited(_Fault, frozen=True, tag="log_limited"):
    """Limit the rate of appends that the log service accepts."""

    appends_per_s: PositiveInt
    lasts: Duration


class LogExpire(_Fault, frozen=True, tag="log_expire"):
    """Set a retention time for the records of the log service."""

    after: Duration
    lasts: Duration


class Disorder(_Fault, frozen=True, tag="disorder"):
    """Duplicate, reorder and delay messages on all links."""

    lasts: Duration
    duplicated: Share = 0.0
    reordered: Share = 0.0
    late: Duration = Duration(0)


class FailAllTasks(_Fault, frozen=True, tag="fails_all"):
    """Have workers fail every task that they start."""

    who: list[str]
    lasts: Duration


class BreakConnections(_Fault, frozen=True, tag="loses_all"):
    """Have workers break the connection of every task that they start."""

    who: list[str]
    lasts: Duration


class Stragglers(_Fault, frozen=True, tag="stragglers"):
    """Make a share of the tasks on workers run longer than declared by a factor."""

    who: list[str]
    share: Share
    factor: float
    lasts: Duration


class Skew(_Fault, frozen=True, tag="skew"):
    """Skew the wall clocks of processes."""

    who: list[str]
    by: Duration
    behind: bool = False


class SetClass(_Fault, frozen=True, tag="set_class"):
    """Change a class through an entry, as an operator does."""

    name: str
    target: Duration
    entry: str
    based_on_latest: bool = True


class RaceClass(_Fault, frozen=True, tag="race_class"):
    """Change one class through several entries at once, from the same revision."""

    name: str
    targets: list[Duration]
    entries: list[str]


class RemoveClass(_Fault, frozen=True, tag="remove_class"):
    """Remove a class through an entry, as an operator does."""

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
    """Describe the bounds of a count."""

    at_least: NonNegativeInt = 0
    at_most: NonNegativeInt | None = None

    def contains(self, count: int) -> bool:
        """Return whether a count is within the bounds."""
        return self.at_least <= count and (self.at_most is None or count <= self.at_most)


class Expectations(_ScenarioPart, frozen=True):
    """Describe the expected results beside the promises, which are always checked."""

    complete: Bounds = Bounds()
    failed: Bounds = Bounds()
    refused: Bounds = Bounds()
    # Jobs with at least one task of unknown outcome.
    unknown: Bounds = Bounds()
    # Callers whose last result is an error, or that got no result.
    errors: Bounds = Bounds(0, 0)
    starts: Bounds = Bounds()
    class_conflicts: Bounds = Bounds()
    # A job for each shard, submitted at this time, must complete within 3 s.
    works_at: Duration | None = None
    # Metric counters, summed over the running processes.
    counters: dict[str, Bounds] = {}


class Scenario(_ScenarioPart, frozen=True):
    """Describe one scenario file."""

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
