"""Publishing of documents: store the object, then compare-and-set the head.

A change is accepted when its transaction advances the head from the version
that the operator read. The same transaction writes the change under its id
and into the history. Until then nothing refers to the object, so a crash or
an outage before the transaction leaves only an unused object.

An attempt reads the head before it reads the row of its change id. The
request of an earlier attempt of the same change, whose reply was lost, may
still be in flight. It can succeed only while the head has the revision that
it expects. So once the head has another revision, either the row of the
change id exists or the earlier attempt has failed permanently. In the opposite
order, the earlier attempt could be accepted between the two reads, and would
be reported as a conflict with another operator's change.
"""

import datetime
from collections.abc import Callable

import attrs

from guavawing.config import (
    Document,
    check_document,
    compute_digest,
    decode_document,
    encode_document,
    find_ended_exceptions,
)
from guavawing.errors import (
    ChangeIdReusedError,
    ConfigInvalidError,
    ConflictingChangeError,
    InvalidArgumentError,
    PlatformUnavailableError,
    PlatformWriteUnknownError,
    TransactionRefusedError,
    VersionPrunedError,
)
from guavawing.store.client import Write
from guavawing.store.store import PlatformStore
from guavawing.store.versions import (
    CHANGE_TABLE,
    HEAD_KEY,
    HEAD_TABLE,
    HISTORY_TABLE,
    Change,
    Head,
    encode_change,
    fetch_change,
    fetch_document,
    fetch_head,
    fetch_version,
    fetch_version_change,
    format_history_key,
    format_object_name,
    parse_change_id,
)

__all__ = ["publish_document", "publish_edit"]

Edit = Callable[[Document], Document]


async def publish_document(
    platform: PlatformStore,
    document: Document,
    *,
    change_id: str,
    base_version: int,
    author: str,
    summary: str = "",
    now: datetime.datetime | None = None,
) -> Head:
    """Publishes a document as the version after `base_version`.

    Args:
        platform: Table service and object store.
        document: The complete new configuration.
        change_id: Id of the change; publishing is idempotent per id.
        base_version: Version that the document is based on.
        author: Author of the change.
        summary: Summary of the change, in one line.
        now: Time of the change; the current time if omitted.

    Returns:
        The version that the change created, in this attempt or an earlier one.

    Raises:
        InvalidArgumentError: If the change id or the base version is invalid.
        ConfigInvalidError: If the document violates a rule.
        ChangeIdReusedError: If the id was used for another document.
        ConflictingChangeError: If another change was accepted first.
        PlatformUnavailableError: If this attempt published nothing.
        PlatformWriteUnknownError: If the change may have been published.
    """
    parse_change_id(change_id)
    payload = _prepare_payload(document)
    now = now or datetime.datetime.now(datetime.UTC)
    change = Change(
        version=base_version + 1,
        digest=compute_digest(base_version + 1, payload),
        change_id=change_id,
        author=author,
        summary=summary,
        at=now.isoformat(timespec="seconds"),
    )
    head = await fetch_head(platform)
    accepted = await _find_accepted(platform, change, payload)
    if accepted is not None:
        return accepted
    if base_version > head.version:
        raise InvalidArgumentError(
            f"got base version {base_version}, expected at most the newest"
            f" one, {head.version}"
        )
    if base_version < head.version:
        raise await _find_conflict(platform, base_version)
    await _check_exception_ends(platform, document, base_version, now.date())
    await _store_object(platform, change, payload)
    return await _advance_head(platform, head, change, payload)


async def publish_edit(
    platform: PlatformStore,
    edit: Edit,
    *,
    change_id: str,
    author: str,
    base_version: int | None = None,
    summary: str = "",
    now: datetime.datetime | None = None,
) -> Head:
    """Edits the newest document and publishes the result.

    A repeated attempt with the same change id applies the edit to the base
    version of the accepted change, so that it is recognised as the same
    change also after newer versions were published.

    Args:
        platform: Table service and object store.
        edit: Returns the edited document; raises if it is not applicable.
        change_id: Id of the change; publishing is idempotent per id.
        author: Author of the change.
        base_version: Version that must be the newest; None for any.
        summary: Summary of the change, in one line.
        now: Time of the change; the current time if omitted.

    Raises:
        GuavawingError: As `publish_document` does.
    """
    parse_change_id(change_id)
    head, document = await fetch_document(platform)
    change = await fetch_change(platform, change_id)
    if change is not None:
        base = await _fetch_base(platform, change)
        try:
            same = _is_payload_of(change, encode_document(edit(base)))
        except InvalidArgumentError:
            same = False
        if not same:
            raise ChangeIdReusedError(
                change_id=change_id, version=change.version
            )
        return change.to_head()
    if base_version is not None and base_version < head.version:
        raise await _find_conflict(platform, base_version)
    return await publish_document(
        platform,
        edit(document),
        change_id=change_id,
        base_version=head.version if base_version is None else base_version,
        author=author,
        summary=summary,
        now=now,
    )


async def _fetch_base(platform: PlatformStore, change: Change) -> Document:
    try:
        _, base = await fetch_version(platform, change.version - 1)
    except VersionPrunedError as exc:
        raise VersionPrunedError(
            version=exc.version,
            oldest=exc.oldest,
            context=(
                f"change id {change.change_id} was accepted as version"
                f" {change.version}, perhaps for another edit: "
            ),
        ) from exc
    return base


def _prepare_payload(document: Document) -> bytes:
    """Encodes a document and checks the bytes as every node does.

    Raises:
        ConfigInvalidError: If a node would reject it.
    """
    payload = encode_document(document)
    check_document(decode_document(payload))
    return payload


async def _check_exception_ends(
    platform: PlatformStore,
    document: Document,
    base_version: int,
    today: datetime.date,
) -> None:
    if not any(find_ended_exceptions(document, today)):
        return
    _, base = await fetch_version(platform, base_version)
    faults = tuple(find_ended_exceptions(document, today, base=base))
    if faults:
        raise ConfigInvalidError(faults)


async def _store_object(
    platform: PlatformStore, change: Change, payload: bytes
) -> None:
    try:
        name = format_object_name(change.version, change.digest)
        await platform.put_object(name, payload)
    except PlatformWriteUnknownError as exc:
        # Nothing refers to the object yet, so it does not matter whether it
        # was stored.
        raise PlatformUnavailableError(str(exc)) from exc


async def _advance_head(
    platform: PlatformStore, head: Head, change: Change, payload: bytes
) -> Head:
    value = encode_change(change)
    writes = (
        Write(HEAD_TABLE, HEAD_KEY, value, head.revision),
        Write(CHANGE_TABLE, change.change_id, value, 0),
        Write(HISTORY_TABLE, format_history_key(change.version), value, 0),
    )
    try:
        revision = await platform.transact(writes)
    except TransactionRefusedError:
        accepted = await _find_accepted(platform, change, payload)
        if accepted is None:
            raise await _find_conflict(platform, head.version) from None
        return accepted
    except PlatformWriteUnknownError:
        accepted = await _try_find_accepted(platform, change, payload)
        if accepted is None:
            raise
        return accepted
    return attrs.evolve(change.to_head(), revision=revision)


def _is_payload_of(change: Change, payload: bytes) -> bool:
    return compute_digest(change.version, payload) == change.digest


async def _find_accepted(
    platform: PlatformStore, change: Change, payload: bytes
) -> Head | None:
    accepted = await fetch_change(platform, change.change_id)
    if accepted is None:
        return None
    if not _is_payload_of(accepted, payload):
        raise ChangeIdReusedError(
            change_id=change.change_id, version=accepted.version
        )
    return accepted.to_head()


async def _try_find_accepted(
    platform: PlatformStore, change: Change, payload: bytes
) -> Head | None:
    """Finds a change of unknown outcome; None if it remains unknown."""
    try:
        return await _find_accepted(platform, change, payload)
    except PlatformUnavailableError:
        # The caller raises the error of the write, which is more severe.
        return None


async def _find_conflict(
    platform: PlatformStore, base_version: int
) -> ConflictingChangeError:
    """Returns the error that names the change accepted after a version."""
    following = await fetch_version_change(platform, base_version + 1)
    newest = following or await fetch_head(platform)
    return ConflictingChangeError(
        change_id=newest.change_id, version=newest.version
    )
