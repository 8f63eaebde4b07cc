"""Claims: bindings of the callers' own idempotency keys, in the platform.

A caller may choose any key. The first entry node that sees it binds it to an
owner by inserting a row; whoever comes later, or loses the race, reads the
row and goes to the same owner. The row says only where the key belongs, not
whether it has run, so a reply lost after the write does no harm.

Rows stay until an operator removes those that are too old for a caller to
send their keys again: without its row, a key would be taken for a new one.
"""

import hashlib
import time
from collections.abc import AsyncIterator

import attrs

from guavawing.errors import (
    InvalidArgumentError,
    PlatformError,
    PlatformWriteUnknownError,
    TransactionRefusedError,
)
from guavawing.policy.bound_key import BoundKey, parse_bound_key
from guavawing.store.client import MAX_ENTRIES, Platform, Row, Write

__all__ = ["Claim", "ClaimTable", "remove_claims"]

TABLE = "key-claims"
BOUND_AT = "bound_at_s"
ROWS_PER_READ = 1_000
# Rows removed by one transaction: each expects its revision.
ROWS_PER_TRANSACTION = MAX_ENTRIES // 2


@attrs.frozen
class Claim:
    """Where a caller's key belongs.

    Attributes:
        name: Name of the row.
        key: The bound key in force.
        revision: Revision of the row.
    """

    name: str
    key: BoundKey
    revision: int


class ClaimTable:
    """Reads and writes claims."""

    __slots__ = ("_platform",)

    def __init__(self, platform: Platform) -> None:
        self._platform = platform

    async def find(self, service: str, caller_key: str) -> Claim | None:
        """Returns the claim of a caller's key, or None if there is none.

        Raises:
            PlatformError: If the platform gives no usable answer.
        """
        return await self._read(_name_row(service, caller_key))

    async def bind(
        self,
        service: str,
        caller_key: str,
        key: BoundKey,
        *,
        released: Claim | None = None,
    ) -> Claim:
        """Binds a caller's key unless it is bound already.

        Args:
            service: Service that is called.
            caller_key: The key that the caller chose.
            key: Bound key to write.
            released: The claim to replace, whose owner has said that it
                will never execute it; None if there must be none.

        Returns:
            The claim in force afterwards, whoever wrote it.

        Raises:
            PlatformError: If the platform gives no usable answer.
        """
        name = _name_row(service, caller_key)
        revision = 0 if released is None else released.revision
        value = {"key": str(key), BOUND_AT: int(time.time())}
        write = Write(TABLE, name, value, revision)
        try:
            written = await self._platform.transact((write,))
            return Claim(name, key, written)
        except (TransactionRefusedError, PlatformWriteUnknownError):
            claim = await self._read(name)
            if claim is None:
                raise
            return claim

    async def _read(self, name: str) -> Claim | None:
        row = await self._platform.read_row(TABLE, name)
        if row is None:
            return None
        try:
            return Claim(name, parse_bound_key(row.value["key"]), row.revision)
        except (InvalidArgumentError, KeyError) as exc:
            raise PlatformError(f"row {TABLE}/{name} is damaged") from exc


async def remove_claims(
    platform: Platform, *, bound_before_s: float
) -> AsyncIterator[int]:
    """Removes the claims that were bound before a time, page by page.

    A claim that is bound anew meanwhile stays.

    Args:
        platform: Table service and object store.
        bound_before_s: Unix time, in seconds.

    Yields:
        The number of rows removed so far, after each page.

    Raises:
        PlatformError: If the platform gives no usable answer; what has been
            removed before stays removed.
    """
    removed = 0
    after = ""
    while True:
        rows = await platform.scan_rows(TABLE, after=after, limit=ROWS_PER_READ)
        old = [
            Write(TABLE, row.key, None, row.revision)
            for row in rows
            if _is_bound_before(row, bound_before_s)
        ]
        for start in range(0, len(old), ROWS_PER_TRANSACTION):
            batch = old[start : start + ROWS_PER_TRANSACTION]
            removed += await _remove_batch(platform, batch)
        yield removed
        if len(rows) < ROWS_PER_READ:
            return
        after = rows[-1].key


async def _remove_batch(platform: Platform, batch: list[Write]) -> int:
    try:
        await platform.transact(batch)
    except TransactionRefusedError:
        # One of the rows was written meanwhile; it is met again next time.
        return 0
    return len(batch)


def _is_bound_before(row: Row, time_s: float) -> bool:
    bound_at = row.value.get(BOUND_AT)
    return isinstance(bound_at, int) and bound_at < time_s


def _name_row(service: str, caller_key: str) -> str:
    return hashlib.sha256(f"{service}\0{caller_key}".encode()).hexdigest()
