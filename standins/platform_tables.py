"""Rows of the platform's stand-in: tables, transactions and their feed."""

import asyncio
import base64
import contextlib
import time
from typing import Any

import attrs

__all__ = ["PlatformTables"]

MS_PER_S = 1000
# Most rows of one answer, as at the platform.
MAX_ROWS = 500
MAX_ENTRIES = 100

Tree = dict[str, Any]


@attrs.define
class PlatformTables:
    """Rows by table and key; a removed row keeps its version."""

    _rows: dict[tuple[str, str], tuple[str | None, int]] = attrs.field(
        factory=dict
    )
    _version: int = 0
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def put(self, table: str, key: str, value: bytes | None) -> None:
        """Writes or removes a row as the operator does."""
        text = None if value is None else base64.b64encode(value).decode()
        self.put_raw(table, key, text)

    def put_raw(self, table: str, key: str, text: str | None) -> None:
        """Writes a row whose value may not be base64."""
        self._version += 1
        self._rows[table, key] = (text, self._version)
        self._announce()

    def get(self, table: str, key: str) -> bytes | None:
        """Returns the value of a row, or None."""
        text, _ = self._rows.get((table, key), (None, 0))
        return None if text is None else base64.b64decode(text)

    def read(self, table: str, *, start: str, end: str, limit: int) -> Tree:
        """Returns the answer to a read of a range of keys."""
        limit = min(limit, MAX_ROWS)
        rows = [
            row
            for row in self._list(table, -1)
            if row["key"] >= start and (not end or row["key"] < end)
        ]
        return self._describe(rows[:limit], more=len(rows) > limit)

    async def follow(self, table: str, *, after: int, wait_s: float) -> Tree:
        """Returns the answer to a call of the feed."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while not self._list(table, after):
                    await self._changed.wait()
        return self._describe(self._list(table, after))

    def transact(self, body: Tree) -> Tree | None:
        """Carries out a transaction; None if a precondition does not hold.

        Raises:
            ValueError: If it has too many entries.
        """
        entries = [*body["precondition"], *body["puts"], *body["remove"]]
        if len(entries) > MAX_ENTRIES:
            raise ValueError(f"got {len(entries)} entries, expected fewer")
        for row in body["precondition"]:
            text, version = self._rows.get(_place(row), (None, 0))
            if row["schemaVersion"] != (0 if text is None else version):
                return None
        self._version += 1
        for row in body["puts"]:
            base64.b64decode(row["value"], validate=True)
            self._rows[_place(row)] = (row["value"], self._version)
        for row in body["remove"]:
            self._rows[_place(row)] = (None, self._version)
        self._announce()
        return self._describe([])

    def _announce(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _list(self, table: str, after: int) -> list[Tree]:
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

    def _describe(self, rows: list[Tree], *, more: bool = False) -> Tree:
        return {
            "rows": rows,
            "hasMore": more,
            "schemaVersion": self._version,
            "nowMs": int(time.monotonic() * MS_PER_S),
        }


def _place(row: Tree) -> tuple[str, str]:
    return row["table"], row["key"]
