"""Compression of payloads on the network, with a bounded result size."""

import zlib

from guavawing.errors import MessageInvalidError

__all__ = ["compress_payload", "decompress_payload"]

_COMPRESSION_LEVEL = 6


def compress_payload(payload: bytes) -> bytes:
    """Returns a payload in its compressed form on the network."""
    return zlib.compress(payload, _COMPRESSION_LEVEL)


def decompress_payload(data: bytes, *, limit: int) -> bytes:
    """Decompresses a payload of at most `limit` bytes.

    Raises:
        MessageInvalidError: If the data is corrupt or truncated, has trailing
            bytes or exceeds `limit`.
    """
    inflater = zlib.decompressobj()
    try:
        payload = inflater.decompress(data, limit + 1)
    except zlib.error as exc:
        raise MessageInvalidError(f"corrupt compressed data: {exc}") from exc
    if len(payload) > limit:
        raise MessageInvalidError(f"decompressed payload exceeds {limit} bytes")
    if not inflater.eof or inflater.unused_data:
        raise MessageInvalidError(
            "compressed data is truncated or has trailing bytes"
        )
    return payload
