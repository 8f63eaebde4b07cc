"""Tables of the platform stand-in: rows, transactions and the feed."""

import asyncio
import base64
import contextlib
import time
from typing import Any

import attrs

__all__ = ["PlatformTables", "TablesCopy"]

MS_PER_S = 1000
# Maximum rows of one answer, as on the platform.
MAX_ROWS = 500
MAX_ENTRIES = 100

Tree = dict[str, Any]


@attrs.frozen
class TablesCopy:
    """A copy of all rows, with the version of the tables at that moment."""

    rows: dict[tuple[str, str], tuple[str | None, int]]
    version: int


@attrs.define
class PlatformTables:
    """Rows by table and key; a deleted row keeps its version.

    Attributes:
        era: Number that increases when the tables are restored from a copy.
    """

    era: int = 1

    _rows: dict[tuple[str, str], tuple[str | None, int]] = attrs.field(
        factory=dict
    )
    _version: int = 0
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def put(self, table: str, key: str, value: bytes | None) -> None:
        """Writes a row, or deletes it if `value` is None."""
        text = None if value is None else base64.b64encode(value).decode()
        self.put_raw(table, key, text)

    def put_raw(self, table: str, key: str, text: str | None) -> None:
        """Writes a row with an unencoded value, which may be invalid base64."""
        self._version += 1
        self._rows[table, key] = (text, self._version)
        self._notify_waiters()

    def copy(self) -> TablesCopy:
        """Returns a copy of the tables."""
        return TablesCopy(dict(self._rows), self._version)

    def restore(self, copy: TablesCopy) -> None:
        """Replaces the tables by a copy; versions continue from there."""
        self._rows = dict(copy.rows)
        self._version = copy.version
        self.era += 1
        self._notify_waiters()

    def knows(self, version: int) -> bool:
        """Returns whether a version has been given out."""
        return version <= self._version

    def get(self, table: str, key: str) -> bytes | None:
        """Returns the value of a row, or None if it does not exist."""
        text, _ = self._rows.get((table, key), (None, 0))
        return None if text is None else base64.b64decode(text)

    def read(self, table: str, *, start: str, end: str, limit: int) -> Tree:
        """Returns the rows of a key range as an answer of the platform.

        Args:
            table: Table to read.
            start: First key, inclusive.
            end: End of the range, exclusive; empty for no end.
            limit: Maximum number of rows.
        """
        limit = min(limit, MAX_ROWS)
        rows = [
            row
            for row in self._list_rows(table, -1)
            if row["key"] >= start and (not end or row["key"] < end)
        ]
        return self._build_answer(rows[:limit], more=len(rows) > limit)

    async def follow(self, table: str, *, after: int, wait_s: float) -> Tree:
        """Waits for changes and returns them as an answer of the feed.

        Args:
            table: Table to follow.
            after: Version after which changes are returned.
            wait_s: Maximum time to wait for a change, in seconds.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while not self._list_rows(table, after):
                    await self._changed.wait()
        return self._build_answer(self._list_rows(table, after))

    def transact(self, body: Tree) -> Tree | None:
        """Applies a transaction; returns None if a precondition fails.

        Raises:
            ValueError: If it has more than `MAX_ENTRIES` entries.
        """
        entries = [*body["precondition"], *body["puts"], *body["remove"]]
        if len(entries) > MAX_ENTRIES:
            raise ValueError(f"got {len(entries)} entries, expected fewer")
        for row in body["precondition"]:
            text, version = self._rows.get(_get_row_id(row), (None, 0))
            if row["schemaVersion"] != (0 if text is None else version):
                return None
        self._version += 1
        for row in body["puts"]:
            base64.b64decode(row["value"], validate=True)
            self._rows[_get_row_id(row)] = (row["value"], self._version)
        for row in body["remove"]:
            self._rows[_get_row_id(row)] = (None, self._version)
        self._notify_waiters()
        return self._build_answer([])

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _list_rows(self, table: str, after: int) -> list[Tree]:
        found = []
        for (name, key), (text, version) in sorted(self._rows.items()):
            if name != table or version <= after:
                continue
            row: Tree = {"table": name, "part": "", "key": key}
            row |= {"schemaVersion": version}
            row |= {"deleted": True} if text is None else {"value": text}
            if text is not None or after >= 0:
                found.append(row)
        return found

    def _build_answer(self, rows: list[Tree], *, more: bool = False) -> Tree:
        return {
            "rows": rows,
            "hasMore": more,
            "schemaVersion": self._version,
            "nowMs": int(time.monotonic() * MS_PER_S),
        }


def _get_row_id(row: Tree) -> tuple[str, str]:
    return row["table"], row["key"]
