"""Faults: violations of the rules of a document."""

import reprlib
from collections.abc import Collection

import attrs

__all__ = [
    "MAX_FAULTS",
    "Fault",
    "Place",
    "describe_names",
    "join_place",
    "quote",
]

MAX_FAULTS = 200
MAX_QUOTED_LENGTH = 80
MAX_LISTED_NAMES = 8
MAX_PLACE_LENGTH = 200

Place = tuple[str, ...]


@attrs.frozen
class Fault:
    """A violation of a rule.

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
    """Returns the repr of a value, bounded in length and depth."""
    return _quoter.repr(value)


def describe_names(names: Collection[str]) -> str:
    """Returns the first names in order and the number of the others."""
    listed = ", ".join(sorted(names)[:MAX_LISTED_NAMES])
    left = len(names) - MAX_LISTED_NAMES
    return f"{listed} or {left} more" if left > 0 else listed


def join_place(place: Place) -> str:
    """Returns a place as one line of bounded length."""
    shown = (
        name if name.isprintable() and name else quote(name) for name in place
    )
    return ".".join(shown)[:MAX_PLACE_LENGTH] or "document"
