"""Discovery of nodes by rows in the platform's store.

If the store is restored from an older copy, rows may be gone or back. The nodes
that read the table write the missing rows of their data centre again and remove
those that had been removed.
"""

import asyncio
import collections
import contextlib
import random
from collections.abc import Callable, Sequence

import orjson

from guavawing.errors import PlatformError, TransactionRefusedError
from guavawing.platform.store_client import (
    RowChanges,
    RowWrite,
    StoreClient,
    StoredRow,
)
from guavawing.sidecar.decision_log import DecisionLog
from guavawing.sidecar.mesh_fields import read_host, read_port, read_text
from guavawing.sidecar.metrics import SidecarMetrics
from guavawing.traffic.model import PeerRecord
from guavawing.traffic.peers import Peer, PeerTable

__all__ = ["NODES_TABLE", "Membership"]

NODES_TABLE = "nodes"
# First wait after failed writes, in seconds: exponential backoff with jitter.
FIRST_BACKOFF_S = 0.2
# Time for which the first write is awaited, in seconds: the longest time for
# which a partition of the store queues transactions.
JOIN_TIMEOUT_S = 1.0
MAX_BACKOFF_S = 3.0
# Rows of one transaction; each counts as two of the store's 100 entries.
MAX_ROWS_PER_WRITE = 50
# Number of removed rows that are remembered.
MAX_REMOVED = 200


class Membership:
    """Maintains this node's row and reads those of other nodes."""

    def __init__(
        self,
        store: StoreClient,
        own_record: PeerRecord,
        peers: PeerTable,
        *,
        on_found: Callable[[Peer], None],
        on_removed: Callable[[str], None],
        on_written: Callable[[], None],
        log: DecisionLog,
        metrics: SidecarMetrics,
    ) -> None:
        """Creates a membership without rows.

        Args:
            store: The store.
            own_record: This node's record.
            peers: Table to which other nodes are added.
            on_found: Called with each new node.
            on_removed: Called with the host of each node whose row was
                removed.
            on_written: Called when this node's row was written. Nodes that
                write their rows later find this row; earlier rows may have
                been missed by the first read.
            log: Receives state changes.
            metrics: Counts calls and unreadable rows.
        """
        self._loop = asyncio.get_running_loop()
        self._store = store
        self._own_record = own_record
        self._peers = peers
        self._on_found = on_found
        self._on_removed = on_removed
        self._on_written = on_written
        self._log = log
        self._metrics = metrics
        self._own_row: StoredRow | None = None
        # Era of the store at the last change that was applied.
        self._era = 0
        # Values of removed rows by key, the oldest first.
        self._removed: collections.OrderedDict[str, bytes] = (
            collections.OrderedDict()
        )
        self._values: dict[str, bytes] = {}
        self._write_task: asyncio.Task[None] | None = None
        self._restore_task: asyncio.Task[None] | None = None

    def apply_changes(self, changes: RowChanges, complete: bool) -> None:
        """Applies changed rows; unreadable ones are counted and ignored."""
        unreadable = changes.unreadable
        restored = complete and self._era not in (0, changes.era)
        self._era = changes.era
        if complete:
            self._own_row = None
        for row in changes.rows:
            if row.value is None:
                self._remove_peer(row.key)
                continue
            if restored and self._is_removed(row):
                continue
            record = _decode_record(row)
            if record is None:
                unreadable += 1
            elif record.host == self._own_record.host:
                self._own_row = row
            else:
                self._values[row.key] = row.value
                self._record_peer(record)
        for _ in range(unreadable):
            self._metrics.unreadable.inc({"source": NODES_TABLE})
        if complete or self._own_row is not None:
            self._check_own_row()
        if restored:
            self._start_restore(changes)

    async def join(self) -> None:
        """Writes this node's row before the first read.

        The wait is limited to `JOIN_TIMEOUT_S`; the write continues after it.
        """
        write_task = self._start_writer(_encode_record(self._own_record))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(JOIN_TIMEOUT_S):
                await asyncio.shield(write_task)

    async def withdraw(self) -> None:
        """Removes this node's row after its target has left permanently."""
        try:
            row = self._own_row
            if row is not None and self._era != self._store.era.newest:
                # The version of the row was given out in an earlier era.
                row = await self._store.read_row(row.table, row.key)
            if row is None or row.value != _encode_record(self._own_record):
                return
            removal = RowWrite(row.table, row.key, None, row.version)
            await self._store.write_rows([removal])
        except PlatformError as exc:
            self._log.state_change("row-not-removed", cause=str(exc))

    def _record_peer(self, record: PeerRecord) -> None:
        known = self._peers.get(record.host)
        peer = self._peers.apply_record(record, now=self._loop.time())
        if peer is None or peer is known:
            return
        self._log.state_change(
            "peer-found", peer=record.node, service=record.service
        )
        self._on_found(peer)

    def _remove_peer(self, host: str) -> None:
        if host == self._own_record.host:
            self._own_row = None
            return
        value = self._values.pop(host, None)
        if value is not None:
            self._removed[host] = value
            if len(self._removed) > MAX_REMOVED:
                self._removed.popitem(last=False)
        peer = self._peers.get(host)
        if peer is None:
            return
        self._log.state_change("peer-removed", peer=peer.record.node)
        self._peers.remove(host)
        self._on_removed(host)

    def _is_removed(self, row: StoredRow) -> bool:
        """Returns whether a row had been removed before it came back.

        The node may have been started again since, and then is a known peer.
        """
        removed = self._removed.get(row.key) == row.value
        return removed and self._peers.get(row.key) is None

    def _start_restore(self, changes: RowChanges) -> None:
        """Writes missing rows again and removes those that came back."""
        found = {row.key for row in changes.rows}
        writes = [
            RowWrite(
                NODES_TABLE, peer.record.host, _encode_record(peer.record), 0
            )
            for peer in self._peers.near()
            if peer.view.alive and peer.record.host not in found
        ]
        writes += [
            RowWrite(NODES_TABLE, row.key, None, row.version)
            for row in changes.rows
            if self._is_removed(row)
        ]
        if self._restore_task is not None:
            self._restore_task.cancel()
        self._restore_task = self._loop.create_task(self._restore(writes))

    async def _restore(self, writes: Sequence[RowWrite]) -> None:
        for start in range(0, len(writes), MAX_ROWS_PER_WRITE):
            batch = writes[start : start + MAX_ROWS_PER_WRITE]
            try:
                await self._write_until_done(batch)
            except TransactionRefusedError:
                # A row of the batch has been written meanwhile.
                for write in batch:
                    with contextlib.suppress(TransactionRefusedError):
                        await self._write_until_done([write])
            self._log.state_change("rows-restored", rows=len(batch))

    async def _write_until_done(self, writes: Sequence[RowWrite]) -> None:
        """Writes rows, again until the store answers.

        Raises:
            TransactionRefusedError: If a row has another version.
        """
        backoff_s = FIRST_BACKOFF_S
        while True:
            try:
                await self._store.write_rows(writes)
            except TransactionRefusedError:
                raise
            except PlatformError as exc:
                self._count("failed")
                self._log.state_change("row-not-written", cause=str(exc))
                await asyncio.sleep(backoff_s * random.uniform(0.5, 1.5))
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
                continue
            self._count("answered")
            return

    def _check_own_row(self) -> None:
        value = _encode_record(self._own_record)
        if self._own_row is not None and self._own_row.value == value:
            return
        self._start_writer(value)

    def _start_writer(self, value: bytes) -> "asyncio.Task[None]":
        if self._write_task is None or self._write_task.done():
            self._write_task = self._loop.create_task(self._write(value))
        return self._write_task

    async def _write(self, value: bytes) -> None:
        write = RowWrite(NODES_TABLE, self._own_record.host, value)
        await self._write_until_done([write])
        self._on_written()

    def _count(self, outcome: str) -> None:
        self._metrics.store_calls.inc(
            {"call": "write-node", "outcome": outcome}
        )


def _encode_record(record: PeerRecord) -> bytes:
    return orjson.dumps(
        {
            "node": record.node,
            "host": record.host,
            "mesh_port": record.mesh_port,
            "data_centre": record.data_centre,
            "service": record.service,
        },
        option=orjson.OPT_SORT_KEYS,
    )


def _decode_record(row: StoredRow) -> PeerRecord | None:
    """Returns the record of a row, or None if it is unreadable."""
    try:
        content = orjson.loads(row.value or b"")
        record = PeerRecord(
            read_text(content["node"]),
            read_host(content["host"]),
            read_port(content["mesh_port"]),
            read_text(content["data_centre"]),
            read_text(content["service"]),
            0,
        )
    except (KeyError, TypeError, ValueError):
        # Counted by the caller.
        return None
    return record if record.host == row.key else None
