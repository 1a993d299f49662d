"""Plain text tables for a terminal."""

import re
from collections.abc import Iterable, Sequence

_NUMBER = re.compile(r"[0-9./]+[dhms]?|-")

GAP = "  "


def printable(text: object) -> str:
    """Return text with every control character replaced.

    Failure: a name in a document or an answer holds a terminal's escape sequence,
    and showing it hides lines or changes what the operator types next.
    """
    return "".join(char if char.isprintable() else "?" for char in str(text))


def format_table(heads: Sequence[str], rows: Iterable[Sequence[object]]) -> list[str]:
    """Return lines with aligned columns: numbers to the right, others to the left.

    Args:
        heads: names of the columns.
        rows: as many cells each.
    """
    cells = [list(map(printable, row)) for row in (heads, *rows)]
    columns = [_aligned(column) for column in zip(*cells, strict=True)]
    return [GAP.join(row).rstrip() for row in zip(*columns, strict=True)]


def _aligned(column: Sequence[str]) -> list[str]:
    width = max(map(len, column))
    if all(map(_NUMBER.fullmatch, column[1:])):
        return [cell.rjust(width) for cell in column]
    return [cell.ljust(width) for cell in column]
