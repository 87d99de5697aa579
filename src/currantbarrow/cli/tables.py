"""Format text tables."""

from __future__ import annotations

from collections.abc import Sequence

__all__ = ["format_table"]

GAP = "  "


def format_table(headings: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return a table with aligned columns; columns of numbers are aligned to the right."""
    cells = [[_format_cell(cell) for cell in row] for row in rows]
    widths = [
        max(len(heading), *(len(row[column]) for row in cells)) if cells else len(heading)
        for column, heading in enumerate(headings)
    ]
    right_aligned = [
        bool(rows) and all(isinstance(row[column], int | float) for row in rows)
        for column in range(len(headings))
    ]
    lines = [_format_row(list(headings), widths, right_aligned)]
    lines += [_format_row(row, widths, right_aligned) for row in cells]
    return "\n".join(lines)


def _format_cell(cell: object) -> str:
    if cell is None:
        return "-"
    if isinstance(cell, bool):
        return "yes" if cell else "no"
    if isinstance(cell, float):
        return f"{cell:g}"
    return " ".join(str(cell).split())


def _format_row(cells: list[str], widths: list[int], right_aligned: list[bool]) -> str:
    aligned = [
        cell.rjust(width) if is_right else cell.ljust(width)
        for cell, width, is_right in zip(cells, widths, right_aligned, strict=True)
    ]
    return GAP.join(aligned).rstrip()
