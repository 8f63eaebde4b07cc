"""Published versions: the head, the history and the documents.

A version is described by three rows, which one transaction writes: the head,
the change under its id, and the same change in the history. Keys of the
history are version numbers of fixed width, so that a scan in key order can
start at the newest changes without reading older ones.
"""

import re
from collections.abc import Sequence
from typing import Any

import attrs

from guavawing.config import (
    Document,
    compute_digest,
    decode_document,
)
from guavawing.errors import (
    ConfigInvalidError,
    InvalidArgumentError,
    PlatformDataInvalidError,
    VersionPrunedError,
)
from guavawing.store.client import Row
from guavawing.store.floor import fetch_floor
from guavawing.store.store import PlatformStore

__all__ = [
    "Change",
    "Head",
    "fetch_change",
    "fetch_document",
    "fetch_head",
    "fetch_history",
    "fetch_version",
    "format_object_name",
    "parse_change_id",
    "parse_object_name",
]

HEAD_TABLE = "config-head"
HEAD_KEY = "head"
CHANGE_TABLE = "config-changes"
HISTORY_TABLE = "config-history"
HISTORY_PAGE = 1_000
_VERSION_DIGITS = 12
_DIGEST_LENGTH = 32
_OBJECT_NAME = re.compile(r"([0-9]{12,})-([0-9a-f]{64})")
_CHANGE_ID = re.compile(r"[A-Za-z0-9_.-]{1,64}")


@attrs.frozen
class Head:
    """The newest accepted version.

    Attributes:
        version: Number of the version; 0 before the first one.
        digest: SHA-256 digest of version number and document.
        change_id: Id of the change that created it.
        revision: Revision of the head row; 0 if it was not read.
    """

    version: int
    digest: bytes
    change_id: str
    revision: int


@attrs.frozen
class Change:
    """An accepted change.

    Attributes:
        version: Number of the version that it created.
        digest: SHA-256 digest of version number and document.
        change_id: Id of the change.
        author: Author of the change.
        summary: Summary of the change, in one line.
        at: Time of publication by the author's clock, in ISO 8601.
    """

    version: int
    digest: bytes
    change_id: str
    author: str = ""
    summary: str = ""
    at: str = ""

    def to_head(self) -> Head:
        """Returns the head that this change created."""
        return Head(self.version, self.digest, self.change_id, revision=0)


EMPTY_HEAD = Head(version=0, digest=b"", change_id="", revision=0)


def parse_change_id(text: str) -> str:
    """Returns `text` if it is a valid change id.

    Raises:
        InvalidArgumentError: If it is not.
    """
    if _CHANGE_ID.fullmatch(text) is None:
        raise InvalidArgumentError(
            f"got the change id {text!r}, expected 1 to 64 letters, digits,"
            " '-', '_' or '.'"
        )
    return text


def encode_change(change: Change) -> dict[str, Any]:
    """Encodes a change as the value of its rows."""
    return {**attrs.asdict(change), "digest": change.digest.hex()}


def format_history_key(version: int) -> str:
    """Returns the history key of a version."""
    return f"{version:0{_VERSION_DIGITS}d}"


def format_object_name(version: int, digest: bytes) -> str:
    """Returns the name of the object that holds a version's document.

    The version number makes the name unique even if two versions have the
    same document, so that the object can be removed with its version.
    """
    return f"{format_history_key(version)}-{digest.hex()}"


def parse_object_name(name: str) -> tuple[int, bytes] | None:
    """Returns the version and digest in a name; None for other objects."""
    match = _OBJECT_NAME.fullmatch(name)
    if match is None:
        return None
    return int(match[1]), bytes.fromhex(match[2])


async def fetch_head(platform: PlatformStore) -> Head:
    """Returns the newest accepted version.

    Raises:
        PlatformUnavailableError: If the platform gives no usable answer.
        PlatformDataInvalidError: If the row is invalid.
    """
    row = await platform.read_row(HEAD_TABLE, HEAD_KEY)
    if row is None:
        return EMPTY_HEAD
    change = decode_change(HEAD_TABLE, row)
    return attrs.evolve(change.to_head(), revision=row.revision)


async def fetch_change(
    platform: PlatformStore, change_id: str
) -> Change | None:
    """Returns an accepted change by its id, or None if there is none.

    Raises:
        PlatformUnavailableError: If the platform gives no usable answer.
        PlatformDataInvalidError: If the row is invalid.
    """
    row = await platform.read_row(CHANGE_TABLE, change_id)
    return None if row is None else decode_change(CHANGE_TABLE, row)


async def fetch_version_change(
    platform: PlatformStore, version: int
) -> Change | None:
    """Returns the change that created a version, or None.

    Raises:
        PlatformUnavailableError: If the platform gives no usable answer.
        PlatformDataInvalidError: If the row is invalid.
    """
    row = await platform.read_row(HISTORY_TABLE, format_history_key(version))
    return None if row is None else decode_change(HISTORY_TABLE, row)


async def fetch_history(
    platform: PlatformStore, *, limit: int
) -> Sequence[Change]:
    """Returns up to `limit` newest changes, the newest first.

    Reads the head once, and each page of the history once.

    Raises:
        PlatformUnavailableError: If the platform gives no usable answer.
        PlatformDataInvalidError: If a row is invalid.
    """
    head = await fetch_head(platform)
    last = max(head.version - limit, 0)
    changes: list[Change] = []
    while last < head.version:
        rows = await platform.scan_rows(
            HISTORY_TABLE,
            after=format_history_key(last),
            limit=min(HISTORY_PAGE, head.version - last),
        )
        if not rows:
            raise PlatformDataInvalidError(
                f"the history ends at version {last}, the head is at version"
                f" {head.version}"
            )
        changes += [decode_change(HISTORY_TABLE, row) for row in rows]
        last = changes[-1].version
    return changes[::-1]


async def fetch_document(platform: PlatformStore) -> tuple[Head, Document]:
    """Returns the newest accepted version and its document.

    Raises:
        PlatformUnavailableError: If the platform gives no usable answer.
        PlatformDataInvalidError: If a row or the object is invalid.
    """
    head = await fetch_head(platform)
    if head.version == 0:
        return head, Document()
    return head, await _fetch_object(platform, head.version, head.digest)


async def fetch_version(
    platform: PlatformStore, version: int
) -> tuple[Change, Document]:
    """Returns the change and the document of an accepted version.

    Version 0 is the empty document before the first change.

    Raises:
        InvalidArgumentError: If there is no such version.
        VersionPrunedError: If it was pruned.
        PlatformUnavailableError: If the platform gives no usable answer.
        PlatformDataInvalidError: If a row or the object is invalid.
    """
    if version == 0:
        return Change(0, b"", ""), Document()
    change = await fetch_version_change(platform, version)
    if change is None:
        await _check_kept(platform, version)
        raise InvalidArgumentError(
            f"got version {version}, expected one that 'guavawing config"
            " history' lists"
        )
    return change, await _fetch_object(platform, version, change.digest)


async def _fetch_object(
    platform: PlatformStore, version: int, digest: bytes
) -> Document:
    payload = await platform.get_object(format_object_name(version, digest))
    if payload is None:
        await _check_kept(platform, version)
        raise PlatformDataInvalidError(
            f"the object of version {version} is missing"
        )
    if compute_digest(version, payload) != digest:
        raise PlatformDataInvalidError(
            f"the object of version {version} does not match its digest"
        )
    try:
        return decode_document(payload)
    except ConfigInvalidError as exc:
        raise PlatformDataInvalidError(
            f"the object of version {version} can't be decoded: {exc}"
        ) from exc


async def _check_kept(platform: PlatformStore, version: int) -> None:
    floor = await fetch_floor(platform)
    if 0 < version < floor.document:
        raise VersionPrunedError(version=version, oldest=floor.document)


def decode_change(table: str, row: Row) -> Change:
    """Decodes the change in a row.

    Raises:
        PlatformDataInvalidError: If the row is invalid.
    """
    value = row.value
    try:
        change = Change(
            version=value["version"],
            digest=bytes.fromhex(value["digest"]),
            change_id=value["change_id"],
            author=str(value.get("author", "")),
            summary=str(value.get("summary", "")),
            at=str(value.get("at", "")),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as exc:
        raise PlatformDataInvalidError(
            f"row {table}/{row.key} can't be decoded: {exc!r}"
        ) from exc
    valid = (
        type(change.version) is int
        and change.version > 0
        and isinstance(change.change_id, str)
        and len(change.digest) == _DIGEST_LENGTH
    )
    if not valid:
        raise PlatformDataInvalidError(
            f"row {table}/{row.key} has an invalid version, change id or digest"
        )
    return change
