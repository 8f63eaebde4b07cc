"""Compression of payloads that cross the network, with bounded results."""

import zlib

from guavawing.errors import MessageInvalidError

__all__ = ["compress_payload", "decompress_payload"]

_COMPRESSION_LEVEL = 6


def compress_payload(payload: bytes) -> bytes:
    """Returns a payload as it crosses the network."""
    return zlib.compress(payload, _COMPRESSION_LEVEL)


def decompress_payload(data: bytes, *, limit: int) -> bytes:
    """Returns the payload of `data`, which holds at most `limit` bytes.

    Raises:
        MessageInvalidError: If the bytes are damaged, cut short or too many.
    """
    inflater = zlib.decompressobj()
    try:
        payload = inflater.decompress(data, limit + 1)
    except zlib.error as exc:
        raise MessageInvalidError(f"damaged bytes: {exc}") from exc
    if len(payload) > limit:
        raise MessageInvalidError(
            f"got more than {limit} bytes, expected at most {limit}"
        )
    if not inflater.eof or inflater.unused_data:
        raise MessageInvalidError("got bytes that end early or too late")
    return payload
