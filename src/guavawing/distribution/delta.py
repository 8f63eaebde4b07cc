"""Deltas between the payloads of two versions.

A payload is canonical JSON: a tree of sections, most of which map names to
entries. A delta lists the entries that are set or removed in each section.
The digest of the complete result is checked whenever a delta is applied, so a
wrong delta is detected and cannot put wrong content in force.
"""

import json
from collections.abc import Iterator
from typing import Any, TypeVar

import attrs
import orjson

from guavawing.config import compute_chunked_digest
from guavawing.distribution.compression import (
    compress_payload,
    decompress_payload,
)
from guavawing.errors import MessageInvalidError

__all__ = [
    "Delta",
    "Index",
    "compose_deltas",
    "compute_delta",
    "compute_index_digest",
    "decode_delta",
    "decode_section",
    "derive_delta",
    "encode_delta",
    "encode_index",
    "encode_tree",
    "index_entries",
    "patch_index",
    "read_index",
]

MAX_DELTA_BYTES = 1024 * 1024
# Entries encoded per chunk.
CHUNK_ENTRIES = 64

T = TypeVar("T")
Tree = dict[str, Any]
Index = dict[str, dict[str, bytes] | bytes]


@attrs.frozen
class Delta:
    """Difference between two payloads.

    Attributes:
        set_entries: New values by section and entry.
        removed_entries: Names of removed entries by section.
        set_sections: Sections replaced completely: those that are not a
            mapping in both payloads.
        removed_sections: Names of removed sections.
    """

    set_entries: dict[str, Tree] = attrs.field(factory=dict)
    removed_entries: dict[str, list[str]] = attrs.field(factory=dict)
    set_sections: Tree = attrs.field(factory=dict)
    removed_sections: list[str] = attrs.field(factory=list)


def encode_tree(tree: Tree) -> bytes:
    """Returns the canonical JSON of a tree: sorted keys, no whitespace."""
    return _encode(tree)


def index_entries(tree: Tree) -> Index:
    """Returns the encoded entries of a tree, a compact form of it."""
    return {
        name: (
            {entry: _index(value) for entry, value in section.items()}
            if isinstance(section, dict)
            else _index(section)
        )
        for name, section in tree.items()
    }


def read_index(payload: bytes) -> Index | None:
    """Returns the index of a payload, or None if it is not canonical.

    A decoded tree uses ten times the memory of its payload, and the allocator
    does not return most of it, so at most one entry is decoded at a time. The
    index is accepted only if it encodes to the same bytes as the payload,
    which excludes input that `json` and `orjson` parse differently. None is
    also returned if a section contains anything but entries.
    """
    try:
        tree = json.loads(payload, object_pairs_hook=_encode_leaf_object)
        index: Index = {
            name: _read_section(part) for name, part in tree.items()
        }
        return index if _encodes_to(index, payload) else None
    except (ValueError, TypeError, AttributeError, RecursionError):
        return None


def _encode_leaf_object(pairs: list[tuple[str, Any]]) -> Any:
    """Encodes an object without nested values; returns others unchanged."""
    tree = dict(pairs)
    if any(isinstance(each, bytes | dict | list) for each in tree.values()):
        return tree
    return _index(tree)


def _read_section(part: Any) -> dict[str, bytes]:
    if isinstance(part, bytes):
        fields = orjson.loads(part)
        return {name: _index(value) for name, value in fields.items()}
    if not all(isinstance(each, bytes) for each in part.values()):
        raise ValueError("section contains values that are not entries")
    section: dict[str, bytes] = part
    return section


def _index(value: Any) -> bytes:
    # orjson allocates at least 1 KB per result; a copy has the exact size.
    return bytes(memoryview(_encode(value)))


def _encode(value: Any) -> bytes:
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS)


def compute_delta(old: Index, new: Tree) -> Delta:
    """Returns the delta from the tree that `old` indexes to `new`."""
    return _compare_indexes(old, index_entries(new))


def _compare_indexes(old: Index, new: Index) -> Delta:
    delta = Delta(removed_sections=sorted(old.keys() - new.keys()))
    for name, section in new.items():
        before = old.get(name)
        if not isinstance(section, dict) or not isinstance(before, dict):
            if before != section:
                delta.set_sections[name] = decode_section(new, name)
            continue
        changed = {
            entry: orjson.loads(text)
            for entry, text in section.items()
            if before.get(entry) != text
        }
        if changed:
            delta.set_entries[name] = changed
        removed = sorted(before.keys() - section.keys())
        if removed:
            delta.removed_entries[name] = removed
    return delta


def derive_delta(old: Index, new: bytes) -> Delta | None:
    """Returns the delta from the payload that `old` indexes to `new`.

    Returns None if the new payload is not canonical: no delta could
    reproduce its bytes.
    """
    index = read_index(new)
    if index is not None:
        return _compare_indexes(old, index)
    try:
        tree = orjson.loads(new)
    except orjson.JSONDecodeError:
        return None
    if not isinstance(tree, dict) or encode_tree(tree) != new:
        return None
    return compute_delta(old, tree)


def patch_index(index: Index, delta: Delta) -> Index:
    """Returns the index of the payload that results from `delta`.

    Unchanged sections are shared with the old index, so the cost is
    proportional to the changed sections, not to the size of the payload.

    Raises:
        MessageInvalidError: If the delta does not match the index.
    """
    patched = _without(index, {*delta.removed_sections})
    patched |= index_entries(delta.set_sections)
    for name in delta.set_entries.keys() | delta.removed_entries.keys():
        section = patched.get(name)
        if not isinstance(section, dict):
            raise MessageInvalidError(
                f"delta changes entries of {name!r}, which has none"
            )
        section = _without(section, {*delta.removed_entries.get(name, ())})
        for entry, value in delta.set_entries.get(name, {}).items():
            section[entry] = _index(value)
        patched[name] = section
    return patched


def encode_index(index: Index) -> bytes:
    """Returns the canonical payload of an index."""
    return b"".join(_encode_chunks(index))


def compute_index_digest(number: int, index: Index) -> bytes:
    """Returns the digest of the version with this number and index."""
    return compute_chunked_digest(number, _encode_chunks(index))


def _encodes_to(index: Index, payload: bytes) -> bool:
    view = memoryview(payload)
    for chunk in _encode_chunks(index):
        if view[: len(chunk)] != chunk:
            return False
        view = view[len(chunk) :]
    return not view


def _encode_chunks(index: Index) -> Iterator[bytes]:
    """Yields the canonical payload of an index in chunks of bounded size.

    A node hashes the payload at each change. Building it in one piece would
    raise the resident memory of the process permanently.
    """
    yield b"{"
    for place, name in enumerate(sorted(index)):
        yield (b"," if place else b"") + _encode(name) + b":"
        section = index[name]
        if isinstance(section, bytes):
            yield section
        else:
            yield from _encode_section(section)
    yield b"}"


def _encode_section(section: dict[str, bytes]) -> Iterator[bytes]:
    names = sorted(section)
    yield b"{"
    for start in range(0, len(names), CHUNK_ENTRIES):
        chunk = names[start : start + CHUNK_ENTRIES]
        text = _encode({name: orjson.Fragment(section[name]) for name in chunk})
        # The braces enclose the whole section, not each chunk.
        yield (b"," if start else b"") + text[1:-1]
    yield b"}"


def decode_section(index: Index, name: str) -> Any:
    """Returns the decoded section `name` of an index."""
    return orjson.loads(_encode(_restore(index[name])))


def _restore(section: dict[str, bytes] | bytes) -> Any:
    if isinstance(section, bytes):
        return orjson.Fragment(section)
    return {entry: orjson.Fragment(text) for entry, text in section.items()}


def compose_deltas(first: Delta, second: Delta) -> Delta:
    """Returns the delta equivalent to `first` followed by `second`."""
    gone = {*second.removed_sections, *second.set_sections}
    sections = _without(first.set_sections, gone)
    entries = _without(first.set_entries, gone)
    removed = _without(first.removed_entries, gone)
    for name in second.set_entries.keys() | second.removed_entries.keys():
        added = second.set_entries.get(name, {})
        removed_names = second.removed_entries.get(name, [])
        if name in sections:
            kept = _without(sections[name], set(removed_names))
            sections[name] = kept | added
            continue
        kept = _without(entries.get(name, {}), set(removed_names)) | added
        absent = ({*removed.get(name, ()), *removed_names}) - added.keys()
        entries.pop(name, None)
        removed.pop(name, None)
        if kept:
            entries[name] = kept
        if absent:
            removed[name] = sorted(absent)
    before = set(first.removed_sections) - second.set_sections.keys()
    return Delta(
        entries,
        removed,
        sections | second.set_sections,
        sorted(before | set(second.removed_sections)),
    )


def _without(mapping: dict[str, T], names: set[str]) -> dict[str, T]:
    return {key: mapping[key] for key in mapping if key not in names}


def encode_delta(delta: Delta) -> bytes:
    """Returns the compressed JSON of a delta."""
    return compress_payload(encode_tree(attrs.asdict(delta, recurse=False)))


def decode_delta(data: bytes) -> Delta:
    """Returns the delta that `data` encodes.

    Raises:
        MessageInvalidError: If the data is not a delta, or exceeds
            `MAX_DELTA_BYTES` when decompressed.
    """
    text = decompress_payload(data, limit=MAX_DELTA_BYTES)
    try:
        tree = orjson.loads(text)
        delta = Delta(**tree)
    except (orjson.JSONDecodeError, TypeError) as exc:
        raise MessageInvalidError(f"not a delta: {exc}") from exc
    shapes = (
        _is_mapping_of(delta.set_entries, dict),
        _is_mapping_of(delta.removed_entries, list),
        isinstance(delta.set_sections, dict),
        _is_list_of_names(delta.removed_sections),
    )
    if not all(shapes) or not all(
        _is_list_of_names(names) for names in delta.removed_entries.values()
    ):
        raise MessageInvalidError("not a delta: a field has the wrong type")
    return delta


def _is_mapping_of(value: object, kind: type) -> bool:
    return isinstance(value, dict) and all(
        isinstance(each, kind) for each in value.values()
    )


def _is_list_of_names(value: object) -> bool:
    return isinstance(value, list) and all(
        isinstance(each, str) for each in value
    )
