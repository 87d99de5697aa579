"""Run scenario files and print what came out of each."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from currantbarrow.scenario.loading import ScenarioError, load_scenario
from currantbarrow.scenario.runner import run_scenario

EXIT_RED = 1
EXIT_MISTAKE = 2


def main() -> int:
    """Run the scenarios named on the command line."""
    parser = argparse.ArgumentParser(prog="python -m currantbarrow.scenario")
    parser.add_argument("files", nargs="+", type=Path, help="scenario files")
    parser.add_argument("--seed", type=int, help="a seed other than the file's")
    options = parser.parse_args()
    red = 0
    for path in options.files:
        try:
            scenario = load_scenario(path)
        except ScenarioError as error:
            print(error, file=sys.stderr)
            return EXIT_MISTAKE
        outcome = run_scenario(scenario, options.seed)
        print(f"{'green' if outcome.green else 'RED'} {path.name}: {outcome.counts}")
        if not outcome.green:
            print(outcome.describe())
            red += 1
    return EXIT_RED if red else 0


if __name__ == "__main__":
    sys.exit(main())
