"""Discovery of nodes by rows in the platform's store."""

import asyncio
import contextlib
import random
from collections.abc import Callable

import orjson

from guavawing.errors import PlatformError
from guavawing.platform.store_client import (
    RowChanges,
    RowWrite,
    StoreClient,
    StoredRow,
)
from guavawing.sidecar.decision_log import DecisionLog
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
        self._write_task: asyncio.Task[None] | None = None

    def apply_changes(self, changes: RowChanges, complete: bool) -> None:
        """Applies changed rows; unreadable ones are counted and ignored."""
        unreadable = changes.unreadable
        for row in changes.rows:
            if row.value is None:
                self._remove_peer(row.key)
                continue
            record = _decode_record(row)
            if record is None:
                unreadable += 1
            elif record.host == self._own_record.host:
                self._own_row = row
            else:
                self._record_peer(record)
        for _ in range(unreadable):
            self._metrics.unreadable.inc({"source": NODES_TABLE})
        if complete or self._own_row is not None:
            self._check_own_row()

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
        if self._own_row is None:
            return
        try:
            row = self._own_row
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
        peer = self._peers.get(host)
        if peer is None:
            return
        self._log.state_change("peer-removed", peer=peer.record.node)
        self._peers.remove(host)
        self._on_removed(host)

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
        backoff_s = FIRST_BACKOFF_S
        while True:
            try:
                await self._store.write_rows([write])
            except PlatformError as exc:
                self._count("failed")
                self._log.state_change("row-not-written", cause=str(exc))
                await asyncio.sleep(backoff_s * random.uniform(0.5, 1.5))
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
                continue
            self._count("answered")
            self._on_written()
            return

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
        texts = [
            content[name] for name in ("node", "host", "data_centre", "service")
        ]
        port = content["mesh_port"]
    except (KeyError, TypeError, ValueError):
        # Counted by the caller.
        return None
    if not all(isinstance(text, str) for text in texts):
        return None
    if type(port) is not int or row.key != texts[1]:
        return None
    node, host, data_centre, service = texts
    return PeerRecord(node, host, port, data_centre, service, 0)
