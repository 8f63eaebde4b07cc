"""Faults: broken rules of a document, each with its place."""

import attrs

__all__ = ["Fault"]


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
