"""Search for objects of a JSON text that have a key twice."""

import collections
import json
from collections.abc import Iterator
from typing import Any

from guavawing.config.fault import Fault, Place, join_place

__all__ = ["find_repeated_keys"]


class _Repeated(dict[str, Any]):
    """An object of which some keys were given twice."""

    __slots__ = ("names",)
    names: list[str]


def find_repeated_keys(payload: bytes) -> list[Fault]:
    """Returns a fault for each key that an object has twice.

    An operator who pastes a second "routes" would otherwise lose the first
    without a word. The first pass keeps nothing of what it reads; only a
    document that has such keys is read again to find their places.

    Raises:
        ValueError: If `payload` is not JSON.
        RecursionError: If it has too many levels of nesting.
    """
    found = False

    def note(pairs: list[tuple[str, Any]]) -> None:
        nonlocal found
        found = found or len(dict(pairs)) < len(pairs)

    json.loads(payload, object_pairs_hook=note)
    if not found:
        return []
    tree = json.loads(payload, object_pairs_hook=_build_object)
    return list(_find_repeated(tree, ()))


def _build_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    tree = dict(pairs)
    if len(tree) == len(pairs):
        return tree
    repeated = _Repeated(tree)
    counts = collections.Counter(name for name, _ in pairs)
    repeated.names = [name for name, count in counts.items() if count > 1]
    return repeated


def _find_repeated(tree: Any, place: Place) -> Iterator[Fault]:
    if isinstance(tree, list):
        for index, child in enumerate(tree):
            yield from _find_repeated(child, (*place, str(index)))
    if not isinstance(tree, dict):
        return
    if isinstance(tree, _Repeated):
        for name in tree.names:
            yield Fault(
                join_place((*place, name)),
                "got this key twice, expected it once",
            )
    for name, child in tree.items():
        yield from _find_repeated(child, (*place, name))
