"""Typed client of the platform's table service and object store.

Row values are JSON objects, and stored objects are compressed with zlib.
`guavawing.platform.store_client` implements the calls of the store.
"""

import contextlib
from collections.abc import AsyncIterator, Sequence
from typing import Any

import aiohttp
import attrs
import orjson
import yarl

from guavawing.distribution.compression import (
    compress_payload,
    decompress_payload,
)
from guavawing.errors import (
    MessageInvalidError,
    PlatformDataInvalidError,
    PlatformUnavailableError,
    PlatformWriteUnknownError,
)
from guavawing.model import Address
from guavawing.platform.store_client import RowWrite, StoreClient, StoredRow
from guavawing.platform.store_transport import (
    ERA_HEADER,
    HttpAnswer,
    HttpCall,
    parse_era,
)

__all__ = ["MAX_ENTRIES", "Platform", "Row", "Write", "open_platform"]

REQUEST_TIMEOUT_S = 5.0
MAX_OBJECT_BYTES = 8 * 1024 * 1024
MAX_SCAN_ROWS = 1_000
# The platform's limit on the entries of one transaction. A write counts as one
# entry, or as two if it expects a revision.
MAX_ENTRIES = 100


@attrs.frozen
class Row:
    """One row of a table.

    Attributes:
        key: Key within the table.
        value: Value, a JSON object.
        revision: Number that increases with every write of the row.
    """

    key: str
    value: dict[str, Any]
    revision: int


@attrs.frozen
class Write:
    """One write of a transaction.

    Attributes:
        table: Name of the table.
        key: Key within the table.
        value: New value; None removes the row.
        expected_revision: Revision that the row must have; 0 if it must not
            exist, None if any will do.
    """

    table: str
    key: str
    value: dict[str, Any] | None
    expected_revision: int | None


class _HttpTransport:
    """Transport of calls to one store over HTTP."""

    __slots__ = ("_base", "_session", "_timeout_s", "received")

    def __init__(
        self, session: aiohttp.ClientSession, address: Address, timeout_s: float
    ) -> None:
        self._session = session
        self._base = f"http://{address}"
        self._timeout_s = timeout_s
        self.received = 0

    async def call(self, call: HttpCall) -> HttpAnswer:
        """Executes a call; see `platform.store_transport.Transport`."""
        url = yarl.URL(self._base + call.path, encoded=True)
        # Commands and tests set a timeout of their own in place of that of the
        # call, which is meant for daemons.
        timeout = aiohttp.ClientTimeout(total=self._timeout_s)
        try:
            async with self._session.request(
                call.method, url, data=call.body, timeout=timeout
            ) as resp:
                body = await resp.read()
        except aiohttp.ClientConnectorError as exc:
            raise PlatformUnavailableError(
                f"can't connect to the platform: {_describe(exc)}"
            ) from exc
        except (aiohttp.ClientError, TimeoutError) as exc:
            raise PlatformWriteUnknownError(
                f"the platform did not answer: {_describe(exc)}"
            ) from exc
        self.received += len(body)
        era = parse_era(resp.headers.getall(ERA_HEADER, []))
        return HttpAnswer(resp.status, body, era)


class Platform:
    """Table service and object store at one address."""

    __slots__ = ("_store", "_transport")

    def __init__(self, transport: _HttpTransport) -> None:
        self._transport = transport
        self._store = StoreClient(transport.call)

    @property
    def received_bytes(self) -> int:
        """Total bytes of the bodies of all answers so far."""
        return self._transport.received

    async def read_row(self, table: str, key: str) -> Row | None:
        """Returns a row, or None if it does not exist.

        Raises:
            PlatformUnavailableError: If the platform gives no usable answer.
            PlatformDataInvalidError: If the row is invalid.
        """
        row = await self._store.read_row(table, key)
        return None if row is None else _decode_row(row)

    async def scan_rows(
        self, table: str, *, after: str = "", limit: int = MAX_SCAN_ROWS
    ) -> list[Row]:
        """Returns up to `limit` rows in key order that follow `after`.

        Raises:
            PlatformUnavailableError: If the platform gives no usable answer.
            PlatformDataInvalidError: If a row is invalid.
        """
        found = await self._store.read_table(table, after=after, limit=limit)
        if found.unreadable:
            raise PlatformDataInvalidError(
                f"{found.unreadable} rows of table {table} can't be decoded"
            )
        return [_decode_row(row) for row in found.rows]

    async def transact(self, writes: Sequence[Write]) -> int:
        """Executes all writes atomically.

        Returns:
            The revision of the rows, or a later one if other rows were
            written immediately afterwards.

        Raises:
            TransactionRefusedError: If a row has another revision.
            PlatformUnavailableError: If nothing was written.
            PlatformWriteUnknownError: If the writes may have been executed.
        """
        return await self._store.write_rows(
            [_encode_write(each) for each in writes]
        )

    async def put_object(self, name: str, payload: bytes) -> None:
        """Stores an object; storing the same bytes again is harmless.

        Raises:
            PlatformUnavailableError: If nothing was written.
            PlatformWriteUnknownError: If the object may have been stored.
        """
        await self._store.put_object(name, compress_payload(payload))

    async def get_object(self, name: str) -> bytes | None:
        """Returns an object's bytes, or None if there is none.

        Raises:
            PlatformUnavailableError: If the platform gives no usable answer.
            PlatformDataInvalidError: If the object is invalid.
        """
        data = await self._store.get_object(name)
        if data is None:
            return None
        try:
            return decompress_payload(data, limit=MAX_OBJECT_BYTES)
        except MessageInvalidError as exc:
            raise PlatformDataInvalidError(
                f"object {name} can't be decompressed: {exc}"
            ) from exc

    async def list_objects(self, *, after: str = "") -> list[str]:
        """Returns a page of object names in order that follow `after`.

        Raises:
            PlatformUnavailableError: If the platform gives no usable answer.
        """
        return await self._store.list_objects(after=after)

    async def delete_object(self, name: str) -> None:
        """Removes an object; harmless if there is none.

        Raises:
            PlatformUnavailableError: If nothing was removed.
            PlatformWriteUnknownError: If the object may have been removed.
        """
        await self._store.remove_object(name)


@contextlib.asynccontextmanager
async def open_platform(
    address: Address,
    *,
    source: str | None = None,
    timeout_s: float = REQUEST_TIMEOUT_S,
) -> AsyncIterator[Platform]:
    """Opens a client of the platform at `address`, closed on exit.

    Args:
        address: Address at which the platform listens.
        source: Local IP address of the connections; None for any.
        timeout_s: Timeout of one request, in seconds.
    """
    connector = aiohttp.TCPConnector(
        local_addr=None if source is None else (source, 0)
    )
    async with aiohttp.ClientSession(connector=connector) as session:
        yield Platform(_HttpTransport(session, address, timeout_s))


def _encode_write(write: Write) -> RowWrite:
    value = None if write.value is None else orjson.dumps(write.value)
    return RowWrite(write.table, write.key, value, write.expected_revision)


def _decode_row(row: StoredRow) -> Row:
    place = f"row {row.table}/{row.key}"
    try:
        value = orjson.loads(row.value or b"")
    except orjson.JSONDecodeError as exc:
        raise PlatformDataInvalidError(f"{place} is not JSON: {exc}") from exc
    if not isinstance(value, dict):
        raise PlatformDataInvalidError(
            f"{place} is not a JSON object: got {value!r}"
        )
    return Row(row.key, value, row.version)


def _describe(exc: Exception) -> str:
    """Returns an error in one line; its type if it has no message."""
    return " ".join(str(exc).split()) or type(exc).__name__
