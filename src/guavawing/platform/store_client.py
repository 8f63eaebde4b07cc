"""Client of the platform's store: rows, their change feed, and objects.

The store has one version counter, which increases with each transaction. A row
has the version of its last change. The partitions of tables are not used.

The store may be restored from an older copy. It then gives out versions again,
and all its answers name the next era: versions of two eras can't be compared.
"""

import base64
import urllib.parse
from collections.abc import Sequence
from typing import Any

import attrs
import orjson

from guavawing.errors import (
    HistoryLostError,
    PlatformUnavailableError,
    PlatformWriteUnknownError,
    TransactionRefusedError,
)
from guavawing.platform.store_transport import (
    HttpAnswer,
    HttpCall,
    StoreEra,
    Transport,
    check_written,
)

__all__ = [
    "CONFIGURATION_KEY",
    "CONFIGURATION_TABLE",
    "RowChanges",
    "RowWrite",
    "StoreClient",
    "StoredRow",
]

CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
MS_PER_S = 1000
OK = 200
NOT_FOUND = 404
GONE = 410
CONFLICT = 412
# Timeouts of calls for rows and for objects, in seconds; far above the latency
# of a slow store.
CALL_TIMEOUT_S = 2.0
OBJECT_TIMEOUT_S = 5.0


@attrs.frozen
class StoredRow:
    """A row, or the record of its removal.

    Attributes:
        table: Name of the table.
        key: Key of the row.
        value: Value of the row; None if the row was removed.
        version: Version of the last change of the row.
    """

    table: str
    key: str
    value: bytes | None
    version: int


@attrs.frozen
class RowChanges:
    """Rows as of a version of the store.

    Attributes:
        rows: The rows that could be decoded.
        version: Version from which to continue watching.
        unreadable: Number of entries that could not be decoded.
        era: Era of the store in which the version was given out; 0 if the
            store names none.
    """

    rows: tuple[StoredRow, ...]
    version: int
    unreadable: int
    era: int = 0


@attrs.frozen
class RowWrite:
    """A row to be written or removed.

    Attributes:
        table: Name of the table.
        key: Key of the row.
        value: New value; None removes the row.
        expected_version: Version that the row must have, 0 if it must not
            exist; None for any.
    """

    table: str
    key: str
    value: bytes | None
    expected_version: int | None = None


class StoreClient:
    """Client of the store over a transport.

    Attributes:
        era: The store's era, as its answers name it.
    """

    __slots__ = ("_transport", "era")

    def __init__(self, transport: Transport) -> None:
        self._transport = transport
        self.era = StoreEra()

    async def read_row(self, table: str, key: str) -> StoredRow | None:
        """Returns a row, or None if it does not exist.

        Raises:
            PlatformUnavailableError: If the store gives no usable answer.
        """
        query = {"table": table, "part": "", "from": key, "limit": "1"}
        content = await self._get_json("/-/rows-get", query, CALL_TIMEOUT_S)
        changes = self._decode_changes(content)
        if changes.unreadable:
            raise _unavailable(f"row {table}/{key} can't be decoded")
        return next((row for row in changes.rows if row.key == key), None)

    async def read_table(
        self,
        table: str,
        *,
        after: str = "",
        limit: int | None = None,
        answer_s: float = CALL_TIMEOUT_S,
        fresh: bool = False,
    ) -> RowChanges:
        """Returns rows of a table in key order.

        Args:
            table: Name of the table.
            after: Exclusive start key.
            limit: Maximum number of rows; None for all.
            answer_s: Time until each page begins, in seconds.
            fresh: Whether the first page is read on a new connection.

        Returns:
            The rows, with the version of the first page.

        Raises:
            PlatformUnavailableError: If the store gives no usable answer.
        """
        rows: list[StoredRow] = []
        unreadable = 0
        version: int | None = None
        era: int | None = None
        # `from` is inclusive: key + "\0" is the next possible key.
        start = after and after + "\0"
        while True:
            query = {"table": table, "part": "", "from": start}
            if limit is not None:
                query["limit"] = str(limit - len(rows))
            content = await self._get_json(
                "/-/rows-get", query, answer_s, fresh=fresh
            )
            fresh = False
            page = self._decode_changes(content)
            rows += page.rows
            unreadable += page.unreadable
            version = page.version if version is None else version
            era = page.era if era is None else era
            if page.era != era:
                raise _unavailable("it was restored between two pages")
            full = limit is not None and len(rows) >= limit
            if full or not content.get("hasMore") or not page.rows:
                return RowChanges(tuple(rows), version, unreadable, era)
            start = page.rows[-1].key + "\0"

    async def watch_table(
        self, table: str, *, after: int, wait_s: float, answer_s: float
    ) -> RowChanges:
        """Waits for changes of a table.

        Rows of partitions are left out, as `read_table` does.

        Args:
            table: Name of the table.
            after: Version after which changes are returned.
            wait_s: Longest time to wait for a change, in seconds.
            answer_s: Time until the answer begins beyond that wait, in seconds.

        Raises:
            HistoryLostError: If the whole table has to be read again.
            PlatformUnavailableError: If the store gives no usable answer.
        """
        query = {
            "table": table,
            "after": str(after),
            "waitMs": str(int(wait_s * MS_PER_S)),
        }
        content = await self._get_json("/-/rows-feed", query, wait_s + answer_s)
        return self._decode_changes(content)

    async def write_rows(self, writes: Sequence[RowWrite]) -> int:
        """Writes and removes rows atomically.

        Returns:
            The newest version: that of the rows, unless other rows were
            written immediately afterwards.

        Raises:
            TransactionRefusedError: If a row has another version.
            PlatformUnavailableError: If nothing was written.
            PlatformWriteUnknownError: If the rows may have been written.
        """
        preconditions = [
            _encode_key(write) | {"schemaVersion": write.expected_version}
            for write in writes
            if write.expected_version is not None
        ]
        puts = [
            _encode_key(write)
            | {"value": base64.b64encode(write.value).decode()}
            for write in writes
            if write.value is not None
        ]
        removals = [
            _encode_key(write) for write in writes if write.value is None
        ]
        body = orjson.dumps(
            {"precondition": preconditions, "puts": puts, "remove": removals}
        )
        call = HttpCall("POST", "/-/rows-tx", body, CALL_TIMEOUT_S)
        answer = await self._write(call)
        if answer.status == CONFLICT:
            raise TransactionRefusedError(
                "a row does not have the expected version"
            )
        check_written(answer.status)
        return _decode_version(answer.body)

    async def put_object(self, name: str, payload: bytes) -> None:
        """Stores an object; storing the same bytes again is harmless.

        Raises:
            PlatformUnavailableError: If nothing was written.
            PlatformWriteUnknownError: If the object may have been stored.
        """
        path = "/-/blob-put/" + urllib.parse.quote(name)
        call = HttpCall("PUT", path, payload, OBJECT_TIMEOUT_S)
        answer = await self._write(call)
        check_written(answer.status)

    async def get_object(self, name: str) -> bytes | None:
        """Returns an object's bytes, or None if there is none.

        Raises:
            PlatformUnavailableError: If the store gives no usable answer.
        """
        path = "/-/blob-get/" + urllib.parse.quote(name)
        status, body = await self._get_raw(path, OBJECT_TIMEOUT_S)
        if status == NOT_FOUND:
            return None
        if status != OK:
            raise _unavailable(f"status {status}")
        return body

    async def list_objects(
        self, *, prefix: str = "", after: str = ""
    ) -> list[str]:
        """Returns one page of object names in order.

        Args:
            prefix: Prefix of the names.
            after: Exclusive start of the page.

        Raises:
            PlatformUnavailableError: If the store gives no usable answer.
        """
        query = {"prefix": prefix, "after": after}
        content = await self._get_json("/-/blob-list", query, CALL_TIMEOUT_S)
        names = content.get("names")
        if not isinstance(names, list):
            raise _unavailable("the answer has no list of names")
        if not all(isinstance(name, str) for name in names):
            raise _unavailable("the name of an object is not a string")
        return names

    async def remove_object(self, name: str) -> None:
        """Removes an object; harmless if there is none.

        Raises:
            PlatformUnavailableError: If nothing was removed.
            PlatformWriteUnknownError: If the object may have been removed.
        """
        path = "/-/blob-drop/" + urllib.parse.quote(name)
        call = HttpCall("DELETE", path, b"", CALL_TIMEOUT_S)
        answer = await self._write(call)
        if answer.status != NOT_FOUND:
            check_written(answer.status)

    async def _get_json(
        self,
        path: str,
        query: dict[str, str],
        timeout_s: float,
        *,
        fresh: bool = False,
    ) -> dict[str, Any]:
        url = f"{path}?{urllib.parse.urlencode(query)}"
        status, body = await self._get_raw(url, timeout_s, fresh=fresh)
        if status == GONE:
            raise HistoryLostError("the store no longer has these changes")
        if status != OK:
            raise _unavailable(f"status {status}")
        try:
            content = orjson.loads(body)
        except ValueError as exc:
            raise _unavailable(str(exc)) from exc
        if not isinstance(content, dict):
            raise _unavailable("the answer is not an object")
        return content

    def _decode_changes(self, content: dict[str, Any]) -> RowChanges:
        entries, version = content.get("rows"), content.get("schemaVersion")
        if not isinstance(entries, list) or type(version) is not int:
            raise _unavailable("the answer has no rows or no version")
        rows, unreadable = [], 0
        for entry in entries:
            try:
                # The feed of a table has the rows of all its partitions.
                if not entry.get("part"):
                    rows.append(_decode_row(entry))
            except (AttributeError, KeyError, TypeError, ValueError):
                # One invalid row must not hide the others; callers check the
                # count.
                unreadable += 1
        return RowChanges(tuple(rows), version, unreadable, self.era.newest)

    async def _get_raw(
        self, path: str, timeout_s: float, *, fresh: bool = False
    ) -> tuple[int, bytes]:
        era_before = self.era.newest
        call = HttpCall("GET", path, b"", timeout_s, fresh)
        try:
            answer = await self._transport(call)
        except PlatformWriteUnknownError as exc:
            # An unanswered read has no effect, so its outcome is not unknown.
            raise _unavailable(str(exc)) from exc
        if not self.era.observe(answer.era, before=era_before):
            raise _unavailable("it was restored after it had answered")
        return answer.status, answer.body

    async def _write(self, call: HttpCall) -> HttpAnswer:
        """Executes a write.

        Raises:
            PlatformUnavailableError: If nothing was written.
            PlatformWriteUnknownError: If no answer arrived, or the store was
                restored during the call. Versions that the call expected may
                then stand for other rows, and what it has written may be lost.
        """
        era_before = self.era.newest
        answer = await self._transport(call)
        current = self.era.observe(answer.era, before=era_before)
        if not current or (era_before and self.era.newest != era_before):
            raise PlatformWriteUnknownError(
                f"the store was restored during a write: got era {answer.era},"
                f" expected {era_before}"
            )
        return answer


def _encode_key(write: RowWrite) -> dict[str, Any]:
    return {"table": write.table, "part": "", "key": write.key}


def _decode_version(answer: bytes) -> int:
    try:
        version = orjson.loads(answer)["schemaVersion"]
    except (KeyError, TypeError, ValueError) as exc:
        raise PlatformWriteUnknownError(
            f"the store's answer to a write can't be decoded: {exc!r}"
        ) from exc
    if type(version) is not int:
        raise PlatformWriteUnknownError(
            f"the store answered a write with version {version!r}"
        )
    return version


def _decode_row(entry: dict[str, Any]) -> StoredRow:
    value = None
    if not entry.get("deleted"):
        value = base64.b64decode(entry["value"], validate=True)
    return StoredRow(
        str(entry["table"]), str(entry["key"]), value, entry["schemaVersion"]
    )


def _unavailable(detail: str) -> PlatformUnavailableError:
    return PlatformUnavailableError(
        f"the store gave no usable answer: {detail}"
    )
