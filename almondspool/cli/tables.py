"""Formatting of rows as aligned columns of text."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence


def format_table(
    columns: Sequence[str], rows: Sequence[Mapping[str, object]]
) -> list[str]:
    """Return a line of headings and one line for each row, in aligned columns.

    Args:
        columns: Keys of the rows, also used as headings.
        rows: Values by key; floats are shown with one decimal, booleans as yes or no.
    """
    cells = [list(columns)]
    cells += [[_format_cell(row[column]) for column in columns] for row in rows]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in cells
    ]


def _format_cell(value: object) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    return f"{value:.1f}" if isinstance(value, float) else str(value)
