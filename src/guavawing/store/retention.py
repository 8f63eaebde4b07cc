"""Retention: removes old documents and changes from the platform.

A prune and concurrent publishes need neither clock nor lease. Every object
belongs to one version. A concurrent publish creates a version above the head
that the prune reads at its start, so objects above that head are kept. An
object up to that head is in use only if the history names it: its version
number is assigned, and no publish can use it again, however late its requests
arrive.

All steps are idempotent. Remaining objects are found by listing them, so an
interrupted prune is completed by the next one.
"""

import datetime
from collections.abc import AsyncIterator, Iterable

import attrs

from guavawing.errors import TransactionRefusedError
from guavawing.store.client import Write
from guavawing.store.floor import Floor, fetch_floor, raise_floor
from guavawing.store.store import PlatformStore
from guavawing.store.versions import (
    CHANGE_TABLE,
    HISTORY_PAGE,
    HISTORY_TABLE,
    Change,
    decode_change,
    fetch_head,
    fetch_version_change,
    format_history_key,
    parse_object_name,
)

__all__ = ["PruneState", "RetentionRule", "prune"]

# One transaction removes the two rows of each change.
CHANGES_PER_TRANSACTION = 25
ROWS_PER_CHANGE = 2
_LATEST_TIME = datetime.datetime.max.replace(tzinfo=datetime.UTC)


@attrs.frozen(kw_only=True)
class RetentionRule:
    """Which documents and changes are kept.

    Ages are relative to the newest change, or to the current time if its
    author's clock was ahead. So neither a wrong clock on the machine that
    runs the prune nor a long period without changes causes more removals.

    Attributes:
        days: Documents that were in force within this many days are kept.
        last: Number of newest documents that are kept, whatever their age.
        changes_days: Like `days`, for the rows of changes; changes of kept
            documents are always kept.
    """

    days: float
    last: int
    changes_days: float


@attrs.frozen(kw_only=True)
class PruneState:
    """Progress of a prune.

    Attributes:
        newest: The newest version at the start.
        floor: The oldest versions that are kept.
        objects: Number of objects removed so far.
        changes: Number of changes removed so far.
        writes: Rows and objects written or removed by the last step.
    """

    newest: int
    floor: Floor
    objects: int = 0
    changes: int = 0
    writes: int = 0


async def prune(
    platform: PlatformStore,
    rule: RetentionRule,
    *,
    now: datetime.datetime,
    dry_run: bool = False,
) -> AsyncIterator[PruneState]:
    """Removes the documents and changes that the rule does not keep.

    Args:
        platform: Table service and object store.
        rule: Which documents and changes are kept.
        now: The current time.
        dry_run: Whether to count without writing.

    Yields:
        The state after each write, so that the caller can limit their rate.

    Raises:
        PlatformUnavailableError: If the platform gives no usable answer;
            another run resumes the prune.
        PlatformWriteUnknownError: If the last step may have been executed;
            another run resumes the prune.
        PlatformDataInvalidError: If a row is invalid.
    """
    newest = (await fetch_head(platform)).version
    floor = await _compute_floor(platform, rule, newest, now)
    if not dry_run:
        floor = await raise_floor(platform, floor)
    state = PruneState(newest=newest, floor=floor, writes=1)
    yield state
    async for name in _find_objects(platform, newest, floor):
        if not dry_run:
            await platform.delete_object(name)
        state = attrs.evolve(state, objects=state.objects + 1, writes=1)
        yield state
    async for batch in _find_changes(platform, floor):
        if not dry_run and not await _remove_changes(platform, batch):
            continue
        state = attrs.evolve(
            state,
            changes=state.changes + len(batch),
            writes=ROWS_PER_CHANGE * len(batch),
        )
        yield state


async def _compute_floor(
    platform: PlatformStore,
    rule: RetentionRule,
    newest: int,
    now: datetime.datetime,
) -> Floor:
    before = await fetch_floor(platform)
    head = await fetch_version_change(platform, newest)
    if head is None:
        return before
    end = min(now, _parse_time(head))
    last = newest - rule.last + 1
    document = await _find_version_in_force(
        platform, before.document, last, end - _make_timedelta(rule.days)
    )
    change = await _find_version_in_force(
        platform,
        before.change,
        document,
        end - _make_timedelta(rule.changes_days),
    )
    return before.raise_to(Floor(document=document, change=change))


async def _find_version_in_force(
    platform: PlatformStore, first: int, last: int, at: datetime.datetime
) -> int:
    """Returns which version from `first` to `last` was in force at a time."""
    async for page in _scan_changes(platform, first, last):
        for change in page:
            if _parse_time(change) >= at:
                return max(change.version - 1, first)
    return max(last, first)


async def _scan_changes(
    platform: PlatformStore, first: int, last: int
) -> AsyncIterator[list[Change]]:
    """Yields pages of the changes of versions from `first` to `last`."""
    while first <= last:
        rows = await platform.scan_rows(
            HISTORY_TABLE,
            after=format_history_key(first - 1),
            limit=min(HISTORY_PAGE, last - first + 1),
        )
        page = [decode_change(HISTORY_TABLE, row) for row in rows]
        if not page:
            return
        yield [change for change in page if change.version <= last]
        first = page[-1].version + 1


async def _find_objects(
    platform: PlatformStore, newest: int, floor: Floor
) -> AsyncIterator[str]:
    """Yields the names of objects that no kept version refers to."""
    after = ""
    while names := await platform.list_objects(after=after):
        after = names[-1]
        parsed = {name: parse_object_name(name) for name in names}
        # Objects that belong to no version are kept.
        found = {name: pair for name, pair in parsed.items() if pair}
        numbers = [version for version, _ in found.values()]
        in_use = await _fetch_digests(platform, numbers, newest, floor)
        for name, (version, digest) in found.items():
            # A version above the head has no row yet. A missing row below
            # the head is a fault to be investigated. In both cases the
            # object is kept.
            unused = in_use.get(version, digest) != digest
            if version < floor.document or unused:
                yield name


async def _fetch_digests(
    platform: PlatformStore, numbers: Iterable[int], newest: int, floor: Floor
) -> dict[int, bytes]:
    """Returns the digests of the kept versions up to `newest`."""
    kept = [n for n in numbers if floor.document <= n <= newest]
    digests: dict[int, bytes] = {}
    if not kept:
        return digests
    async for page in _scan_changes(platform, min(kept), max(kept)):
        digests |= {change.version: change.digest for change in page}
    return digests


async def _find_changes(
    platform: PlatformStore, floor: Floor
) -> AsyncIterator[list[tuple[Change, int]]]:
    """Yields batches of changes below the floor, with row revisions."""
    after = ""
    while True:
        rows = await platform.scan_rows(
            HISTORY_TABLE, after=after, limit=CHANGES_PER_TRANSACTION
        )
        changes = [(decode_change(HISTORY_TABLE, r), r.revision) for r in rows]
        old = [each for each in changes if each[0].version < floor.change]
        if not old:
            return
        yield old
        after = rows[-1].key


async def _remove_changes(
    platform: PlatformStore, batch: list[tuple[Change, int]]
) -> bool:
    """Removes changes; returns False if another prune removed some."""
    writes: list[Write] = []
    for change, revision in batch:
        key = format_history_key(change.version)
        writes.append(Write(HISTORY_TABLE, key, None, revision))
        # Both rows are written and removed in one transaction, so the
        # condition on the first one covers both.
        writes.append(Write(CHANGE_TABLE, change.change_id, None, None))
    try:
        await platform.transact(writes)
    except TransactionRefusedError:
        return False
    return True


def _make_timedelta(days: float) -> datetime.timedelta:
    return datetime.timedelta(days=days)


def _parse_time(change: Change) -> datetime.datetime:
    """Returns when a change was made; the latest time if unparsable."""
    try:
        at = datetime.datetime.fromisoformat(change.at)
    except ValueError:
        return _LATEST_TIME
    return at if at.tzinfo else at.replace(tzinfo=datetime.UTC)
