"""Claims: bindings of idempotency keys chosen by callers, in the platform.

A caller may choose any key. The first entry node that receives it binds it
to an owner by inserting a row. Entry nodes that receive the key later, or
whose insertion fails because the row exists, read the row and send the call
to the same owner. The row records only the owner, not whether the call was
executed, so a lost reply to the insertion is harmless.

Rows are kept until an operator removes those that are too old for a caller
to send their keys again: a key without a row is treated as a new one.
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
# Rows removed by one transaction. Each removal expects a revision and thus
# counts as two entries.
ROWS_PER_TRANSACTION = MAX_ENTRIES // 2


@attrs.frozen
class Claim:
    """Binding of a caller's key to an owner.

    Attributes:
        name: Name of the row.
        key: The bound key, which names the owner.
        revision: Revision of the row.
    """

    name: str
    key: BoundKey
    revision: int


class ClaimTable:
    """Client of the table of claims."""

    __slots__ = ("_platform",)

    def __init__(self, platform: Platform) -> None:
        self._platform = platform

    async def find(self, service: str, caller_key: str) -> Claim | None:
        """Returns the claim of a caller's key, or None if it is unbound.

        Raises:
            PlatformError: If the platform gives no usable answer.
        """
        return await self._read(_format_row_key(service, caller_key))

    async def bind(
        self,
        service: str,
        caller_key: str,
        key: BoundKey,
        *,
        released: Claim | None = None,
    ) -> Claim:
        """Binds a caller's key unless it is already bound.

        Args:
            service: Service that is called.
            caller_key: The key that the caller chose.
            key: Bound key to write.
            released: The claim to replace, whose owner has answered that it
                will never execute the call; None if no claim may exist.

        Returns:
            The current claim: the new one, or that of another entry node.

        Raises:
            PlatformError: If the platform gives no usable answer.
        """
        name = _format_row_key(service, caller_key)
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
            raise PlatformError(f"row {TABLE}/{name} has no valid key") from exc


async def remove_claims(
    platform: Platform, *, bound_before_s: float
) -> AsyncIterator[int]:
    """Removes the claims that were bound before a given time.

    A claim that is rebound during the removal is kept.

    Args:
        platform: Table service and object store.
        bound_before_s: Unix time, in seconds.

    Yields:
        The total number of rows removed so far, after each page.

    Raises:
        PlatformError: If the platform gives no usable answer; earlier
            removals remain in effect.
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
        # One of the rows was written concurrently. The next run finds them
        # again.
        return 0
    return len(batch)


def _is_bound_before(row: Row, time_s: float) -> bool:
    bound_at = row.value.get(BOUND_AT)
    return isinstance(bound_at, int) and bound_at < time_s


def _format_row_key(service: str, caller_key: str) -> str:
    return hashlib.sha256(f"{service}\0{caller_key}".encode()).hexdigest()
