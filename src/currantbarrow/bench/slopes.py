"""Measure how resource usage grows with the installation, as slopes for capacity planning."""

from __future__ import annotations

import argparse
import subprocess
import sys
from pathlib import Path

import msgspec
import uvloop

from currantbarrow.bench.slopes_callers import measure_callers
from currantbarrow.bench.slopes_configuration import format_propagation, measure_propagation
from currantbarrow.bench.slopes_figures import Slope, format_slopes
from currantbarrow.bench.slopes_links import measure_links
from currantbarrow.bench.slopes_state import measure_state

__all__ = ["main"]

PARTS = ("state", "links", "callers", "configuration")


def _run(part: str) -> tuple[str, list[msgspec.Struct]]:
    if part == "configuration":
        figures = measure_propagation()
        return format_propagation(figures), list(figures)
    measure = {"state": measure_state, "links": measure_links, "callers": measure_callers}[part]
    slopes: list[Slope] = uvloop.run(measure())
    return format_slopes(slopes), list(slopes)


def main() -> None:
    """Measure the selected parts, or all, and write their tables and figures."""
    parser = argparse.ArgumentParser(prog="currantbarrow.bench.slopes")
    parser.add_argument("--part", choices=PARTS, help="measure this part only")
    parser.add_argument("--output", type=Path, default=Path("build"))
    options = parser.parse_args()
    if options.part:
        _measure_part(options.part, options.output)
        return
    for part in PARTS:
        # Each part has its own process: memory freed by one part would distort the next one.
        command = [sys.executable, "-m", "currantbarrow.bench.slopes", "--part", part]
        subprocess.run([*command, "--output", str(options.output)], check=True)


def _measure_part(part: str, output: Path) -> None:
    output.mkdir(parents=True, exist_ok=True)
    table, figures = _run(part)
    print(f"## {part}\n\n{table}\n", flush=True)
    (output / f"slopes-{part}.md").write_text(f"{table}\n", encoding="utf-8")
    data = msgspec.json.format(msgspec.json.encode(figures))
    (output / f"slopes-{part}.json").write_bytes(data)


if __name__ == "__main__":
    main()
