"""Faults: broken rules of a document, each with its place."""

import reprlib
from collections.abc import Collection

import attrs

__all__ = ["Fault", "describe_names", "quote"]

MAX_QUOTED_LENGTH = 80
MAX_LISTED_NAMES = 8


@attrs.frozen
class Fault:
    """One broken rule.

    Attributes:
        place: Path to the value within the document.
        message: The value received and the one expected.
    """

    place: str
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}"


def _make_quoter() -> reprlib.Repr:
    quoter = reprlib.Repr()
    quoter.maxlevel = 2
    quoter.maxstring = MAX_QUOTED_LENGTH
    quoter.maxother = MAX_QUOTED_LENGTH
    return quoter


_quoter = _make_quoter()


def quote(value: object) -> str:
    """Returns a value in one line of bounded length, however deep it is."""
    return _quoter.repr(value)


def describe_names(names: Collection[str]) -> str:
    """Returns the first names in order, and how many more there are."""
    listed = ", ".join(sorted(names)[:MAX_LISTED_NAMES])
    left = len(names) - MAX_LISTED_NAMES
    return f"{listed} or {left} more" if left > 0 else listed
