"""Define the benchmark cases: the load, the customers and the fault of each."""

from __future__ import annotations

import msgspec

from currantbarrow.bench import faults
from currantbarrow.bench.faults import Fault
from currantbarrow.load.workload import Workload, WorkloadClass

__all__ = ["CASES", "BenchCase", "find_cases"]

LONG_TASK_CLASS = WorkloadClass("rebuild", 10_000.0, 0.03, (2000.0, 5000.0), (10, 40), True)
# Ten small customers; the second list adds one that submits 100 times as many jobs as each.
SMALL_CUSTOMERS = tuple((f"small-{number}", 0.01) for number in range(10))
SMALL_AND_LARGE_CUSTOMERS = (*SMALL_CUSTOMERS, ("huge", 1.0))


class BenchCase(msgspec.Struct, frozen=True):
    """Describe a benchmark case; a load is the mean share of all slots that its jobs keep busy."""

    name: str
    load: float
    fault: Fault | None = None
    load_s: float = 8.0
    customers: tuple[tuple[str, float], ...] = ()
    small_customer_prefix: str = ""
    extra_class: WorkloadClass | None = None
    declared_factors: tuple[float, ...] = (1.0,)
    straggler_share: float = 0.0
    burst_customer: str = ""
    burst_load: float = 0.0
    burst_s: tuple[float, float] = (0.0, 0.0)
    burst_every_s: float = 0.0
    cancel_wave: bool = False
    single_fault: bool = False

    def workload(self, base_workload: Workload) -> Workload:
        """Return the workload with the customers and the additional class of this case."""
        classes = list(base_workload.classes)
        if self.extra_class is not None:
            classes.append(self.extra_class)
        customers = list(self.customers) or base_workload.customers
        return msgspec.structs.replace(base_workload, classes=classes, customers=customers)

    def small_prefix(self, base_workload: Workload) -> str:
        """Return the prefix of the names of small customers."""
        return self.small_customer_prefix or base_workload.customers[0][0]

    def bursts_s(self, load_s: float) -> list[tuple[float, float]]:
        """Return the start and end of each burst, in seconds from the start of the load."""
        if not self.burst_load:
            return []
        begin_s, end_s = self.burst_s
        if not self.burst_every_s:
            return [self.burst_s]
        count = max(1, int((load_s - begin_s) // self.burst_every_s))
        shifts_s = [number * self.burst_every_s for number in range(count)]
        return [(begin_s + shift_s, end_s + shift_s) for shift_s in shifts_s]


CASES = [
    BenchCase("steady-30", 0.3, load_s=20.0),
    BenchCase("steady-70", 0.7, load_s=20.0),
    BenchCase("steady-90", 0.9, load_s=20.0),
    BenchCase("steady-120", 1.2, load_s=20.0),
    BenchCase("steady-200", 2.0, load_s=6.0),
    BenchCase("steady-500", 5.0, load_s=4.0),
    BenchCase(
        "small-alone", 0.06, customers=SMALL_CUSTOMERS, small_customer_prefix="small-", load_s=24.0
    ),
    BenchCase(
        "small-beside-100x",
        0.66,
        customers=SMALL_AND_LARGE_CUSTOMERS,
        small_customer_prefix="small-",
        burst_customer="huge",
        burst_load=2.0,
        burst_s=(2.0, 4.0),
        burst_every_s=6.0,
        load_s=24.0,
    ),
    BenchCase("long-tasks", 0.9, extra_class=LONG_TASK_CLASS),
    BenchCase("sizes-wrong-10x", 0.8, declared_factors=(0.1, 1.0, 10.0)),
    BenchCase("black-hole", 0.6, faults.black_hole, single_fault=True),
    BenchCase("stragglers", 0.6, straggler_share=0.02, single_fault=True),
    BenchCase("cancel-wave", 0.5, cancel_wave=True, burst_customer="wave"),
    BenchCase("log-outage", 0.7, faults.log_outage, single_fault=True),
    BenchCase("entry-crash", 0.6, faults.entry_crash, single_fault=True),
    BenchCase("rack-loss", 0.5, faults.rack_loss, single_fault=True),
    BenchCase("data-centre-loss", 0.4, faults.data_centre_loss, single_fault=True),
    BenchCase("leaving-one-by-one", 0.6, faults.leaving_one_by_one, single_fault=True),
    BenchCase("burst-2x", 0.5, burst_load=2.0, burst_s=(2.0, 4.0), load_s=10.0),
    BenchCase("burst-5x", 0.5, burst_load=5.0, burst_s=(2.0, 4.0), load_s=10.0),
]


def find_cases(name: str) -> list[BenchCase]:
    """Return the case with this name, or all cases if the name is empty."""
    return [case for case in CASES if name in ("", case.name)]
