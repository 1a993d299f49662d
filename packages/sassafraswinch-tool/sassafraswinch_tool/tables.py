"""Plain-text tables for terminal output."""

import re
from collections.abc import Iterable, Sequence

_NUMERIC_CELL = re.compile(r"[0-9./]+[dhms]?|-")

COLUMN_SEPARATOR = "  "


def printable(text: object) -> str:
    """Return the text with each non-printable character replaced by ``?``.

    Names in documents and responses are untrusted: an escape sequence in one could
    make the terminal hide lines or alter the operator's next input.
    """
    return "".join(char if char.isprintable() else "?" for char in str(text))


def format_table(headers: Sequence[str], rows: Iterable[Sequence[object]]) -> list[str]:
    """Return the lines of a table, numeric columns right-aligned and others left.

    Args:
        headers: Column headers.
        rows: Rows, each with one cell per column.
    """
    cells = [list(map(printable, row)) for row in (headers, *rows)]
    columns = [_align(column) for column in zip(*cells, strict=True)]
    return [COLUMN_SEPARATOR.join(row).rstrip() for row in zip(*columns, strict=True)]


def _align(column: Sequence[str]) -> list[str]:
    width = max(map(len, column))
    if all(map(_NUMERIC_CELL.fullmatch, column[1:])):
        return [cell.rjust(width) for cell in column]
    return [cell.ljust(width) for cell in column]
