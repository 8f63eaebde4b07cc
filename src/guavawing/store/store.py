"""Interface of the platform's store, as publishing and reading use it."""

from collections.abc import Sequence
from typing import Protocol

from guavawing.store.client import MAX_SCAN_ROWS, Row, Write

__all__ = ["PlatformStore"]


class PlatformStore(Protocol):
    """Table service and object store; `Platform` implements it over HTTP."""

    async def read_row(self, table: str, key: str) -> Row | None:
        """Returns a row, or None if it does not exist."""

    async def scan_rows(
        self, table: str, *, after: str = "", limit: int = MAX_SCAN_ROWS
    ) -> list[Row]:
        """Returns up to `limit` rows in key order that follow `after`."""

    async def transact(self, writes: Sequence[Write]) -> int:
        """Executes all writes atomically; returns the rows' revision."""

    async def put_object(self, name: str, payload: bytes) -> None:
        """Stores an object; storing the same bytes again is harmless."""

    async def get_object(self, name: str) -> bytes | None:
        """Returns an object's bytes, or None if there is none."""

    async def list_objects(self, *, after: str = "") -> list[str]:
        """Returns a page of object names in order that follow `after`."""

    async def delete_object(self, name: str) -> None:
        """Removes an object; harmless if there is none."""
