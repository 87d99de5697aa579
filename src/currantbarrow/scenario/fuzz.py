"""Fuzz a fleet for a given time; print seeds, counts, and the shrunk steps of failures."""

from __future__ import annotations

import argparse
import sys
import time
import traceback

from hypothesis import HealthCheck, Phase, Verbosity, seed, settings
from hypothesis.stateful import run_state_machine_as_test

from currantbarrow.scenario.machine import FleetMachine
from currantbarrow.scenario.oracle import Promise

__all__ = ["fuzz_once", "main"]

EXAMPLES = 20
STEPS = 30


def fuzz_once(
    number: int, *, examples: int = EXAMPLES, steps: int = STEPS, shrink: bool = True
) -> None:
    """Run one seed; raise the error of the failing steps, which are shrunk if so requested."""
    machine = seed(number)(type("FleetMachine", (FleetMachine,), {}))
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=steps,
            deadline=None,
            database=None,
            print_blob=False,
            verbosity=Verbosity.normal,
            suppress_health_check=list(HealthCheck),
            phases=[Phase.generate, *([Phase.shrink] if shrink else [])],
        ),
    )


def main(argv: list[str] | None = None) -> int:
    """Run consecutive seeds until the time is up."""
    parser = argparse.ArgumentParser(prog="python -m currantbarrow.scenario.fuzz")
    parser.add_argument("--seconds", type=float, default=600.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--examples", type=int, default=EXAMPLES)
    parser.add_argument("--steps", type=int, default=STEPS)
    parser.add_argument(
        "--no-shrink", action="store_true", help="show failing steps without shrinking them"
    )
    parser.add_argument("--keep-going", action="store_true", help="continue after a failure")
    parser.add_argument(
        "--ignore",
        action="append",
        default=[],
        type=Promise,
        help="a promise whose violations are ignored",
    )
    options = parser.parse_args(argv)
    FleetMachine.ignored = frozenset(options.ignore)
    began_s = time.monotonic()
    number, failed = options.seed, 0
    while time.monotonic() - began_s < options.seconds:
        try:
            fuzz_once(
                number,
                examples=options.examples,
                steps=options.steps,
                shrink=not options.no_shrink,
            )
        except Exception as error:
            failed += 1
            print(f"seed {number}: {type(error).__name__}: {error}")
            print("\n".join(getattr(error, "__notes__", [])))
            if not isinstance(error, AssertionError):
                traceback.print_exc()
            if not options.keep_going:
                break
        number += 1
        print(f"seed {number - 1} done, {FleetMachine.steps} steps", flush=True)
    took_s = time.monotonic() - began_s
    print(
        f"seeds {options.seed} to {number - 1}: {FleetMachine.steps} steps, "
        f"{FleetMachine.jobs_submitted} jobs, {failed} seeds failed, {took_s:.0f} s"
    )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
