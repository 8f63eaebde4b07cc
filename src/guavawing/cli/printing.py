"""Output of results, and of progress on a terminal."""

import sys
from collections.abc import Sequence
from typing import Any

import click
import orjson

__all__ = ["Progress", "format_value", "print_json", "print_table"]

GAP = "  "


def print_json(tree: Any) -> None:
    """Prints a result as one line of JSON."""
    click.echo(orjson.dumps(tree).decode())


def format_value(value: object) -> str:
    """Returns a value of a document as a cell of a table."""
    return "-" if value is None else orjson.dumps(value).decode()


def print_table(
    header: Sequence[str],
    rows: Sequence[Sequence[object]],
    *,
    colours: Sequence[str | None] = (),
) -> None:
    """Prints a table with aligned columns.

    Args:
        header: Names of the columns.
        rows: Cells of each row.
        colours: Colour of each column, ignored unless on a terminal.
    """
    texts = [[str(cell) for cell in row] for row in rows]
    widths = [
        max(map(len, column)) for column in zip(header, *texts, strict=True)
    ]
    click.echo(_format_row(header, widths, ()))
    for text in texts:
        click.echo(_format_row(text, widths, colours))


def _format_row(
    cells: Sequence[str],
    widths: Sequence[int],
    colours: Sequence[str | None],
) -> str:
    padded = [
        cell.ljust(width) for cell, width in zip(cells, widths, strict=True)
    ]
    padded[-1] = cells[-1]
    for index, colour in enumerate(colours):
        if colour is not None:
            padded[index] = click.style(padded[index], fg=colour)
    return GAP.join(padded).rstrip()


class Progress:
    """Progress line on standard error, shown only on a terminal."""

    __slots__ = ("_shown",)

    def __init__(self) -> None:
        self._shown = False

    def show(self, text: str) -> None:
        """Replaces the line."""
        if sys.stderr.isatty():
            click.echo(f"\r\x1b[K{text}", nl=False, err=True)
            self._shown = True

    def clear(self) -> None:
        """Removes the line."""
        if self._shown:
            click.echo("\r\x1b[K", nl=False, err=True)
            self._shown = False
