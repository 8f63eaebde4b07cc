"""Comparison of two documents."""

from collections.abc import Iterator
from typing import Any

import attrs
import orjson

from guavawing.config.codec import encode_document
from guavawing.config.document import Document

__all__ = ["Difference", "compare_documents"]


@attrs.frozen
class Difference:
    """A value that differs between two documents.

    Attributes:
        place: Path to the value within the document.
        old: Value in the first document; None if absent.
        new: Value in the second document; None if absent.
    """

    place: str
    old: Any
    new: Any


def compare_documents(old: Document, new: Document) -> list[Difference]:
    """Returns the differences between two documents, sorted by place."""
    trees = [orjson.loads(encode_document(each)) for each in (old, new)]
    return list(_compare(trees[0], trees[1], ()))


def _compare(old: Any, new: Any, path: tuple[str, ...]) -> Iterator[Difference]:
    if isinstance(old, dict) and isinstance(new, dict):
        for name in sorted(old.keys() | new.keys()):
            yield from _compare(old.get(name), new.get(name), (*path, name))
    elif old != new or type(old) is not type(new):
        yield Difference(".".join(path), old, new)
