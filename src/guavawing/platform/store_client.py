"""Calls to the platform's store: rows, a feed of their changes, and objects.

A row has the version of the store's counter at its last change; the counter
rises with each transaction. Tables are not divided into parts here.
"""

import base64
import urllib.parse
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import attrs
import orjson

from guavawing.errors import (
    HistoryLostError,
    PlatformUnavailableError,
    PlatformWriteUnknownError,
    TransactionRefusedError,
)

__all__ = [
    "CONFIGURATION_KEY",
    "CONFIGURATION_TABLE",
    "HttpCall",
    "RowChanges",
    "RowWrite",
    "StoreClient",
    "StoredRow",
    "Transport",
]

CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
MS_PER_S = 1000
OK = 200
NOT_FOUND = 404
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

# Longest times of a call about rows and of one that carries an object, in
# seconds: far above those of a slow store.
CALL_TIMEOUT_S = 2.0
OBJECT_TIMEOUT_S = 5.0
# Time beyond the wait that the store is asked for, in seconds.
WATCH_MARGIN_S = 1.5


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
class RowWrite:
    """A row to be written or removed.

    Attributes:
        table: Its table.
        key: Its key.
        value: Its bytes; None removes the row.
        expected: Version that it must have, 0 if it must not exist; None if
            any will do.
    """

    table: str
    key: str
    value: bytes | None
    expected_version: int | None = None


class StoreClient:
    """The store's calls over one transport."""

    __slots__ = ("_transport",)

    def __init__(self, transport: Transport) -> None:
        self._transport = transport

    async def read_row(self, table: str, key: str) -> StoredRow | None:
        """Returns a row, or None if it does not exist.

        Raises:
            PlatformUnavailableError: If the store gives no usable answer.
        """
        query = {"table": table, "part": "", "from": key, "limit": "1"}
        content = await self._get("/-/rows-get", query, CALL_TIMEOUT_S)
        changes = _decode_changes(content)
        if changes.unreadable:
            raise _unavailable(f"row {table}/{key} can't be read")
        return next((row for row in changes.rows if row.key == key), None)

    async def read_table(
        self, table: str, *, after: str = "", limit: int | None = None
    ) -> RowChanges:
        """Returns rows of a table in order of key.

        Args:
            table: Name of the table.
            after: Key behind which to begin.
            limit: Most rows to return; None for all.

        Returns:
            The rows, with the version as of the first page.

        Raises:
            PlatformUnavailableError: If the store gives no usable answer.
        """
        rows: list[StoredRow] = []
        unreadable = 0
        version: int | None = None
        # The range begins with `from`: it begins behind a key.
        start = after and after + "\0"
        while True:
            query = {"table": table, "part": "", "from": start}
            if limit is not None:
                query["limit"] = str(limit - len(rows))
            content = await self._get("/-/rows-get", query, CALL_TIMEOUT_S)
            page = _decode_changes(content)
            rows += page.rows
            unreadable += page.unreadable
            version = page.version if version is None else version
            full = limit is not None and len(rows) >= limit
            if full or not content.get("hasMore") or not page.rows:
                return RowChanges(tuple(rows), version, unreadable)
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

    async def write_rows(self, writes: Sequence[RowWrite]) -> int:
        """Writes and removes rows, all or none.

        Returns:
            The newest version: that of the rows unless others were written
            right after them.

        Raises:
            TransactionRefusedError: If a row has another version.
            PlatformUnavailableError: If nothing was written.
            PlatformWriteUnknownError: If the rows may have been written.
        """
        preconditions = [
            _place(write) | {"schemaVersion": write.expected_version}
            for write in writes
            if write.expected_version is not None
        ]
        puts = [
            _place(write) | {"value": base64.b64encode(write.value).decode()}
            for write in writes
            if write.value is not None
        ]
        removals = [_place(write) for write in writes if write.value is None]
        body = orjson.dumps(
            {"precondition": preconditions, "puts": puts, "remove": removals}
        )
        call = HttpCall("POST", "/-/rows-tx", body, CALL_TIMEOUT_S)
        status, answer = await self._transport(call)
        if status == CONFLICT:
            raise TransactionRefusedError("a row was written by somebody else")
        _check_written(status)
        return _decode_version(answer)

    async def put_object(self, name: str, payload: bytes) -> None:
        """Stores an object; storing the same bytes again is harmless.

        Raises:
            PlatformUnavailableError: If nothing was written.
            PlatformWriteUnknownError: If the object may have been stored.
        """
        path = "/-/blob-put/" + urllib.parse.quote(name)
        call = HttpCall("PUT", path, payload, OBJECT_TIMEOUT_S)
        status, _ = await self._transport(call)
        _check_written(status)

    async def get_object(self, name: str) -> bytes | None:
        """Returns an object's bytes, or None if there is none.

        Raises:
            PlatformUnavailableError: If the store gives no usable answer.
        """
        path = "/-/blob-get/" + urllib.parse.quote(name)
        status, body = await self._read(path, OBJECT_TIMEOUT_S)
        if status == NOT_FOUND:
            return None
        if status != OK:
            raise _unavailable(f"status {status}")
        return body

    async def list_objects(
        self, *, prefix: str = "", after: str = ""
    ) -> list[str]:
        """Returns names of objects in order, one page.

        Args:
            prefix: Begin of the names.
            after: Name behind which to begin.

        Raises:
            PlatformUnavailableError: If the store gives no usable answer.
        """
        query = {"prefix": prefix, "after": after}
        content = await self._get("/-/blob-list", query, CALL_TIMEOUT_S)
        names = content.get("names")
        if not isinstance(names, list):
            raise _unavailable("the answer holds no names")
        if not all(isinstance(name, str) for name in names):
            raise _unavailable("a name of an object is no text")
        return names

    async def remove_object(self, name: str) -> None:
        """Removes an object; harmless if there is none.

        Raises:
            PlatformUnavailableError: If nothing was removed.
            PlatformWriteUnknownError: If the object may have been removed.
        """
        path = "/-/blob-drop/" + urllib.parse.quote(name)
        call = HttpCall("DELETE", path, b"", CALL_TIMEOUT_S)
        status, _ = await self._transport(call)
        if status != NOT_FOUND:
            _check_written(status)

    async def _get(
        self, path: str, query: dict[str, str], timeout_s: float
    ) -> dict[str, Any]:
        url = f"{path}?{urllib.parse.urlencode(query)}"
        status, body = await self._read(url, timeout_s)
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

    async def _read(self, path: str, timeout_s: float) -> tuple[int, bytes]:
        try:
            return await self._transport(HttpCall("GET", path, b"", timeout_s))
        except PlatformWriteUnknownError as exc:
            # A read that was not answered has changed nothing.
            raise _unavailable(str(exc)) from exc


def _place(write: RowWrite) -> dict[str, Any]:
    return {"table": write.table, "part": "", "key": write.key}


def _check_written(status: int) -> None:
    if status == OK:
        return
    if status in _REFUSALS:
        raise _unavailable(f"status {status}")
    # Any other error may stand for a write that was passed on and whose answer
    # was then lost.
    raise PlatformWriteUnknownError(
        f"the store answered a write with status {status}"
    )


def _decode_version(answer: bytes) -> int:
    try:
        version = orjson.loads(answer)["schemaVersion"]
    except (KeyError, TypeError, ValueError) as exc:
        raise PlatformWriteUnknownError(
            f"the store's answer to a write can't be read: {exc!r}"
        ) from exc
    if type(version) is not int:
        raise PlatformWriteUnknownError(
            f"the store answered a write with version {version!r}"
        )
    return version


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
