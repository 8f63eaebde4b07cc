"""Detection of repeated keys in JSON objects."""

import collections
import json
from collections.abc import Iterator
from typing import Any

from guavawing.config.fault import Fault, Place, join_place

__all__ = ["find_repeated_keys"]


class _ObjectWithRepeats(dict[str, Any]):
    """A JSON object with repeated keys."""

    __slots__ = ("repeated_names",)
    repeated_names: list[str]


def find_repeated_keys(payload: bytes) -> list[Fault]:
    """Returns a fault for each repeated key of an object.

    JSON parsers silently keep only the last one, so that a second "routes"
    pasted by an operator would discard the first. The first pass only detects
    repeated keys; only a document that has some is parsed again to find their
    places.

    Raises:
        ValueError: If `payload` is not JSON.
        RecursionError: If it has too many levels of nesting.
    """
    found = False

    def check_pairs(pairs: list[tuple[str, Any]]) -> None:
        nonlocal found
        found = found or len(dict(pairs)) < len(pairs)

    json.loads(payload, object_pairs_hook=check_pairs)
    if not found:
        return []
    tree = json.loads(payload, object_pairs_hook=_build_object)
    return list(_find_repeated(tree, ()))


def _build_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    tree = dict(pairs)
    if len(tree) == len(pairs):
        return tree
    repeated = _ObjectWithRepeats(tree)
    counts = collections.Counter(name for name, _ in pairs)
    repeated.repeated_names = [
        name for name, count in counts.items() if count > 1
    ]
    return repeated


def _find_repeated(tree: Any, place: Place) -> Iterator[Fault]:
    if isinstance(tree, list):
        for index, child in enumerate(tree):
            yield from _find_repeated(child, (*place, str(index)))
    if not isinstance(tree, dict):
        return
    if isinstance(tree, _ObjectWithRepeats):
        for name in tree.repeated_names:
            yield Fault(
                join_place((*place, name)),
                "got this key twice, expected it once",
            )
    for name, child in tree.items():
        yield from _find_repeated(child, (*place, name))
