"""The version in force at one node.

A version is put in force whole or not at all: its bytes must have the
announced digest, decode, and keep every rule before one reference is
swapped. The number of the version in force never falls.
"""

from collections.abc import Callable

import attrs

from guavawing.config import (
    Document,
    check_document,
    compute_digest,
    decode_document,
)
from guavawing.distribution.delta import Delta, apply_delta, encode_tree
from guavawing.distribution.patch import patch_document
from guavawing.errors import ConfigInvalidError

__all__ = ["Applied", "ApplyResult", "Rejected", "Version", "VersionKeeper"]

MAX_REMEMBERED_REJECTIONS = 64


@attrs.frozen
class Version:
    """A version of the configuration.

    Attributes:
        number: Number of the version; 0 stands for none.
        digest: SHA-256 digest of the payload.
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

    __slots__ = ("_current", "_rejected")

    def __init__(self) -> None:
        self._current = NO_VERSION
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
        current = self._current

        def decode() -> Document:
            if delta is None:
                return decode_document(payload)
            return patch_document(current.document, delta, payload)

        return self._apply(number, digest, payload, decode)

    def apply_delta(
        self, number: int, digest: bytes, delta: Delta
    ) -> ApplyResult:
        """Checks the version that a delta makes and puts it in force.

        Raises:
            MessageInvalidError: If the delta does not fit the version in
                force.
        """
        payload = encode_tree(apply_delta(self._current.payload, delta))
        return self.apply(number, digest, payload, delta=delta)

    def _apply(
        self,
        number: int,
        digest: bytes,
        payload: bytes,
        decode: Callable[[], Document],
    ) -> ApplyResult:
        if number <= self._current.number:
            return Rejected(
                number,
                f"got version {number}, expected one above"
                f" {self._current.number}",
                permanent=True,
            )
        if compute_digest(payload) != digest:
            return Rejected(number, "the digest differs", permanent=False)
        try:
            document = decode()
            check_document(document)
        except ConfigInvalidError as exc:
            self._remember_rejection(number, digest, str(exc))
            return Rejected(number, str(exc), permanent=True)
        self._current = Version(number, digest, payload, document)
        return Applied(self._current)

    def _remember_rejection(
        self, number: int, digest: bytes, message: str
    ) -> None:
        self._rejected[number, digest] = message
        while len(self._rejected) > MAX_REMEMBERED_REJECTIONS:
            del self._rejected[min(self._rejected)]
