"""Run scenario files and print the outcome of each."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from currantbarrow.scenario.loading import ScenarioError, load_scenario
from currantbarrow.scenario.runner import run_scenario

EXIT_FAILED = 1
EXIT_INVALID_FILE = 2


def main() -> int:
    """Run the scenarios named on the command line."""
    parser = argparse.ArgumentParser(prog="python -m currantbarrow.scenario")
    parser.add_argument("files", nargs="+", type=Path, help="scenario files")
    parser.add_argument("--seed", type=int, help="a seed to use instead of the file's")
    options = parser.parse_args()
    failed = 0
    for path in options.files:
        try:
            scenario = load_scenario(path)
        except ScenarioError as error:
            print(error, file=sys.stderr)
            return EXIT_INVALID_FILE
        outcome = run_scenario(scenario, options.seed)
        print(f"{'green' if outcome.passed else 'RED'} {path.name}: {outcome.counts}")
        if not outcome.passed:
            print(outcome.describe())
            failed += 1
    return EXIT_FAILED if failed else 0


if __name__ == "__main__":
    sys.exit(main())
