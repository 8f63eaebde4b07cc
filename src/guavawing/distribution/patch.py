"""Decoding of versions by their entries.

Decoding a whole document takes most of the time of putting a version in
force, and calls wait for as long. After a delta only the entries that it sets
are decoded; the others are those of the document before. What comes out is
equal to the decoded payload, whose digest has been checked.
"""

import itertools
from collections.abc import Iterator
from typing import Any

import attrs

from guavawing.config import Document, decode_document
from guavawing.distribution.delta import (
    Delta,
    Index,
    Tree,
    decode_section,
    encode_index,
    encode_tree,
)

__all__ = ["decode_index", "patch_document"]

# Entries that are decoded at a time.
PIECE_ENTRIES = 64

_FIELDS = frozenset(field.name for field in attrs.fields(Document))


def decode_index(index: Index) -> Document:
    """Returns the document that `index` encodes, decoded in pieces.

    So a small tree at a time takes memory beside the document. A document
    that is refused has to be decoded as a whole to learn of every fault.

    Raises:
        ConfigInvalidError: If a piece is not shaped as it must be.
    """
    document = Document()
    sections: dict[str, Any] = {}
    for name, section in index.items():
        if not isinstance(getattr(document, name, None), dict):
            part = decode_document(encode_index({name: section}))
            sections[name] = getattr(part, name)
            continue
        assert isinstance(section, dict)
        sections[name] = dict(_decode_entries(name, section))
    return attrs.evolve(document, **sections)


def _decode_entries(
    name: str, section: dict[str, bytes]
) -> Iterator[tuple[str, Any]]:
    entries = iter(section.items())
    while piece := dict(itertools.islice(entries, PIECE_ENTRIES)):
        decoded = getattr(decode_document(encode_index({name: piece})), name)
        for entry in piece:
            # The name is that of the index, so that one copy is kept.
            yield entry, decoded[entry]


def patch_document(document: Document, delta: Delta, index: Index) -> Document:
    """Returns the document that `index` encodes.

    Args:
        document: The document before.
        delta: What has changed since.
        index: Encoded entries of the payload after the change.

    Raises:
        ConfigInvalidError: If a changed entry is not shaped as it must be.
    """
    names = delta.set_entries.keys() | delta.removed_entries.keys()
    if delta.set_sections or delta.removed_sections or not names <= _FIELDS:
        return decode_document(encode_index(index))
    changed: Tree = {}
    for name in names:
        if isinstance(getattr(document, name), dict):
            changed[name] = delta.set_entries.get(name, {})
        else:
            # Entries of this section are fields of one object.
            changed[name] = decode_section(index, name)
    decoded = decode_document(encode_tree(changed))
    sections = {
        name: _merge_section(document, decoded, delta, name) for name in names
    }
    return attrs.evolve(document, **sections)


def _merge_section(
    document: Document, decoded: Document, delta: Delta, name: str
) -> Any:
    fresh = getattr(decoded, name)
    if not isinstance(fresh, dict):
        return fresh
    merged = dict(getattr(document, name))
    for entry in delta.removed_entries.get(name, ()):
        merged.pop(entry, None)
    merged |= fresh
    # The order of entries is that of canonical JSON.
    return {entry: merged[entry] for entry in sorted(merged)}
