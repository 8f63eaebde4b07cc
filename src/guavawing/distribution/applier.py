"""Checks versions and puts them in force at one node.

A version is put in force atomically: its payload must match the announced
digest, decode and pass validation before a single reference is replaced. The
number of the version in force never decreases.
"""

from collections.abc import Callable

import attrs
import orjson

from guavawing.config import (
    Document,
    check_change,
    compute_digest,
    decode_document,
)
from guavawing.config.codec import MAX_DOCUMENT_BYTES
from guavawing.distribution.delta import (
    Delta,
    Index,
    compute_index_digest,
    derive_delta,
    encode_index,
    index_entries,
    patch_index,
    read_index,
)
from guavawing.distribution.patch import decode_index, patch_document
from guavawing.errors import ConfigInvalidError

__all__ = ["Applied", "ApplyResult", "Rejected", "Version", "VersionApplier"]

MAX_RECORDED_REJECTIONS = 64


Content = Index | bytes
Decoder = Callable[[], tuple[Content, Document]]


@attrs.frozen
class Version:
    """A version of the configuration.

    Attributes:
        number: Number of the version; 0 means none.
        digest: SHA-256 digest of number and payload.
        content: Encoded entries of the payload, or the payload itself if it
            is not canonical and cannot be rebuilt from them.
        document: The decoded document.
    """

    number: int
    digest: bytes
    content: Content
    document: Document

    @property
    def payload(self) -> bytes:
        """JSON of the document as published, encoded on each access."""
        if isinstance(self.content, bytes):
            return self.content
        return encode_index(self.content)


@attrs.frozen
class Applied:
    """The version was put in force."""

    version: Version


@attrs.frozen
class Rejected:
    """The version was rejected; the previous one stays in force.

    Attributes:
        number: Number of the version.
        message: Why it was rejected.
        permanent: Whether the same digest must not be tried again.
    """

    number: int
    message: str
    permanent: bool


ApplyResult = Applied | Rejected

NO_VERSION = Version(0, b"", b"", Document())


class VersionApplier:
    """Holds the version in force and replaces it by newer valid ones."""

    __slots__ = ("_current", "_index", "_rejected")

    def __init__(self) -> None:
        self._current = NO_VERSION
        # Encoded entries of the payload in force. A decoded tree uses ten
        # times the memory of its payload, which the allocator does not return.
        self._index: Index = {}
        self._rejected: dict[tuple[int, bytes], str] = {}

    @property
    def current(self) -> Version:
        """The version in force."""
        return self._current

    @property
    def rejections(self) -> dict[int, str]:
        """Why versions above the current one were rejected, by number."""
        return {
            number: message
            for (number, _), message in self._rejected.items()
            if number > self._current.number
        }

    def is_eligible(self, number: int, digest: bytes) -> bool:
        """Returns whether a version is newer and was not rejected."""
        if number <= self._current.number:
            return False
        return (number, digest) not in self._rejected

    def apply(
        self,
        number: int,
        digest: bytes,
        payload: bytes,
        *,
        delta: Delta | None = None,
    ) -> ApplyResult:
        """Checks a version and puts it in force.

        Args:
            number: Number of the version.
            digest: Expected digest of the payload.
            payload: The complete payload.
            delta: Delta from the version in force, if it is known and the
                payload is canonical; only changed entries are then decoded.
        """
        found = compute_digest(number, payload)
        if delta is None:
            return self._apply(number, digest, found, lambda: _decode(payload))
        index = patch_index(self._index, delta)
        return self._apply(number, digest, found, self._patch(delta, index))

    def apply_delta(
        self, number: int, digest: bytes, delta: Delta
    ) -> ApplyResult:
        """Checks the version that results from a delta; puts it in force.

        Raises:
            MessageInvalidError: If the delta does not match the version in
                force.
        """
        index = patch_index(self._index, delta)
        found = compute_index_digest(number, index)
        return self._apply(number, digest, found, self._patch(delta, index))

    def derive_delta(self, payload: bytes) -> Delta | None:
        """Returns the delta from the version in force to a payload.

        Returns None if the payload is not canonical.
        """
        return derive_delta(self._index, payload)

    def _patch(self, delta: Delta, index: Index) -> Decoder:
        document = self._current.document
        return lambda: (index, patch_document(document, delta, index))

    def _apply(
        self, number: int, digest: bytes, found: bytes, decode: Decoder
    ) -> ApplyResult:
        if number <= self._current.number:
            return Rejected(
                number,
                f"version {number} is not newer than version"
                f" {self._current.number} in force",
                permanent=True,
            )
        if found != digest:
            return Rejected(
                number,
                "digest of the payload differs from the announced one",
                permanent=False,
            )
        try:
            content, document = decode()
            check_change(document, self._current.document)
        except ConfigInvalidError as exc:
            self._record_rejection(number, digest, str(exc))
            return Rejected(number, str(exc), permanent=True)
        if isinstance(content, bytes):
            self._index = index_entries(orjson.loads(content))
        else:
            self._index = content
        self._current = Version(number, digest, content, document)
        return Applied(self._current)

    def _record_rejection(
        self, number: int, digest: bytes, message: str
    ) -> None:
        self._rejected[number, digest] = message
        while len(self._rejected) > MAX_RECORDED_REJECTIONS:
            del self._rejected[min(self._rejected)]


def _decode(payload: bytes) -> tuple[Content, Document]:
    index = read_index(payload)
    if index is None or len(payload) > MAX_DOCUMENT_BYTES:
        return payload, decode_document(payload)
    try:
        return index, decode_index(index)
    except ConfigInvalidError:
        # Decoding the complete payload reports all faults at once.
        return payload, decode_document(payload)
