"""Calls to the platform's store: rows that last, and a feed of changes."""

import base64
import urllib.parse
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import attrs
import orjson

from guavawing.errors import (
    PlatformError,
    PlatformUnavailableError,
    PlatformWriteUnknownError,
)

__all__ = [
    "CONFIGURATION_KEY",
    "CONFIGURATION_TABLE",
    "HistoryLostError",
    "HttpCall",
    "Put",
    "RowChanges",
    "RowConflictError",
    "StoreClient",
    "StoredRow",
]

CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
MS_PER_S = 1000
OK = 200
GONE = 410
CONFLICT = 412
# Statuses after which nothing was done.
_REFUSALS = frozenset({400, 403, 404, 413, 429, 503, 507})


@attrs.frozen
class HttpCall:
    """A call to the store.

    Attributes:
        method: HTTP method.
        path: Path with its query.
        body: Whole body.
        timeout_s: Longest time to the answer, in seconds.
    """

    method: str
    path: str
    body: bytes
    timeout_s: float


# Makes a call and returns status and body. Raises PlatformUnavailableError if
# the call was not sent, and PlatformWriteUnknownError if no answer came.
Transport = Callable[[HttpCall], Awaitable[tuple[int, bytes]]]

CALL_TIMEOUT_S = 2.0
# Time beyond the wait that the store is asked for, in seconds.
WATCH_MARGIN_S = 1.5


class HistoryLostError(PlatformError):
    """Raised when the store no longer has the changes that were asked for."""


class RowConflictError(PlatformError):
    """Raised when a row does not have the version that a write expects."""


@attrs.frozen
class StoredRow:
    """A row, or the place of one that was removed.

    Attributes:
        table: Its table.
        key: Its key.
        value: Its bytes; None if the row was removed.
        version: Version of the store's counter at its last change.
    """

    table: str
    key: str
    value: bytes | None
    version: int


@attrs.frozen
class RowChanges:
    """Rows as of a version of the store's counter.

    Attributes:
        rows: The rows that could be read.
        version: Where to go on watching.
        unreadable: Entries that could not be read.
    """

    rows: tuple[StoredRow, ...]
    version: int
    unreadable: int


@attrs.frozen
class Put:
    """A row to be written."""

    table: str
    key: str
    value: bytes


class StoreClient:
    """The store's calls over one transport."""

    __slots__ = ("_transport",)

    def __init__(self, transport: Transport) -> None:
        self._transport = transport

    async def read_table(self, table: str) -> RowChanges:
        """Returns all rows of a table, as of the first page's version.

        Raises:
            PlatformUnavailableError: If the store gives no usable answer.
        """
        rows: list[StoredRow] = []
        unreadable = 0
        version: int | None = None
        start = ""
        while True:
            query = {"table": table, "part": "", "from": start}
            content = await self._get("/-/rows-get", query, CALL_TIMEOUT_S)
            page = _decode_changes(content)
            rows += page.rows
            unreadable += page.unreadable
            version = page.version if version is None else version
            if not content.get("hasMore") or not page.rows:
                return RowChanges(tuple(rows), version, unreadable)
            # The range begins with `from`: the next page begins behind it.
            start = page.rows[-1].key + "\0"

    async def watch_table(
        self, table: str, *, after: int, wait_s: float
    ) -> RowChanges:
        """Waits for changes of a table.

        Args:
            table: Name of the table.
            after: Version up to which the changes are known.
            wait_s: Longest time to wait for a change, in seconds.

        Raises:
            HistoryLostError: If the table has to be read anew.
            PlatformUnavailableError: If the store gives no usable answer.
        """
        query = {
            "table": table,
            "after": str(after),
            "waitMs": str(int(wait_s * MS_PER_S)),
        }
        content = await self._get(
            "/-/rows-feed", query, wait_s + WATCH_MARGIN_S
        )
        return _decode_changes(content)

    async def put_rows(
        self, puts: Sequence[Put], *, expected: Sequence[StoredRow] = ()
    ) -> None:
        """Writes rows, all or none.

        Args:
            puts: The rows.
            expected: Rows that must have their versions still.

        Raises:
            RowConflictError: If an expected row has another version.
            PlatformUnavailableError: If nothing was written.
            PlatformWriteUnknownError: If the rows may have been written.
        """
        await self._transact(
            [
                {
                    "table": put.table,
                    "part": "",
                    "key": put.key,
                    "value": base64.b64encode(put.value).decode(),
                }
                for put in puts
            ],
            [],
            expected,
        )

    async def remove_row(self, row: StoredRow) -> None:
        """Removes a row that still has its version.

        Raises: As `put_rows`.
        """
        place = {"table": row.table, "part": "", "key": row.key}
        await self._transact([], [place], [row])

    async def _transact(
        self,
        puts: list[dict[str, Any]],
        removals: list[dict[str, Any]],
        expected: Sequence[StoredRow],
    ) -> None:
        preconditions = [
            {
                "table": row.table,
                "part": "",
                "key": row.key,
                "schemaVersion": row.version,
            }
            for row in expected
        ]
        body = orjson.dumps(
            {"precondition": preconditions, "puts": puts, "remove": removals}
        )
        call = HttpCall("POST", "/-/rows-tx", body, CALL_TIMEOUT_S)
        status, _ = await self._transport(call)
        if status == OK:
            return
        if status == CONFLICT:
            raise RowConflictError("a row was written by somebody else")
        if status in _REFUSALS:
            raise _unavailable(f"status {status}")
        raise PlatformWriteUnknownError(
            f"the store answered a write with status {status}"
        )

    async def _get(
        self, path: str, query: dict[str, str], timeout_s: float
    ) -> dict[str, Any]:
        url = f"{path}?{urllib.parse.urlencode(query)}"
        call = HttpCall("GET", url, b"", timeout_s)
        try:
            status, body = await self._transport(call)
        except PlatformWriteUnknownError as exc:
            # A read that was not answered has changed nothing.
            raise _unavailable(str(exc)) from exc
        if status == GONE:
            raise HistoryLostError("the store has dropped the history")
        if status != OK:
            raise _unavailable(f"status {status}")
        try:
            content = orjson.loads(body)
        except ValueError as exc:
            raise _unavailable(str(exc)) from exc
        if not isinstance(content, dict):
            raise _unavailable("the answer is not an object")
        return content


def _decode_changes(content: dict[str, Any]) -> RowChanges:
    entries, version = content.get("rows"), content.get("schemaVersion")
    if not isinstance(entries, list) or type(version) is not int:
        raise _unavailable("the answer holds no rows or no version")
    rows, unreadable = [], 0
    for entry in entries:
        try:
            rows.append(_decode_row(entry))
        except (KeyError, TypeError, ValueError):
            # Counted by the caller: one bad row must not hide the others.
            unreadable += 1
    return RowChanges(tuple(rows), version, unreadable)


def _decode_row(entry: dict[str, Any]) -> StoredRow:
    value = None
    if not entry.get("deleted"):
        value = base64.b64decode(entry["value"], validate=True)
    return StoredRow(
        str(entry["table"]), str(entry["key"]), value, entry["schemaVersion"]
    )


def _unavailable(why: str) -> PlatformUnavailableError:
    return PlatformUnavailableError(f"the store gave no usable answer: {why}")
