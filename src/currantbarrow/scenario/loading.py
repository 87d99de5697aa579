"""Read scenarios from YAML files, and report errors with file and line."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

import msgspec
import yaml

from currantbarrow.exceptions import CurrantbarrowError
from currantbarrow.scenario.names import GROUPS, list_names
from currantbarrow.scenario.schema import Duration, Scenario

__all__ = ["ScenarioError", "load_scenario", "parse_duration"]

UNITS_MS = {"ms": 1.0, "s": 1000.0, "min": 60_000.0}
DURATION = re.compile(r"(\d+(?:\.\d+)?) ?(ms|s|min)")
NAME_FIELDS = frozenset({"who", "sender", "receiver", "between", "entries", "resubmit_to"})
ONE_NAME_FIELDS = frozenset({"entry", "cancel_to"})

NodePath = tuple[str | int, ...]


class ScenarioError(CurrantbarrowError):
    """Signal that a scenario file is invalid; the message names file and line."""

    code = "scenario_invalid"


def load_scenario(path: Path) -> Scenario:
    """Return the scenario in a file; raise ScenarioError."""
    text = path.read_text()
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
        document = yaml.safe_load(text)
    except yaml.MarkedYAMLError as error:
        line = error.problem_mark.line + 1 if error.problem_mark else 1
        raise ScenarioError(f"{path}:{line}: {error.problem}") from error
    if node is None:
        raise ScenarioError(f"{path}:1: the file is empty")
    _check_duplicates(path, node)
    try:
        scenario = msgspec.convert(document, Scenario, dec_hook=_decode)
    except msgspec.ValidationError as error:
        message, _, where = str(error).partition(" - at `$")
        line = _find_line(node, _parse_path(where.strip("`")), message)
        raise ScenarioError(f"{path}:{line}: {message}") from error
    _check_names(path, node, document, scenario)
    return scenario


def parse_duration(text: str) -> Duration:
    """Parse a duration with its unit; raise ValueError."""
    match = DURATION.fullmatch(text)
    if match is None:
        raise ValueError(f"a time is written as in 300 ms, 2 s or 1 min, not {text!r}")
    return Duration(float(match[1]) * UNITS_MS[match[2]])


def _decode(kind: type, value: Any) -> Any:
    if kind is Duration:
        return parse_duration(str(value))
    raise NotImplementedError(kind.__name__)


def _parse_path(text: str) -> NodePath:
    parts = re.findall(r"\.([A-Za-z_]\w*)|\[(\d+)\]|\[(\.\.\.)\]", text)
    return tuple(int(index) if index else name for name, index, _ in parts)


def _find_line(node: yaml.Node, path: NodePath, message: str = "") -> int:
    """Return the line of a path, or of the key below it that the message names."""
    line = node.start_mark.line + 1
    for step in path:
        child = _child(node, step)
        if child is None:
            return line
        node, line = child
    named = re.search(r"`(\w+)`$", message)
    if named and (child := _child(node, named[1])) is not None:
        return child[1]
    return line


def _child(node: yaml.Node, step: str | int) -> tuple[yaml.Node, int] | None:
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            if key.value == step:
                return value, key.start_mark.line + 1
    if isinstance(node, yaml.SequenceNode) and isinstance(step, int) and step < len(node.value):
        child: yaml.Node = node.value[step]
        return child, child.start_mark.line + 1
    return None


def _check_duplicates(path: Path, node: yaml.Node) -> None:
    if isinstance(node, yaml.MappingNode):
        seen = set()
        for key, value in node.value:
            if key.value in seen:
                line = key.start_mark.line + 1
                raise ScenarioError(f"{path}:{line}: {key.value} is given twice")
            seen.add(key.value)
            _check_duplicates(path, value)
    elif isinstance(node, yaml.SequenceNode):
        for value in node.value:
            _check_duplicates(path, value)


def _check_names(path: Path, node: yaml.Node, document: Any, scenario: Scenario) -> None:
    """Check that all names of processes, groups and classes exist, and times are in range."""
    started_names = [
        name
        for fault in document.get("faults", [])
        if fault.get("do") == "start"
        for name in fault["who"]
    ]
    valid_names = {*list_names(scenario.fleet), *GROUPS, *started_names}
    classes = {*scenario.classes, *(f["name"] for f in document.get("faults", []) if "name" in f)}
    for part in ("work", "faults"):
        for number, item in enumerate(document.get(part, [])):
            for field, value in item.items():
                line = _find_line(node, (part, number, field))
                if field in NAME_FIELDS or (field in ONE_NAME_FIELDS and value):
                    for name in _flatten(value):
                        if name not in valid_names:
                            raise ScenarioError(f"{path}:{line}: there is no {name}")
                if field == "class" and value not in classes:
                    raise ScenarioError(f"{path}:{line}: there is no class {value}")
                if field == "at" and parse_duration(value) > scenario.until:
                    raise ScenarioError(f"{path}:{line}: {value} lies after the end")


def _flatten(value: Any) -> list[str]:
    if isinstance(value, list):
        return [name for item in value for name in _flatten(item)]
    return [str(value)]
