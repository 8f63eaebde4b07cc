"""Client of the platform's table service and object store.

This is the only module that knows the platform's wire format: JSON over
HTTP. A row has a revision that rises with every write; a transaction names
the revision that it expects of each row, 0 for a row that must not exist.
Objects are stored compressed with zlib.
"""

import contextlib
from collections.abc import AsyncIterator, Sequence
from typing import Any

import aiohttp
import attrs
import orjson

from guavawing.distribution.compression import (
    compress_payload,
    decompress_payload,
)
from guavawing.errors import (
    MessageInvalidError,
    PlatformDataInvalidError,
    PlatformError,
    PlatformUnavailableError,
    PlatformWriteUnknownError,
)
from guavawing.model import Address

__all__ = [
    "Platform",
    "Row",
    "TransactionRefusedError",
    "Write",
    "open_platform",
]

REQUEST_TIMEOUT_S = 5.0
MAX_OBJECT_BYTES = 8 * 1024 * 1024
MAX_SCAN_ROWS = 1_000
_NOT_FOUND = 404
_CONFLICT = 409
# Statuses that say that a request was not carried out.
_REFUSALS = frozenset({400, 401, 403, 404, 405, 413, 429, 503})


class TransactionRefusedError(PlatformError):
    """Raised when a row does not have the revision that a write expects."""


@attrs.frozen
class Row:
    """One row of a table.

    Attributes:
        key: Key within the table.
        value: Value, a JSON object.
        revision: Rises with every write of the row.
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


class Platform:
    """Table service and object store at one address."""

    __slots__ = ("_base", "_received", "_session")

    def __init__(
        self, session: aiohttp.ClientSession, address: Address
    ) -> None:
        self._session = session
        self._base = f"http://{address}"
        self._received = 0

    @property
    def received_bytes(self) -> int:
        """Bytes of all answers so far, without their headers."""
        return self._received

    async def read_row(self, table: str, key: str) -> Row | None:
        """Returns a row, or None if it does not exist.

        Raises:
            PlatformUnavailableError: If the platform gives no usable answer.
        """
        payload = await self._read(f"/tables/{table}/rows/{key}")
        return None if payload is None else _decode_row(payload)

    async def scan_rows(
        self, table: str, *, after: str = "", limit: int = MAX_SCAN_ROWS
    ) -> list[Row]:
        """Returns up to `limit` rows in order of key, from behind `after`.

        Raises:
            PlatformUnavailableError: If the platform gives no usable answer.
        """
        payload = await self._read(
            f"/tables/{table}/rows", {"after": after, "limit": str(limit)}
        )
        entries = payload.get("rows") if isinstance(payload, dict) else None
        if not isinstance(entries, list):
            raise _unavailable(ValueError("the answer holds no rows"))
        return [_decode_row(entry) for entry in entries]

    async def transact(self, writes: Sequence[Write]) -> None:
        """Carries out all writes or none.

        Raises:
            TransactionRefusedError: If a row has another revision.
            PlatformUnavailableError: If nothing was written.
            PlatformWriteUnknownError: If the writes may have been carried out.
        """
        body = orjson.dumps({"writes": [attrs.asdict(w) for w in writes]})
        status = await self._write("POST", "/transactions", body)
        if status == _CONFLICT:
            raise TransactionRefusedError("a row was written by somebody else")

    async def put_object(self, name: str, payload: bytes) -> None:
        """Stores an object; storing the same bytes again is harmless.

        Raises:
            PlatformUnavailableError: If nothing was written.
            PlatformWriteUnknownError: If the object may have been stored.
        """
        data = compress_payload(payload)
        await self._write("PUT", f"/objects/{name}", data)

    async def get_object(self, name: str) -> bytes | None:
        """Returns an object's bytes, or None if there is none.

        Raises:
            PlatformUnavailableError: If the platform gives no usable answer.
            PlatformDataInvalidError: If the object is damaged.
        """
        try:
            async with self._session.get(
                f"{self._base}/objects/{name}"
            ) as resp:
                if resp.status == _NOT_FOUND:
                    return None
                resp.raise_for_status()
                data = await resp.read()
                self._received += len(data)
        except (aiohttp.ClientError, TimeoutError) as exc:
            raise _unavailable(exc) from exc
        try:
            return decompress_payload(data, limit=MAX_OBJECT_BYTES)
        except MessageInvalidError as exc:
            raise PlatformDataInvalidError(
                f"the object {name} is damaged: {exc}"
            ) from exc

    async def list_objects(
        self, *, after: str = "", limit: int = MAX_SCAN_ROWS
    ) -> list[str]:
        """Returns up to `limit` names of objects in order, behind `after`.

        Raises:
            PlatformUnavailableError: If the platform gives no usable answer.
        """
        payload = await self._read(
            "/objects", {"after": after, "limit": str(limit)}
        )
        names = payload.get("names") if isinstance(payload, dict) else None
        if not isinstance(names, list):
            raise _unavailable(ValueError("the answer holds no names"))
        if not all(isinstance(name, str) for name in names):
            raise _unavailable(ValueError("a name of an object is no text"))
        return names

    async def delete_object(self, name: str) -> None:
        """Removes an object; harmless if there is none.

        Raises:
            PlatformUnavailableError: If nothing was removed.
            PlatformWriteUnknownError: If the object may have been removed.
        """
        await self._write("DELETE", f"/objects/{name}", b"")

    async def _read(
        self, path: str, params: dict[str, str] | None = None
    ) -> Any:
        try:
            async with self._session.get(
                self._base + path, params=params
            ) as resp:
                if resp.status == _NOT_FOUND:
                    return None
                resp.raise_for_status()
                return orjson.loads(await resp.read())
        except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
            raise _unavailable(exc) from exc

    async def _write(self, method: str, path: str, body: bytes) -> int:
        try:
            async with self._session.request(
                method, self._base + path, data=body
            ) as resp:
                if resp.status == _CONFLICT:
                    return resp.status
                resp.raise_for_status()
                return resp.status
        except aiohttp.ClientConnectorError as exc:
            raise _unavailable(exc) from exc
        except aiohttp.ClientResponseError as exc:
            # Any other error of a server may stand for a write that a proxy
            # passed on and whose answer it then lost.
            if exc.status in _REFUSALS:
                raise _unavailable(exc) from exc
            raise _unknown(exc) from exc
        except (aiohttp.ClientError, TimeoutError) as exc:
            raise _unknown(exc) from exc


@contextlib.asynccontextmanager
async def open_platform(
    address: Address,
    *,
    source: str | None = None,
    timeout_s: float = REQUEST_TIMEOUT_S,
) -> AsyncIterator[Platform]:
    """Opens a client of the platform at `address` and closes it after use.

    Args:
        address: Where the platform listens.
        source: IP address to connect from; None for any.
        timeout_s: Longest time of one request, in seconds.
    """
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    connector = aiohttp.TCPConnector(
        local_addr=None if source is None else (source, 0)
    )
    async with aiohttp.ClientSession(
        connector=connector, timeout=timeout
    ) as session:
        yield Platform(session, address)


def _decode_row(entry: Any) -> Row:
    try:
        row = Row(entry["key"], entry["value"], entry["revision"])
    except (KeyError, TypeError) as exc:
        raise _unavailable(exc) from exc
    if not isinstance(row.value, dict) or type(row.revision) is not int:
        raise _unavailable(ValueError("the answer is not a row"))
    return row


def _unavailable(exc: Exception) -> PlatformUnavailableError:
    return PlatformUnavailableError(
        f"the platform gave no usable answer: {_describe(exc)}"
    )


def _unknown(exc: Exception) -> PlatformWriteUnknownError:
    return PlatformWriteUnknownError(
        f"the platform gave no answer to a write: {_describe(exc)}"
    )


def _describe(exc: Exception) -> str:
    """Returns an error in one line; a timeout has no text of its own."""
    if isinstance(exc, aiohttp.ClientResponseError):
        return f"status {exc.status}"
    return " ".join(str(exc).split()) or type(exc).__name__
