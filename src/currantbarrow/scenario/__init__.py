"""Test the promises with scenario files, a runner, an oracle and a fuzzer."""

from currantbarrow.scenario.loading import ScenarioError, load_scenario
from currantbarrow.scenario.oracle import Oracle, Promise, Violation
from currantbarrow.scenario.runner import Outcome, run_scenario
from currantbarrow.scenario.schema import Scenario

__all__ = [
    "Oracle",
    "Outcome",
    "Promise",
    "Scenario",
    "ScenarioError",
    "Violation",
    "load_scenario",
    "run_scenario",
]
