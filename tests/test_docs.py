"""Check that the documentation lists the counters, events and codes of the source code."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

from currantbarrow.entry.problems import CODE_BY_STATUS, STATUS_BY_CODE
from currantbarrow.protocol.websocket import SENT_COUNTERS

ROOT = Path(__file__).parent.parent
SOURCE_ROOT = ROOT / "src" / "currantbarrow"
DOCS = ROOT / "docs"
METRICS = ("incr", "timing", "gauge")
# Packages that only tests and measurements run; hosts emit none of their metrics and events.
NOT_DEPLOYED = ("bench", "standins", "scenario", "load")
PLACEHOLDER = re.compile(r"<[^>]*>")


def first_arguments(names: tuple[str, ...]) -> Iterator[str]:
    """Yield the first argument of each call of these methods, with * for variable parts."""
    for path in SOURCE_ROOT.rglob("*.py"):
        if path.relative_to(SOURCE_ROOT).parts[0] in NOT_DEPLOYED:
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
                continue
            if node.func.attr in names and node.args:
                yield from literal_patterns(node.args[0])


def literal_patterns(node: ast.expr) -> Iterator[str]:
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        yield node.value
    elif isinstance(node, ast.IfExp):
        yield from literal_patterns(node.body)
        yield from literal_patterns(node.orelse)
    elif isinstance(node, ast.JoinedStr):
        parts = [str(part.value) if isinstance(part, ast.Constant) else "*" for part in node.values]
        yield "".join(parts)


def names_in_tables(page: Path) -> set[str]:
    """Return the names in the first column of a page's tables, with * for placeholders."""
    rows = [line for line in page.read_text().splitlines() if line.startswith("| `")]
    return {
        PLACEHOLDER.sub("*", name)
        for row in rows
        for name in re.findall(r"`([^`]+)`", row.split("|")[1])
    }


def test_page_lists_every_counter_and_no_other() -> None:
    emitted = set(first_arguments(METRICS)) | {
        f"{next(iter(SENT_COUNTERS.values())).rpartition('.')[0]}.*"
    }
    assert names_in_tables(DOCS / "operations" / "counters.md") == emitted


def test_page_lists_every_event_and_no_other() -> None:
    emitted = set(first_arguments(("record", "_event")))
    assert emitted
    assert names_in_tables(DOCS / "operations" / "timeline.md") == emitted


@pytest.mark.parametrize(
    "code", sorted({*CODE_BY_STATUS.values(), *STATUS_BY_CODE} - {"unavailable"})
)
def test_api_page_names_every_code(code: str) -> None:
    assert f"`{code}`" in (DOCS / "api.md").read_text()


@pytest.mark.parametrize("page", sorted(DOCS.rglob("*.md")) + sorted(ROOT.glob("*.md")), ids=str)
def test_links_between_pages_have_existing_targets(page: Path) -> None:
    for target in re.findall(r"\]\(([^)#:]+)\)", page.read_text()):
        assert (page.parent / target).exists(), f"{page.name}: {target}"
