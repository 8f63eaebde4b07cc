"""Incremental decoding of documents.

Decoding a complete document takes most of the time needed to put a version in
force, and blocks calls meanwhile. After a delta only the entries that it sets
are decoded; the others are reused from the previous document. The result is
equal to the decoded payload, whose digest was checked before.
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

# Entries decoded per chunk.
CHUNK_ENTRIES = 64

_FIELDS = frozenset(field.name for field in attrs.fields(Document))


def decode_index(index: Index) -> Document:
    """Returns the document that `index` encodes, decoded in chunks.

    Decoding in chunks bounds the memory used besides the document. The
    exception covers the faults of one chunk only; to report all faults the
    complete payload has to be decoded.

    Raises:
        ConfigInvalidError: If a chunk is not valid.
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
    while chunk := dict(itertools.islice(entries, CHUNK_ENTRIES)):
        decoded = getattr(decode_document(encode_index({name: chunk})), name)
        for entry in chunk:
            # Uses the key object of the index to avoid a second copy.
            yield entry, decoded[entry]


def patch_document(document: Document, delta: Delta, index: Index) -> Document:
    """Returns the document that `index` encodes.

    Args:
        document: The previous document.
        delta: Changes since the previous document.
        index: Encoded entries of the payload after the change.

    Raises:
        ConfigInvalidError: If a changed entry is not valid.
    """
    names = delta.set_entries.keys() | delta.removed_entries.keys()
    if delta.set_sections or delta.removed_sections or not names <= _FIELDS:
        return decode_document(encode_index(index))
    changed: Tree = {}
    for name in names:
        if isinstance(getattr(document, name), dict):
            changed[name] = delta.set_entries.get(name, {})
        else:
            # The entries of this section are fields of a single object.
            changed[name] = decode_section(index, name)
    decoded = decode_document(encode_tree(changed))
    sections = {
        name: _merge_section(document, decoded, delta, name) for name in names
    }
    return attrs.evolve(document, **sections)


def _merge_section(
    document: Document, decoded: Document, delta: Delta, name: str
) -> Any:
    new_section = getattr(decoded, name)
    if not isinstance(new_section, dict):
        return new_section
    merged = dict(getattr(document, name))
    for entry in delta.removed_entries.get(name, ()):
        merged.pop(entry, None)
    merged |= new_section
    # Canonical JSON has its entries sorted by name.
    return {entry: merged[entry] for entry in sorted(merged)}
