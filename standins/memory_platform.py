"""In-memory stand-in for the platform client: tables and objects.

Implements the methods of `guavawing.store.Platform` without sockets, so that
tests can interleave several publishers deterministically. Each request yields
to its scheduler once, before its fault, if any, is applied.
"""

import enum
from collections.abc import Callable, Generator, Iterable, Sequence
from typing import Any

import attrs

from guavawing.errors import (
    PlatformUnavailableError,
    PlatformWriteUnknownError,
    TransactionRefusedError,
)
from guavawing.store.client import Row, Write

# Characters of an object's name in log lines: number and 8 of the digest.
NAME_LENGTH = 21


class CrashError(BaseException):
    """Aborts a publisher, as if its process had crashed."""


class Fault(enum.Enum):
    """Fault applied to one request; the values are log texts."""

    NONE = "served"
    REFUSED = "refused"
    LOST_REPLY = "carried out, reply lost"
    LATE = "carried out later, no reply"
    DROPPED = "never carried out, no reply"
    CRASH = "publisher ends before it"


class _YieldOnce:
    """Awaitable that yields control once."""

    def __await__(self) -> Generator[None, None, None]:
        yield


@attrs.define
class MemoryStore:
    """State of the platform.

    Attributes:
        tables: Values and revisions by table and key.
        objects: Objects by name.
        late_writes: Writes sent without a reply and not applied yet.
        reads: Number of reads.
        writes: Number of writes.
    """

    tables: dict[str, dict[str, tuple[Any, int]]] = attrs.field(factory=dict)
    objects: dict[str, bytes] = attrs.field(factory=dict)
    late_writes: list[Callable[[], object]] = attrs.field(factory=list)
    reads: int = 0
    writes: int = 0

    def transact(self, writes: Sequence[Write]) -> int | None:
        """Applies all writes atomically.

        Returns:
            The highest revision written; None if an expected revision did
            not match and nothing was written.
        """
        for write in writes:
            _, revision = self.get_row(write.table, write.key)
            if write.expected_revision not in (None, revision):
                return None
        written = 0
        for write in writes:
            _, revision = self.get_row(write.table, write.key)
            written = max(written, revision + 1)
            rows = self.tables.setdefault(write.table, {})
            if write.value is None:
                rows.pop(write.key, None)
            else:
                rows[write.key] = (write.value, revision + 1)
        return written

    def get_row(self, table: str, key: str) -> tuple[Any, int]:
        """Returns value and revision of a row; revision 0 if it is missing."""
        return self.tables.get(table, {}).get(key, (None, 0))

    def apply_late_write(self, index: int = 0) -> None:
        """Applies one of the late writes."""
        self.late_writes.pop(index)()


class MemoryPlatform:
    """Platform client of one publisher.

    Args:
        store: State of the platform, which clients may share.
        faults: Faults of successive requests; later requests are served.
        log: Called with a line for each request and its fault.
    """

    def __init__(
        self,
        store: MemoryStore,
        faults: Iterable[Fault] = (),
        log: Callable[[str], None] = lambda line: None,
    ) -> None:
        self._store = store
        self._faults = iter(faults)
        self._log = log

    async def read_row(self, table: str, key: str) -> Row | None:
        """Returns a row, or None if it does not exist."""
        await self._read(f"read {table}/{key}")
        value, revision = self._store.get_row(table, key)
        return Row(key, value, revision) if revision else None

    async def scan_rows(
        self, table: str, *, after: str = "", limit: int = 1_000
    ) -> list[Row]:
        """Returns up to `limit` rows in key order that follow `after`."""
        await self._read(f"scan {table} after {after!r}")
        rows = self._store.tables.get(table, {})
        keys = sorted(key for key in rows if key > after)[:limit]
        return [Row(key, *rows[key]) for key in keys]

    async def get_object(self, name: str) -> bytes | None:
        """Returns the content of an object, or None if it does not exist."""
        await self._read(f"get object {name[:NAME_LENGTH]}")
        return self._store.objects.get(name)

    async def put_object(self, name: str, payload: bytes) -> None:
        """Stores an object."""
        await self._write(
            f"put object {name[:NAME_LENGTH]}",
            lambda: self._store.objects.update({name: payload}),
        )

    async def list_objects(self, *, after: str = "") -> list[str]:
        """Returns sorted names of objects that follow `after`."""
        await self._read(f"list objects after {after[:NAME_LENGTH]!r}")
        return sorted(name for name in self._store.objects if name > after)

    async def delete_object(self, name: str) -> None:
        """Deletes an object; does nothing if it does not exist."""
        await self._write(
            f"delete object {name[:NAME_LENGTH]}",
            lambda: self._store.objects.pop(name, None),
        )

    async def transact(self, writes: Sequence[Write]) -> int:
        """Applies all writes atomically; returns the highest revision."""
        written = await self._write(
            "transact " + ", ".join(f"{w.table}/{w.key}" for w in writes),
            lambda: self._store.transact(writes),
        )
        if written is None:
            raise TransactionRefusedError(
                "a row has another revision than expected"
            )
        return written

    async def _begin_request(self, description: str) -> Fault:
        await _YieldOnce()
        fault = next(self._faults, Fault.NONE)
        self._log(f"{description}: {fault.value}")
        if fault is Fault.CRASH:
            raise CrashError
        if fault is Fault.REFUSED:
            raise PlatformUnavailableError("the platform did not answer")
        return fault

    async def _read(self, description: str) -> None:
        self._store.reads += 1
        if await self._begin_request(description) is not Fault.NONE:
            raise PlatformUnavailableError("the platform did not answer")

    async def _write(
        self, description: str, action: Callable[[], object]
    ) -> object:
        self._store.writes += 1
        fault = await self._begin_request(description)
        if fault is Fault.LATE:
            self._store.late_writes.append(action)
        result = None
        if fault in (Fault.NONE, Fault.LOST_REPLY):
            result = action()
        if fault is not Fault.NONE:
            raise PlatformWriteUnknownError("no response to a write")
        return result
