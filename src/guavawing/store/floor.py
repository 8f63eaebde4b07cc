"""The floor: the oldest versions whose documents and changes are kept.

The row is written before anything is removed, and its numbers never decrease.
So a document or change that is missing below the floor was pruned, and one
that is missing above it was lost.
"""

import attrs

from guavawing.errors import PlatformDataInvalidError, TransactionRefusedError
from guavawing.store.client import Row, Write
from guavawing.store.store import PlatformStore

__all__ = ["Floor", "fetch_floor", "raise_floor"]

FLOOR_TABLE = "config-floor"
FLOOR_KEY = "floor"


@attrs.frozen(kw_only=True)
class Floor:
    """Oldest versions that are kept.

    Attributes:
        document: The oldest version whose document is kept.
        change: The oldest version whose change is kept; at most
            `document`.
    """

    document: int = 1
    change: int = 1

    def raise_to(self, other: "Floor") -> "Floor":
        """Returns the maximum of both floors, field by field."""
        return Floor(
            document=max(self.document, other.document),
            change=max(self.change, other.change),
        )


async def fetch_floor(platform: PlatformStore) -> Floor:
    """Returns the current floor.

    Raises:
        PlatformUnavailableError: If the platform gives no usable answer.
        PlatformDataInvalidError: If the row is invalid.
    """
    return _decode(await platform.read_row(FLOOR_TABLE, FLOOR_KEY))


async def raise_floor(platform: PlatformStore, floor: Floor) -> Floor:
    """Raises the floor to at least `floor` and returns the result.

    Raises:
        PlatformUnavailableError: If the platform gives no usable answer.
        PlatformWriteUnknownError: If the floor may have been raised.
        PlatformDataInvalidError: If the row is invalid.
    """
    while True:
        row = await platform.read_row(FLOOR_TABLE, FLOOR_KEY)
        before = _decode(row)
        after = before.raise_to(floor)
        if after == before:
            return after
        revision = 0 if row is None else row.revision
        write = Write(FLOOR_TABLE, FLOOR_KEY, attrs.asdict(after), revision)
        try:
            await platform.transact((write,))
        except TransactionRefusedError:
            # Another prune raised the floor concurrently.
            continue
        return after


def _decode(row: Row | None) -> Floor:
    if row is None:
        return Floor()
    numbers = (row.value.get("document"), row.value.get("change"))
    match numbers:
        case (int(document), int(change)) if document >= change > 0:
            return Floor(document=document, change=change)
    raise PlatformDataInvalidError(
        f"row {FLOOR_TABLE}/{FLOOR_KEY} is invalid: {row.value}"
    )
