"""Rows that several processes write, each on the revision that it has read."""

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
    """Carries out one write and returns whether the platform said so.

    A write without an answer counts as not carried out: the next reader
    finds out.
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
    """Logs that a row of another writer is left out."""
    eliot.log_message(
        "row-unreadable",
        level="warning",
        table=table,
        key=row.key,
        cause=repr(exc),
    )
