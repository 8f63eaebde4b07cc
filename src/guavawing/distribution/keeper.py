"""The version in force at one node.

A version is put in force whole or not at all: its bytes must have the
announced digest, decode, and keep every rule before one reference is
swapped. The number of the version in force never falls.
"""

import attrs
import orjson

from guavawing.config import (
    Document,
    check_document,
    compute_digest,
    decode_document,
)
from guavawing.distribution.delta import (
    Delta,
    Index,
    derive_delta,
    encode_index,
    index_entries,
    patch_index,
)
from guavawing.distribution.patch import patch_document
from guavawing.errors import ConfigInvalidError

__all__ = ["Applied", "ApplyResult", "Rejected", "Version", "VersionKeeper"]

MAX_REMEMBERED_REJECTIONS = 64


@attrs.frozen
class Version:
    """A version of the configuration.

    Attributes:
        number: Number of the version; 0 stands for none.
        digest: SHA-256 digest of number and payload.
        payload: Canonical JSON of the document.
        document: The decoded document.
    """

    number: int
    digest: bytes
    payload: bytes
    document: Document


@attrs.frozen
class Applied:
    """The version is in force now."""

    version: Version


@attrs.frozen
class Rejected:
    """The version was kept out; the one before stays in force.

    Attributes:
        number: Number of the version.
        message: Why it was kept out.
        permanent: Whether the same digest must not be tried again.
    """

    number: int
    message: str
    permanent: bool


ApplyResult = Applied | Rejected

NO_VERSION = Version(0, b"", b"", Document())


class VersionKeeper:
    """Owns the version in force."""

    __slots__ = ("_current", "_index", "_rejected")

    def __init__(self) -> None:
        self._current = NO_VERSION
        # Encoded entries of the payload in force. A decoded tree takes ten
        # times the memory of its payload, and the allocator keeps it.
        self._index: Index = {}
        self._rejected: dict[tuple[int, bytes], str] = {}

    @property
    def current(self) -> Version:
        """The version in force."""
        return self._current

    @property
    def rejections(self) -> dict[int, str]:
        """Why versions above the current one were kept out, by number."""
        return {
            number: message
            for (number, _), message in self._rejected.items()
            if number > self._current.number
        }

    def wants(self, number: int, digest: bytes) -> bool:
        """Returns whether a version is newer and not known to be bad."""
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
            digest: Digest that the payload must have.
            payload: The whole payload.
            delta: What turns the version in force into this one, if that is
                known and the payload is canonical; it makes the check short.
        """
        index = None
        if delta is not None:
            index = patch_index(self._index, delta)
        return self._apply(number, digest, payload, delta, index)

    def apply_delta(
        self, number: int, digest: bytes, delta: Delta
    ) -> ApplyResult:
        """Checks the version that a delta makes and puts it in force.

        Raises:
            MessageInvalidError: If the delta does not fit the version in
                force.
        """
        index = patch_index(self._index, delta)
        return self._apply(number, digest, encode_index(index), delta, index)

    def derive_delta(self, payload: bytes) -> Delta | None:
        """Returns the delta from the version in force to a payload.

        None stands for a payload that is not canonical.
        """
        return derive_delta(self._index, payload)

    def _apply(
        self,
        number: int,
        digest: bytes,
        payload: bytes,
        delta: Delta | None,
        index: Index | None,
    ) -> ApplyResult:
        if number <= self._current.number:
            return Rejected(
                number,
                f"got version {number}, expected one above"
                f" {self._current.number}",
                permanent=True,
            )
        if compute_digest(number, payload) != digest:
            return Rejected(number, "the digest differs", permanent=False)
        try:
            if delta is None or index is None:
                document = decode_document(payload)
            else:
                document = patch_document(self._current.document, delta, index)
            check_document(document)
        except ConfigInvalidError as exc:
            self._remember_rejection(number, digest, str(exc))
            return Rejected(number, str(exc), permanent=True)
        self._current = Version(number, digest, payload, document)
        self._index = index or index_entries(orjson.loads(payload))
        return Applied(self._current)

    def _remember_rejection(
        self, number: int, digest: bytes, message: str
    ) -> None:
        self._rejected[number, digest] = message
        while len(self._rejected) > MAX_REMEMBERED_REJECTIONS:
            del self._rejected[min(self._rejected)]
