"""Conditional writes of rows that several processes write concurrently."""

import eliot

from guavawing.errors import (
    PlatformUnavailableError,
    PlatformWriteUnknownError,
    TransactionRefusedError,
)
from guavawing.store.client import Row, Write
from guavawing.store.store import PlatformStore

__all__ = ["log_unreadable_row", "write_if_unchanged"]


async def write_if_unchanged(platform: PlatformStore, write: Write) -> bool:
    """Executes one write and returns whether the platform confirmed it.

    An unanswered write counts as not executed; the actual outcome is found
    when the row is read next.
    """
    try:
        await platform.transact([write])
    except (
        TransactionRefusedError,
        PlatformUnavailableError,
        PlatformWriteUnknownError,
    ) as exc:
        eliot.log_message(
            "row-not-written",
            level="info",
            table=write.table,
            key=write.key,
            cause=str(exc),
        )
        return False
    return True


def log_unreadable_row(table: str, row: Row, exc: Exception) -> None:
    """Logs that a row can't be decoded and is ignored."""
    eliot.log_message(
        "row-unreadable",
        level="warning",
        table=table,
        key=row.key,
        cause=repr(exc),
    )
