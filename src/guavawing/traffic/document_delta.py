"""Binary deltas between two versions of a document.

A document is split into pieces after each end mark. The newer document is
encoded as runs of pieces of the older one and literal new bytes, so a version
that changes a few of many routes takes a few hundred bytes.
"""

import hashlib
import itertools
import zlib
from collections.abc import Iterator

import msgpack

from guavawing.errors import MessageInvalidError

__all__ = ["apply_delta", "compress", "decompress", "digest", "make_delta"]

PIECE_END = b"}"
DIGEST_BYTES = 16
COMPRESSION_LEVEL = 4
MAX_DOCUMENT_BYTES = 32 * 1024 * 1024


def digest(document: bytes) -> bytes:
    """Returns a hash that identifies a document."""
    return hashlib.blake2b(document, digest_size=DIGEST_BYTES).digest()


def compress(document: bytes) -> bytes:
    """Compresses a document."""
    return zlib.compress(document, COMPRESSION_LEVEL)


def decompress(payload: bytes) -> bytes:
    """Decompresses a document.

    Raises:
        MessageInvalidError: If the payload is corrupt, or the document exceeds
            `MAX_DOCUMENT_BYTES`.
    """
    stream = zlib.decompressobj()
    try:
        document = stream.decompress(payload, MAX_DOCUMENT_BYTES)
    except zlib.error as exc:
        raise MessageInvalidError(f"not a compressed document: {exc}") from exc
    if not stream.eof:
        raise MessageInvalidError(
            f"a document ends early or has over {MAX_DOCUMENT_BYTES} bytes"
        )
    return document


def make_delta(base: bytes, document: bytes) -> bytes:
    """Returns the delta from `base` to `document`."""
    positions: dict[bytes, int] = {}
    for position, piece in enumerate(_split_pieces(base)):
        positions.setdefault(piece, position)
    steps: list[list[int] | bytes] = []
    for piece in _split_pieces(document):
        known = positions.get(piece)
        last = steps[-1] if steps else None
        if known is None:
            if isinstance(last, bytes):
                steps[-1] = last + piece
            else:
                steps.append(piece)
        elif isinstance(last, list) and last[0] + last[1] == known:
            last[1] += 1
        else:
            steps.append([known, 1])
    return compress(msgpack.packb([digest(document), steps]))


def apply_delta(base: bytes, delta: bytes) -> bytes:
    """Returns the document that results from a delta to `base`.

    Raises:
        MessageInvalidError: If the delta is corrupt or is not for `base`.
    """
    pieces = list(_split_pieces(base))
    try:
        expected, steps = msgpack.unpackb(decompress(delta))
        parts = [_apply_step(step, pieces) for step in steps]
        document = b"".join(itertools.chain.from_iterable(parts))
    except (TypeError, ValueError, msgpack.UnpackException) as exc:
        raise MessageInvalidError(f"not a delta: {exc}") from exc
    if digest(document) != expected:
        raise MessageInvalidError(
            "the delta does not apply to the base document"
        )
    return document


def _apply_step(step: object, pieces: list[bytes]) -> list[bytes]:
    match step:
        case bytes():
            return [step]
        case [int(start), int(count)] if 0 <= start <= len(pieces):
            return pieces[start : start + count]
    raise ValueError(f"got step {step!r:.80}")


def _split_pieces(document: bytes) -> Iterator[bytes]:
    start = 0
    while True:
        end = document.find(PIECE_END, start)
        if end < 0:
            yield document[start:]
            return
        yield document[start : end + len(PIECE_END)]
        start = end + len(PIECE_END)
