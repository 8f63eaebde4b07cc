"""Publishing a document: object first, then one compare-and-set.

The head row holds the newest version. A change is accepted when its
transaction moves the head from the version that the operator read. A reply
lost after the write is resolved by looking for the change id in the history,
so a repeat under the same change id never publishes twice.
"""

from typing import Any

import attrs

from guavawing.config import (
    Document,
    check_document,
    compute_digest,
    decode_document,
    encode_document,
)
from guavawing.errors import (
    ConflictingChangeError,
    PlatformUnavailableError,
    PlatformWriteUnknownError,
)
from guavawing.platform.client import Platform, TransactionRefusedError, Write

__all__ = ["Head", "fetch_document", "fetch_head", "publish_document"]

HEAD_TABLE = "config-head"
HEAD_KEY = "head"
CHANGE_TABLE = "config-changes"


@attrs.frozen
class Head:
    """The newest accepted version.

    Attributes:
        version: Number of the version; 0 before the first one.
        digest: SHA-256 digest of the document.
        change_id: Id of the change that created it.
        revision: Revision of the head row.
    """

    version: int
    digest: bytes
    change_id: str
    revision: int


EMPTY_HEAD = Head(version=0, digest=b"", change_id="", revision=0)


async def fetch_head(platform: Platform) -> Head:
    """Returns the newest accepted version.

    Raises:
        PlatformUnavailableError: If the platform gives no usable answer.
    """
    row = await platform.read_row(HEAD_TABLE, HEAD_KEY)
    if row is None:
        return EMPTY_HEAD
    return Head(
        version=row.value["version"],
        digest=bytes.fromhex(row.value["digest"]),
        change_id=row.value["change_id"],
        revision=row.revision,
    )


async def fetch_document(platform: Platform) -> tuple[Head, Document]:
    """Returns the newest accepted version and its document.

    Raises:
        PlatformUnavailableError: If the platform gives no usable answer.
        ConfigInvalidError: If the stored document can't be read.
    """
    head = await fetch_head(platform)
    if head.version == 0:
        return head, Document()
    payload = await platform.get_object(head.digest.hex())
    if payload is None:
        raise PlatformUnavailableError(
            f"the object of version {head.version} is missing"
        )
    return head, decode_document(payload)


async def publish_document(
    platform: Platform,
    document: Document,
    *,
    change_id: str,
    base_version: int,
    author: str,
) -> Head:
    """Publishes a document as the version after `base_version`.

    Args:
        platform: Table service and object store.
        document: The whole new configuration.
        change_id: Id of the change; a repeat under the same id is harmless.
        base_version: Version that the operator started from.
        author: Who makes the change.

    Raises:
        ConfigInvalidError: If the document breaks a rule.
        ConflictingChangeError: If another change was accepted first.
        PlatformUnavailableError: If nothing was published.
        PlatformWriteUnknownError: If the change may have been published.
    """
    check_document(document)
    accepted = await _find_change(platform, change_id)
    if accepted is not None:
        return accepted
    head = await fetch_head(platform)
    if head.version != base_version:
        raise ConflictingChangeError(
            change_id=head.change_id, version=head.version
        )
    payload = encode_document(document)
    digest = compute_digest(payload)
    await platform.put_object(digest.hex(), payload)
    value = {
        "version": base_version + 1,
        "digest": digest.hex(),
        "change_id": change_id,
        "author": author,
    }
    return await _move_head(platform, head, value)


async def _move_head(
    platform: Platform, head: Head, value: dict[str, Any]
) -> Head:
    writes = (
        Write(HEAD_TABLE, HEAD_KEY, value, head.revision),
        Write(CHANGE_TABLE, value["change_id"], value, 0),
    )
    try:
        await platform.transact(writes)
    except (PlatformWriteUnknownError, TransactionRefusedError) as exc:
        accepted = await _find_change(platform, value["change_id"])
        if accepted is not None:
            return accepted
        if isinstance(exc, PlatformWriteUnknownError):
            raise
        newest = await fetch_head(platform)
        raise ConflictingChangeError(
            change_id=newest.change_id, version=newest.version
        ) from exc
    return Head(
        version=value["version"],
        digest=bytes.fromhex(value["digest"]),
        change_id=value["change_id"],
        revision=head.revision + 1,
    )


async def _find_change(platform: Platform, change_id: str) -> Head | None:
    row = await platform.read_row(CHANGE_TABLE, change_id)
    if row is None:
        return None
    return Head(
        version=row.value["version"],
        digest=bytes.fromhex(row.value["digest"]),
        change_id=change_id,
        revision=0,
    )
